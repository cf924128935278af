"""Splits a stream of server-sent events and passes on those that go on from the last.

The format is that of the HTML standard, "Server-sent events". A line ends with LF, CR
or CRLF, and a blank line ends an event. Of several ``id`` lines in an event the last
one counts, wherever it stands; one that contains NUL is ignored. A comment, or an
``id:`` inside of the text of a ``data`` line, is no ID.
"""

import re
from collections.abc import Iterator

from attrs import define, field

from medlarrail.policy.answer_end import find_foreign_line
from medlarrail.policy.stream_order import OrderFault, StreamOrder

EVENT_BOUNDARIES = (b"\n\n", b"\n\r\n", b"\r\r")
LONGEST_BOUNDARY = max(map(len, EVENT_BOUNDARIES))
BOUNDARY = re.compile(rb"\n\r?\n|\r\r|\n\r(?=[^\r\n])")
"""The end of an event within complete events, also if line ends are mixed."""
ID_LINE = re.compile(rb"[\r\n]id(?::([^\r\n]*))?(?=[\r\n])")
DATA_LINE = re.compile(rb"[\r\n]data(?=[:\r\n])")
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


@define
class EventSplitter:
    """Buffers bytes and returns complete events.

    Example: ``split(b"id: 1\\ndata: x\\n\\nid: 2")`` returns the first event.
    """

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
        return events

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


@define
class OrderedEvents:
    """The events of one answer that go on from what the caller has.

    ``order`` outlives the answer. After the first event that does not go on, ``fault``
    is set and nothing more is passed on.

    In an answer that goes on after an ID, events without one are held until the first
    ID shows that the answer does go on, or until its end: an answer that begins again
    may begin with such events. Comments are passed on at once.

    Example: with ``StreamOrder("1")``, ``pass_on(b"id: 2\\n\\nid: 2\\n\\n")`` returns
    the first event.
    """

    order: StreamOrder
    continues: bool = False
    """Whether bytes of an earlier answer were passed on."""
    is_unframed: bool = False
    """Whether only the end of the connection ends the answer; bytes that are no events
    may then belong to another one."""
    has_foreign: bool = False
    """Whether such bytes were received. Nothing is passed on from their event on."""
    fault: OrderFault | None = None
    resumed_after: str = field(init=False)
    """The ID after which the answer goes on, empty if it is the first one."""
    first_id: str = ""
    """The first ID that was passed on, empty before it."""
    last_id: str = ""
    """The last ID that was passed on, empty before it."""
    _splitter: EventSplitter = field(factory=EventSplitter)
    _is_begun: bool = False
    _has_unidentified: bool = False
    """Whether events without an ID were received."""
    _held: bytearray = field(factory=bytearray, repr=False)

    def __attrs_post_init__(self):
        self.resumed_after = self.order.last_id

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete and of held events."""
        return self._splitter.remainder_bytes + len(self._held)

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end inside an event."""
        return self._splitter.has_partial_event

    @property
    def has_advanced(self) -> bool:
        """Whether the answer holds events that go on from what the caller has.

        Held events don't show it.
        """
        is_first = not self.resumed_after
        return bool(self.first_id) or (is_first and self._has_unidentified)

    def pass_on(self, data: bytes) -> bytes:
        """Append bytes of the answer and return the events to pass on."""
        events = self._splitter.split(data)
        if not events or self.fault is not None or self.has_foreign:
            return b""
        if self.is_unframed:
            events = self._remove_foreign(events)
        if not self._is_begun:
            self._is_begun = True
            if self.continues:
                # Only the first bytes that a caller receives may be a mark.
                events = events.removeprefix(BYTE_ORDER_MARK)
        return self._check(events)

    def take_rest(self) -> bytes:
        """Return what follows the last event of an answer that is complete."""
        rest = bytes(self._held) + self._splitter.take_remainder()
        if self._held:
            self.order.has_unidentified = True
            self._held.clear()
        return rest

    def clear(self) -> None:
        """Free incomplete and held events of an answer that is given up."""
        self._splitter.take_remainder()
        self._held.clear()

    def _remove_foreign(self, events: bytes) -> bytes:
        """Return the ``events`` before the first with a line that is part of none."""
        text = b"\n" + events.removeprefix(BYTE_ORDER_MARK)
        position = find_foreign_line(text)
        if position is None:
            return events
        self.has_foreign = True
        return text[1 : _find_event(text, 0, position)]

    def _check(self, events: bytes) -> bytes:
        """Return the complete ``events`` up to the first that does not go on."""
        # A line begins after the end of another one, the first one too.
        text = b"\n" + events.removeprefix(BYTE_ORDER_MARK)
        added_bytes = len(text) - len(events)
        end = len(text)
        id_end = 0
        for line in _iterate_ids(text):
            event_id = _read_id(line)
            if not event_id:
                continue
            self.fault = self.order.advance(event_id, self._awaits_id)
            if self.fault is not None:
                end = _find_event(text, id_end, line.start())
                break
            self.first_id = self.first_id or event_id
            self.last_id = event_id
            id_end = line.end()
        if self.fault is not None and self._awaits_id:
            self._held.clear()
            return b""
        has_unidentified = _has_data(text, id_end, end)
        self._has_unidentified |= has_unidentified
        accepted = events[: end - added_bytes]
        if self._awaits_id and (has_unidentified or self._held):
            self._held += accepted
            return b""
        if has_unidentified:
            self.order.has_unidentified = True
        if self._held:
            accepted = bytes(self._held) + accepted
            self._held.clear()
        return accepted

    @property
    def _awaits_id(self) -> bool:
        """Whether no ID has shown yet that the answer goes on where it should."""
        return bool(self.resumed_after) and not self.first_id


def _iterate_ids(text: bytes) -> Iterator[re.Match[bytes]]:
    """Yield the last ``id`` line of each event that has one."""
    last = None
    for line in ID_LINE.finditer(text):
        if b"\0" in line[0]:
            continue
        # The search has to see the first byte of the line, which tells CR from CRLF.
        if last and BOUNDARY.search(text, last.end(), line.start() + 2):
            yield last
        last = line
    if last:
        yield last


def _read_id(line: re.Match[bytes]) -> str:
    """Return the ID in an ``id`` line as a header holds it, without outer blanks."""
    return (line[1] or b"").strip().decode("latin1")


def _find_event(text: bytes, start: int, position: int) -> int:
    """Return where the event around ``position`` begins, ``start`` being before it."""
    begin = 1
    for boundary in BOUNDARY.finditer(text, start, position + 2):
        begin = boundary.end()
    return begin


def _has_data(text: bytes, id_end: int, end: int) -> bool:
    """Return whether an event with data follows the one whose ``id`` ends there.

    Without data, an event is not shown to the caller's program. ``id_end`` is 0 if no
    event before has an ID.
    """
    begin = 0
    if id_end:
        boundary = BOUNDARY.search(text, id_end)
        begin = boundary.end() - 1 if boundary else end
    return DATA_LINE.search(text, begin, end) is not None


def _is_comment(line: bytes) -> bool:
    """Return whether ``line`` is a complete comment."""
    return line.startswith(b":") and line.endswith((b"\n", b"\r"))
