"""Splits a stream of server-sent events at the ends of events."""

from attrs import define, field

BOUNDARIES = (b"\n\n", b"\r\n\r\n", b"\r\r")


@define
class EventSplitter:
    """Collects bytes and gives back whole events.

    ``last_id`` is the id of the last event that was given back, which is where
    another run of the same request goes on.

    Example: ``split(b"id: 1\\ndata: x\\n\\nid: 2")`` returns the first event.
    """

    last_id: str = ""
    _rest: bytes = field(default=b"", repr=False)

    def split(self, data: bytes) -> bytes:
        """Return the whole events up to the end of ``data``."""
        self._rest += data
        end = max(
            (place + len(mark) if (place := self._rest.rfind(mark)) >= 0 else 0)
            for mark in BOUNDARIES
        )
        whole, self._rest = self._rest[:end], self._rest[end:]
        if whole:
            self._note_id(whole)
        return whole

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            name, _, value = line.partition(b":")
            if name == b"id":
                self.last_id = value.strip().decode("latin1")
                return

    @property
    def has_rest(self) -> bool:
        """Whether an event was begun and not ended."""
        return bool(self._rest.strip())
