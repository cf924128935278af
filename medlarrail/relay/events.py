"""Splits a stream of server-sent events at event boundaries."""

from attrs import define, field

EVENT_BOUNDARIES = (b"\n\n", b"\r\n\r\n", b"\r\r")


@define
class EventSplitter:
    """Buffers bytes and returns complete events.

    ``last_id`` is the ID of the last returned event; another run of the same
    request resumes after it.

    Example: ``split(b"id: 1\\ndata: x\\n\\nid: 2")`` returns the first event.
    """

    last_id: str = ""
    _buffer: bytes = field(default=b"", repr=False)

    def split(self, data: bytes) -> bytes:
        """Append ``data`` and return the events that are now complete."""
        self._buffer += data
        end = max(
            (
                position + len(boundary)
                if (position := self._buffer.rfind(boundary)) >= 0
                else 0
            )
            for boundary in EVENT_BOUNDARIES
        )
        events, self._buffer = self._buffer[:end], self._buffer[end:]
        if events:
            self._update_last_id(events)
        return events

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            name, _, value = line.partition(b":")
            if name == b"id":
                self.last_id = value.strip().decode("latin1")
                return

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip())
