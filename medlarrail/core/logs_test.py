"""Tests of the bounded log."""

import orjson

from medlarrail.core.logs import LARGEST_BURST, LARGEST_PENDING_BYTES, BoundedLog


class Reader:
    """Takes what is written, unless it stands still."""

    def __init__(self):
        self.taken = b""
        self.stopped = False

    def write(self, descriptor, data):
        if self.stopped:
            return 0
        self.taken += data[:1000]
        return len(data[:1000])

    def get_lines(self):
        return [orjson.loads(line) for line in self.taken.splitlines()]


def build_log(reader, now):
    return BoundedLog(1, clock=lambda: now[0], write=reader.write)


class TestBoundedLog:
    def test_a_line_is_json(self):
        reader, now = Reader(), [0.0]
        build_log(reader, now)({"message_type": "a"})
        assert reader.get_lines() == [{"message_type": "a"}]

    def test_a_burst_is_bounded_and_counted_in_the_next_line(self):
        reader, now = Reader(), [0.0]
        log = build_log(reader, now)
        for number in range(LARGEST_BURST + 50):
            log({"number": number})
        assert len(reader.get_lines()) == LARGEST_BURST
        now[0] = 1.0
        log({"number": -1})
        assert reader.get_lines()[-1]["lines_left_out"] == 50

    def test_a_reader_that_stands_still_holds_nothing_up(self):
        reader, now = Reader(), [0.0]
        log = build_log(reader, now)
        reader.stopped = True
        for number in range(5000):
            now[0] = number * 0.1
            log({"text": "x" * 200})
        assert len(log._pending) < LARGEST_PENDING_BYTES + 1000
        reader.stopped = False
        now[0] += 1.0
        log.flush()
        log({"last": True})
        assert reader.get_lines()[-1]["lines_left_out"] > 0
