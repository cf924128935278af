"""Tests of the bounded log."""

import orjson

from medlarrail.core.logs import MAX_BURST_LINES, MAX_PENDING_BYTES, BoundedLog


class Reader:
    """Accepts up to 1000 bytes per write, or none while it is stalled."""

    def __init__(self):
        self.received = b""
        self.stalled = False

    def write(self, descriptor, data):
        if self.stalled:
            return 0
        self.received += data[:1000]
        return len(data[:1000])

    def get_lines(self):
        return [orjson.loads(line) for line in self.received.splitlines()]


def build_log(reader, now):
    return BoundedLog(1, clock=lambda: now[0], write=reader.write)


class TestBoundedLog:
    def test_a_line_is_json(self):
        reader, now = Reader(), [0.0]
        build_log(reader, now)({"message_type": "a"})
        assert reader.get_lines() == [{"message_type": "a"}]

    def test_the_excess_of_a_burst_is_counted_in_the_next_line(self):
        reader, now = Reader(), [0.0]
        log = build_log(reader, now)
        for number in range(MAX_BURST_LINES + 50):
            log({"number": number})
        assert len(reader.get_lines()) == MAX_BURST_LINES
        now[0] = 1.0
        log({"number": -1})
        assert reader.get_lines()[-1]["lines_left_out"] == 50

    def test_a_stalled_reader_does_not_block_the_writer(self):
        reader, now = Reader(), [0.0]
        log = build_log(reader, now)
        reader.stalled = True
        for number in range(5000):
            now[0] = number * 0.1
            log({"text": "x" * 200})
        assert len(log._pending) < MAX_PENDING_BYTES + 1000
        reader.stalled = False
        now[0] += 1.0
        log.flush()
        log({"last": True})
        assert reader.get_lines()[-1]["lines_left_out"] > 0
