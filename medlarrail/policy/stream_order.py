"""Decides whether an event may follow those that the caller of a stream has.

Handles endpoints that are asked to go on with streams, by callers and by gateways,
while other endpoints end: one that begins again instead, or sends an event twice, gives
the caller text that no run wrote.
"""

from enum import StrEnum

from attrs import define, field, frozen

MAX_RESUMABLE_ID_LENGTH = 256
"""Characters of an ID after which another endpoint is asked to go on: it is sent in a
header, and the size of a head is limited."""
MAX_DESCRIBED_ID_LENGTH = 64
"""Characters of an ID in errors and log lines."""

MAX_CONVERTED_DIGITS = 18
"""Digits of a number that is converted: more than any count of events needs."""


class OrderReason(StrEnum):
    """Why an event does not go on from the last ID."""

    NOT_RESUMED = "not-resumed"
    """The first ID of an answer does not follow that after which it should go on."""
    REPEATED = "repeated"
    """The ID is that of the event before."""
    DECREASED = "decreased"
    """The ID is a smaller number than an earlier one."""


@frozen
class OrderFault:
    """An event that may not be passed on; ``received_id`` is its ID."""

    reason: OrderReason
    previous_id: str
    received_id: str


@define
class StreamOrder:
    """What the caller of one stream has, over all answers to its request.

    IDs that are numbers increase, in any steps. They are compared by their digits
    without leading zeros, so that their length has no limit. Other IDs have no order:
    the same one twice in a row is a repeat, and no more can be told. A number is
    compared with the last number, whatever IDs stood between them.

    An event without an ID, or with an empty one, can't be compared. The next ID is
    compared with the last one before it.

    An answer whose IDs decrease may repeat events, or send late what it left out. The
    second shows that an event is missing before the last, which no other answer can
    bring. Only numbers that the caller is known to have are taken for the first.

    >>> order = StreamOrder("3")
    >>> order.advance("5"), order.advance("5").reason.value
    (None, 'repeated')
    """

    last_id: str = ""
    """ID after which the stream goes on, empty before the first."""
    has_unidentified: bool = False
    """Whether events without an ID were passed on since ``last_id``."""
    has_gap: bool = False
    """Whether an event may be missing among those that were passed on."""
    _last_number: tuple[int, str] | None = field(init=False)
    _row_start: tuple[int, str] | None = field(init=False)
    """The caller has all numbers from here to the last one."""

    def __attrs_post_init__(self):
        self._last_number = _read_number(self.last_id)
        # What is missing before a take-up was not left out by an answer to it.
        self._row_start = None if self._last_number is None else _read_number("0")

    @property
    def is_resumable(self) -> bool:
        """Whether another answer can go on where the caller is.

        Events without an ID since the last one would be repeated. An ID that is long,
        or holds characters that a header may not, can't be sent to an endpoint.
        """
        last_id = self.last_id
        is_sendable = last_id.isascii() and last_id.isprintable()
        is_short = len(last_id) <= MAX_RESUMABLE_ID_LENGTH
        is_complete = not self.has_unidentified and not self.has_gap
        return is_sendable and is_short and is_complete

    def advance(self, event_id: str, resumes: bool = False) -> OrderFault | None:
        """Record an event that is passed on; returns the fault if it may not be.

        ``event_id`` is not empty. ``resumes`` says that it is the first ID of an answer
        that should go on after ``last_id``.
        """
        number = _read_number(event_id)
        last = self._last_number
        is_comparable = number is not None and last is not None
        if event_id == self.last_id or (is_comparable and number == last):
            return self._build_fault(OrderReason.REPEATED, event_id, resumes)
        if is_comparable and number < last:
            if not resumes and number < self._row_start:
                self.has_gap = True
            return self._build_fault(OrderReason.DECREASED, event_id, resumes)
        if number is not None:
            if last is None or not _is_next(last, number):
                self._row_start = number
            self._last_number = number
        self.last_id = event_id
        self.has_unidentified = False
        return None

    def _build_fault(
        self, reason: OrderReason, event_id: str, resumes: bool
    ) -> OrderFault:
        if resumes:
            reason = OrderReason.NOT_RESUMED
        return OrderFault(reason, self.last_id, event_id)


def _read_number(event_id: str) -> tuple[int, str] | None:
    """Return a key by which numbers sort, None for an ID that is no number."""
    if not (event_id.isascii() and event_id.isdecimal()):
        return None
    digits = event_id.lstrip("0")
    return len(digits), digits


def _is_next(last: tuple[int, str], number: tuple[int, str]) -> bool:
    """Return whether a number follows in a step of one.

    Long numbers are taken for larger steps: their conversion takes time.
    """
    if number[0] > MAX_CONVERTED_DIGITS:
        return False
    return int(number[1]) == int(last[1] or 0) + 1


def describe_id(event_id: str) -> str:
    """Return an ID as it is logged.

    >>> describe_id("7" * 65)[-4:]
    '7...'
    """
    if len(event_id) <= MAX_DESCRIBED_ID_LENGTH:
        return event_id
    return event_id[:MAX_DESCRIBED_ID_LENGTH] + "..."
