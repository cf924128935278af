"""Permit messages between the entry that serves a caller and an endpoint's owner."""

from typing import Literal

from attrs import frozen

ACQUIRE_PATH = "/internal/permit/acquire"
NOTICES_PATH = "/internal/permit/notices"
HOLDINGS_PATH = "/internal/permit/holdings"

RunOutcome = Literal["ok", "refused", "broken", "silent", "unreachable", "unused"]


@frozen
class AcquireRequest:
    """Requests a permit to run one request at ``endpoint``.

    ``wait_s`` is the maximum wait for the permit and ``hold_s`` the maximum time to
    hold it. ``epoch`` is that of the requesting entry's session. From
    ``block_keys`` the owner determines how much context the endpoint has cached.
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
    """A permit, to be used within ``life_s`` after ``AcquireRequest`` was sent."""

    permit: str
    incarnation: str
    weight_version: str
    life_s: float
    cached_blocks: int = 0
    running: int = 0


@frozen
class PermitNotice:
    """Notifies the owner that a permitted request began to be answered, or ended.

    ``started`` notices carry the incarnation that answered, which proves that it was
    alive after the permit was granted.
    """

    permit: str
    endpoint: str
    kind: Literal["started", "ended"]
    incarnation: str = ""
    outcome: RunOutcome = "ok"


@frozen
class PermitRecord:
    """A permit that an entry holds."""

    permit: str
    endpoint: str
    account: str
    hold_s: float


@frozen
class NoticesRequest:
    """Notices in order, and all permits of this owner that the entry holds."""

    entry: str
    epoch: int
    notices: tuple[PermitNotice, ...]
    held: tuple[str, ...]


@frozen
class HoldingsRequest:
    """A new owner's request for the permits that an entry holds at ``endpoints``.

    The entry first waits for a limited time for the view ``view_epoch``, under which
    it grants no more permits for these endpoints.
    """

    owner: str
    view_epoch: int
    endpoints: tuple[str, ...]


@frozen
class HoldingsAnswer:
    """The permits held; the answering entry uses this view or a later one."""

    view_epoch: int
    holdings: tuple[PermitRecord, ...]
