"""Splits a stream of server-sent events at event boundaries."""

from attrs import define, field

EVENT_BOUNDARIES = (b"\n\n", b"\r\n\r\n", b"\r\r")
LONGEST_BOUNDARY = max(map(len, EVENT_BOUNDARIES))


def goes_on(events: bytes, last_id: str) -> bool:
    """Return whether the first ID in ``events``, if any, follows ``last_id``.

    IDs increase within a stream. Those that are no numbers are not compared by size.

    >>> goes_on(b"id: 4\\ndata: x\\n\\n", "3"), goes_on(b"id: 1\\n\\n", "3")
    (True, False)
    """
    for line in events.splitlines():
        if line.startswith(b"id:"):
            first_id = line.removeprefix(b"id:").strip().decode("latin1")
            if first_id.isdecimal() and last_id.isdecimal():
                return int(first_id) > int(last_id)
            return first_id != last_id
    return True


@define
class EventSplitter:
    """Buffers bytes and returns complete events.

    ``last_id`` is the ID of the last returned event; another run of the same
    request resumes after it.

    Example: ``split(b"id: 1\\ndata: x\\n\\nid: 2")`` returns the first event.
    """

    last_id: str = ""
    _buffer: bytearray = field(factory=bytearray, repr=False)

    def split(self, data: bytes) -> bytes:
        """Append ``data`` and return the events that are now complete."""
        searched = max(0, len(self._buffer) - LONGEST_BOUNDARY + 1)
        self._buffer += data
        end = max(
            position + len(boundary) if position >= 0 else 0
            for boundary in EVENT_BOUNDARIES
            for position in [self._buffer.rfind(boundary, searched)]
        )
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        if events:
            self._update_last_id(events)
        return events

    def _update_last_id(self, events: bytes) -> None:
        position = len(events)
        while (position := events.rfind(b"id:", 0, position)) >= 0:
            if position == 0 or events[position - 1] in b"\r\n":
                line = events[position:].splitlines()[0]
                self.last_id = line.removeprefix(b"id:").strip().decode("latin1")
                return

    @property
    def remainder_bytes(self) -> int:
        """Bytes after the last complete event."""
        return len(self._buffer)

    def take_remainder(self) -> bytes:
        """Return and remove the bytes after the last complete event."""
        remainder = bytes(self._buffer)
        self._buffer.clear()
        return remainder

    @property
    def has_partial_event(self) -> bool:
        """Whether the remainder is part of an event, not only comments or newlines."""
        lines = self._buffer.splitlines(keepends=True)
        return any(line.strip() and not _is_comment(line) for line in lines)


def _is_comment(line: bytes) -> bool:
    """Return whether ``line`` is a complete comment."""
    return line.startswith(b":") and line.endswith((b"\n", b"\r"))
