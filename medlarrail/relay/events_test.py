"""Tests of the splitter of event streams and of the order of their events."""

import pytest

from medlarrail.policy.stream_order import OrderReason, StreamOrder
from medlarrail.relay.events import EventSplitter, OrderedEvents

EVENT = b"id: 7\ndata: x\n\n"


class TestEventSplitter:
    @pytest.mark.parametrize("newline", [b"\n", b"\r\n", b"\r"])
    def test_each_cut_returns_the_complete_events(self, newline):
        data = (EVENT * 3).replace(b"\n", newline)
        size = len(data) // 3
        for cut in range(len(data) + 1):
            splitter = EventSplitter()
            events = splitter.split(data[:cut])
            assert events == data[: cut // size * size]
            assert splitter.has_partial_event == (cut % size != 0)
            assert events + splitter.split(data[cut:]) == data

    def test_bytes_that_arrive_one_by_one(self):
        splitter = EventSplitter()
        parts = [splitter.split(EVENT[i : i + 1]) for i in range(len(EVENT))]
        assert b"".join(parts) == parts[-1] == EVENT
        order = StreamOrder()
        events = OrderedEvents(order)
        parts = [events.pass_on(EVENT[i : i + 1]) for i in range(len(EVENT))]
        assert b"".join(parts) == parts[-1] == EVENT
        assert order.last_id == events.first_id == events.last_id == "7"

    @pytest.mark.parametrize(
        "event, last_id",
        [
            (b"id: 3\ndata: id: 4\n\n", "3"),
            (b"data: x\r\nid:5\r\n\r\n", "5"),
            (b"data: x\n\n", "2"),
            (b"id: 4\nid: 3\ndata: x\n\n", "3"),
            (b"id: 4\r\nid: 3\r\n\r\n", "3"),
            (b"id: 3\nid: 4\0\ndata: x\n\n", "3"),
            (b"id: 4\nid:\ndata: x\n\n", "2"),
            (b"id: 4\nid\ndata: x\n\n", "2"),
            (b": x\nid:  3 \n\n", "3"),
            (b"id : 3\nID: 3\nidx: 3\n:id: 3\n\n", "2"),
            (b"data: x\n\n\n\nid: 3\n\n", "3"),
            (b"\xef\xbb\xbfid: 3\n\n", "3"),
            (b"data: \xef\xbb\xbf\nid: 3\ndata\n\n", "3"),
            (b"id: 3", "2"),
        ],
    )
    def test_last_id_is_that_of_the_last_line_with_one(self, event, last_id):
        order = StreamOrder("2")
        OrderedEvents(order).pass_on(event)
        assert order.last_id == last_id

    @pytest.mark.parametrize(
        "remainder, partial",
        [
            (b"", False),
            (b": ping\n", False),
            (b": ping", True),
            (b"id: 8\n", True),
            (b": ping\nid", True),
        ],
    )
    def test_comments_after_the_last_event_are_no_part_of_one(self, remainder, partial):
        splitter = EventSplitter()
        splitter.split(EVENT + remainder)
        assert splitter.has_partial_event is partial
        assert splitter.take_remainder() == remainder
        assert not splitter.has_partial_event


class TestOrderedEvents:
    @pytest.mark.parametrize("newline", [b"\n", b"\r\n", b"\r"])
    @pytest.mark.parametrize("wrong", [b"id: 2\ndata: y\n\n", b"data: y\nid: 1\n\n"])
    def test_events_before_a_wrong_one_are_not_passed_on(self, wrong, newline):
        """They may have arrived in the same part, cut anywhere."""
        right = b"id: 1\ndata: x\n\nevent: e\ndata: id: 0\nid: 2\n\n: c\n\n"
        data = (right + wrong + EVENT).replace(b"\n", newline)
        right = right.replace(b"\n", newline)
        for cut in range(len(data) + 1):
            order = StreamOrder()
            events = OrderedEvents(order)
            passed = events.pass_on(data[:cut]) + events.pass_on(data[cut:])
            assert passed == right
            assert order.last_id == events.last_id == "2"
            assert events.fault.previous_id == "2"

    @pytest.mark.parametrize("first", [b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n"])
    @pytest.mark.parametrize("second", [b"\n\r", b"\n\r\n", b"\r\n\n", b"\r\r\n"])
    def test_blank_lines_of_mixed_ends_join_events(self, first, second):
        """The IDs of two events were taken for those of one."""
        right = b"id: 1\ndata: x" + first + b"id: 2\ndata: x" + second
        events = OrderedEvents(StreamOrder())
        passed = events.pass_on(right + b"id: 2\ndata: x\n\n")
        # A bare LF is left over from a CRLF whose CR ended the event.
        assert passed in (right, right.removesuffix(b"\n"))
        assert events.fault.reason is OrderReason.REPEATED

    @pytest.mark.parametrize(
        "received, passed, has_unidentified",
        [
            (b"data: x\n\nid: 4\n\n", b"data: x\n\nid: 4\n\n", False),
            (b"data: x\n\nid: 3\n\n", b"", False),
            (b"data: x\n\n", b"", False),
            (b": x\n\n", b": x\n\n", False),
            (b"retry: 5\n\n", b"retry: 5\n\n", False),
            (b": x\n\ndata\n\n: y\n\n", b"", False),
            (b"id: 4\n\ndata: x\n\n", b"id: 4\n\ndata: x\n\n", True),
        ],
    )
    def test_answer_to_a_take_up_is_passed_on_before_its_first_id(
        self, received, passed, has_unidentified
    ):
        order = StreamOrder("3")
        events = OrderedEvents(order)
        assert events.pass_on(received) == passed
        assert order.has_unidentified is has_unidentified

    def test_held_events_are_lost(self):
        data = b"data: x\n\n: y\n\n"
        for cut in range(len(data) + 1):
            order = StreamOrder("3")
            events = OrderedEvents(order)
            passed = events.pass_on(data[:cut]) + events.pass_on(data[cut:])
            assert passed + events.take_rest() == data
            assert order.has_unidentified and not events.has_advanced
            assert not events.take_rest()

    def test_held_events_have_no_limit(self):
        events = OrderedEvents(StreamOrder("3"))
        events.pass_on(b"data: x\n\n" * 10 + b"data")
        assert events.buffered_bytes == 94

    def test_events_after_a_fault_are_passed_on(self):
        events = OrderedEvents(StreamOrder())
        events.pass_on(b"id: 1\n\nid: 1\n\n")
        assert events.pass_on(b"id: 2\n\n") == b""


class TestUnframedEvents:
    @pytest.mark.parametrize("newline", [b"\n", b"\r\n", b"\r"])
    @pytest.mark.parametrize(
        "foreign",
        [
            b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
            b"data: y\nHTTP/1.1 000\n\n",
            b'{"a": 1}\n\n',
            b"<p>\n\n",
        ],
    )
    def test_bytes_that_are_no_events_are_passed_on(self, foreign, newline):
        """They may be a second response, in the same part as the events or not."""
        right = b": HTTP/1.1 200 OK\n\nid: 1\ndata: {}\nx-field\n\n"
        data = (right + foreign + EVENT).replace(b"\n", newline)
        right = right.replace(b"\n", newline)
        for cut in range(len(data) + 1):
            events = OrderedEvents(StreamOrder(), is_unframed=True)
            passed = events.pass_on(data[:cut]) + events.pass_on(data[cut:])
            assert passed == right
            assert events.has_foreign and events.fault is None

    def test_byte_order_mark_is_taken_for_foreign(self):
        events = OrderedEvents(StreamOrder(), is_unframed=True)
        assert events.pass_on(b"\xef\xbb\xbf" + EVENT) == b"\xef\xbb\xbf" + EVENT
        assert not events.has_foreign

    def test_framed_answer_is_checked_for_a_second_one(self):
        """Its framing tells where it ends, and clients ignore unknown lines."""
        events = OrderedEvents(StreamOrder())
        assert events.pass_on(b"HTTP/1.1 200 OK\n\n") == b"HTTP/1.1 200 OK\n\n"
