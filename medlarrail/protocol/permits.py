"""Messages between the entry that serves a caller and an endpoint's owner."""

from typing import Literal

from attrs import frozen

ACQUIRE_PATH = "/internal/permit/acquire"
NOTICES_PATH = "/internal/permit/notices"
HOLDINGS_PATH = "/internal/permit/holdings"

RunOutcome = Literal["ok", "refused", "broken", "silent", "unreachable", "unused"]


@frozen
class AcquireRequest:
    """Asks for a permit to run one request at ``endpoint``.

    ``wait_s`` is how long the request can wait for the permit and ``hold_s``
    how long it may be held. ``epoch`` is that of the asking entry's session.
    ``block_keys`` lets the owner tell how much context the endpoint has cached.
    """

    permit: str
    endpoint: str
    entry: str
    epoch: int
    account: str
    weight: float
    wait_s: float
    hold_s: float
    block_keys: tuple[str, ...] = ()


@frozen
class AcquireAnswer:
    """A permit; it has to be used within ``life_s`` of the request's sending."""

    permit: str
    incarnation: str
    weight_version: str
    life_s: float
    cached_blocks: int = 0
    running: int = 0


@frozen
class Notice:
    """Tells the owner that a permitted request got a response, or ended.

    ``started`` notices carry the incarnation that answered; it proves that this
    incarnation lived after the permit was given.
    """

    permit: str
    endpoint: str
    kind: Literal["started", "ended"]
    incarnation: str = ""
    outcome: RunOutcome = "ok"


@frozen
class Holding:
    """A permit that an entry holds."""

    permit: str
    endpoint: str
    account: str
    hold_s: float


@frozen
class NoticesRequest:
    """Notices in order, and every permit that the entry holds of this owner."""

    entry: str
    epoch: int
    notices: tuple[Notice, ...]
    held: tuple[str, ...]


@frozen
class HoldingsRequest:
    """A new owner asks what an entry holds and to grant nothing any more."""

    owner: str
    view_epoch: int
    endpoints: tuple[str, ...]


@frozen
class HoldingsAnswer:
    """The permits held; the answering entry acts under this view or a later one."""

    view_epoch: int
    holdings: tuple[Holding, ...]
