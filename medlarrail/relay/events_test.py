"""Tests of the splitter of event streams."""

import pytest

from medlarrail.relay.events import EventSplitter

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
        assert splitter.last_id == "7"

    @pytest.mark.parametrize(
        "event, last_id",
        [
            (b"id: 3\ndata: id: 4\n\n", "3"),
            (b"data: x\r\nid:5\r\n\r\n", "5"),
            (b"data: x\n\n", "2"),
        ],
    )
    def test_last_id_is_that_of_the_last_line_with_one(self, event, last_id):
        splitter = EventSplitter("2")
        splitter.split(event)
        assert splitter.last_id == last_id

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
