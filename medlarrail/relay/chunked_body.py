"""Decodes a body in chunks into one growing buffer, whatever the size of the chunks."""

import re

from attrs import define, field

from medlarrail.core.errors import MalformedRequest, OverLongBody, OverLongHeader

CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n")
MAX_LINE_BYTES = 4096
"""Maximum bytes of the line before a chunk, with its extensions."""
MAX_FRAMING_BYTES = 262144
"""Maximum bytes of framing beyond five times the body: a chunk of one byte has five."""
RUNS = {
    digit: re.compile(rb"(?:%x\r\n[\s\S]{%d}\r\n)+" % (digit, digit))
    for digit in range(1, 16)
}
"""Chunks of the same small size, one after the other."""
RUN_BYTES = 16384
"""Maximum bytes of such a run that are decoded at once."""
LAST_LINE_END = b"\r\n"


@define(eq=False)
class ChunkedBody:
    """One body that is received in chunks.

    ``received`` has the bytes that are not decoded yet, with what follows the body.
    """

    received: bytearray
    limit_bytes: int
    limit_trailer_bytes: int
    body: bytearray = field(factory=bytearray)
    is_complete: bool = False
    _missing: int = 0
    """Bytes that the current chunk still lacks."""
    _needs_line_end: bool = False
    _in_trailer: bool = False
    _framing_bytes: int = 0

    def decode(self) -> None:
        """Decode what was received; raises ``CallerError`` for a faulty body."""
        position = 0
        try:
            while not self.is_complete:
                begin = position
                position = self._decode_next(position)
                if position == begin:
                    return
                if len(self.body) > self.limit_bytes:
                    raise OverLongBody(limit_bytes=self.limit_bytes)
        finally:
            del self.received[:position]

    def _decode_next(self, position: int) -> int:
        """Decode one part at ``position``; return the position after it."""
        received = self.received
        if self._missing:
            part = received[position : position + self._missing]
            self.body += part
            self._missing -= len(part)
            return position + len(part)
        if self._needs_line_end:
            end = received[position : position + 2]
            if end != LAST_LINE_END[: len(end)]:
                raise MalformedRequest(problem="a chunk without its end")
            if len(end) < 2:
                return position
            self._needs_line_end = False
            return position + 2
        if self._in_trailer:
            return self._skip_trailer(position)
        return self._read_size(position)

    def _read_size(self, position: int) -> int:
        line = CHUNK_LINE.match(self.received, position)
        if line is None:
            window = self.received[position : position + MAX_LINE_BYTES]
            if b"\n" in window or len(window) >= MAX_LINE_BYTES:
                raise MalformedRequest(problem="invalid size of a chunk")
            if window and not window[:1].isalnum():
                raise MalformedRequest(problem="invalid size of a chunk")
            return position
        size = int(line[1], 16)
        if size > self.limit_bytes:
            raise OverLongBody(limit_bytes=self.limit_bytes)
        if size in RUNS and (end := self._read_run(position, size)) > position:
            return end
        self._missing = size
        self._needs_line_end = size > 0
        self._in_trailer = size == 0
        self._count_framing(line.end() - position)
        return line.end()

    def _read_run(self, position: int, size: int) -> int:
        """Decode complete chunks of the same size; return the position after them."""
        run = RUNS[size].match(self.received, position, position + RUN_BYTES)
        if run is None:
            return position
        chunks, step = run[0], size + 5
        count = len(chunks) // step
        part = bytearray(count * size)
        for place in range(size):
            part[place::size] = chunks[3 + place :: step]
        self.body += part
        self._count_framing(5 * count - 5 * len(part))
        return run.end()

    def _count_framing(self, count: int) -> None:
        self._framing_bytes += max(0, count)
        if self._framing_bytes > MAX_FRAMING_BYTES + 5 * len(self.body):
            raise MalformedRequest(problem="a body with more framing than content")

    def _skip_trailer(self, position: int) -> int:
        """Skip one line of the trailer; an empty one ends the body."""
        end = self.received.find(b"\n", position)
        if end < 0:
            if len(self.received) - position > self.limit_trailer_bytes:
                raise OverLongHeader(limit_bytes=self.limit_trailer_bytes)
            return position
        self._count_trailer(end - position)
        self.is_complete = self.received[position:end].strip(b"\r") == b""
        return end + 1

    def _count_trailer(self, count: int) -> None:
        self.limit_trailer_bytes -= count
        if self.limit_trailer_bytes < 0:
            raise OverLongHeader(limit_bytes=0)
