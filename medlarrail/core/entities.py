"""Immutable records of the cluster configuration.

Every record is an ``attrs`` class, stored in the catalogue and carried in
messages. A record is changed by replacing it.
"""

from typing import Literal

from attrs import field, frozen

CallMode = Literal["repeat", "once"]
OrderKind = Literal["load-weights", "load-adapter", "set-role"]
EndpointKind = Literal["model", "service"]
EndpointState = Literal["in", "leaving", "out"]


@frozen
class CallRule:
    """Whether calls that match ``pattern`` may be repeated.

    ``pattern`` is a prefix of ``service/path``, for example
    ``box-office/purchase``. A call in mode ``once`` runs at most once and
    needs an ``Idempotency-Key``.
    """

    pattern: str
    mode: CallMode


@frozen
class Contract:
    """Permissions and limits of one client account.

    ``share`` is the weight of the account where accounts compete for capacity,
    ``priority`` (0 to 3) multiplies it, ``max_running`` bounds the concurrent
    requests that one entry runs for the account, ``retry_ratio`` is the number of
    retries added to the retry budget per request, ``queue_wait_s`` bounds the wait
    in an endpoint's queue, and ``deadline_s`` is the default deadline.
    ``keys_sha256`` holds digests of bearer keys, never the keys.
    """

    account: str
    keys_sha256: tuple[str, ...] = ()
    share: float = 1.0
    priority: int = 1
    max_running: int = 64
    models: tuple[str, ...] = ()
    calls: tuple[CallRule, ...] = ()
    retry_ratio: float = 0.1
    queue_wait_s: float = 2.0
    deadline_s: float = 60.0


@frozen
class DataCentre:
    """A data centre and whether it is in service."""

    name: str
    in_service: bool = True


@frozen
class Endpoint:
    """A back end, as it announced itself.

    ``cold_limit`` and ``warm_limit`` are its limits of concurrent requests after a
    cold start and when warm; in between the limit grows over
    ``warmup_requests`` completed requests. ``block_bytes`` is the size of a
    block of cached context in bytes of prompt text, 0 for plain services.
    With ``checks_fencing`` it refuses orders with an outdated fencing token.
    ``state`` is changed by operators and when the endpoint shuts down.
    """

    name: str
    url: str
    kind: EndpointKind
    serves: str
    data_centre: str
    incarnation: str
    weight_version: str = ""
    adapter: str = ""
    cold_limit: int = 1
    warm_limit: int = 8
    warmup_requests: int = 16
    block_bytes: int = 0
    prefill_bytes_per_s: float = 40000.0
    checks_fencing: bool = True
    state: EndpointState = "in"


@frozen
class EntrySession:
    """The open session of an entry; ``epoch`` is the log index that opened it.

    An entry that is ``leaving`` owns no endpoint and is not listed to callers, but
    still serves callers with an older list.
    """

    entry: str
    url: str
    data_centre: str
    epoch: int
    leaving: bool = False


@frozen
class Store:
    """A context store, as it announced itself."""

    name: str
    url: str
    data_centre: str


@frozen
class WeightLoad:
    """A weight load that holds a load slot."""

    endpoint: str
    weight_version: str
    epoch: int


@frozen
class EndpointOrder:
    """An order to one endpoint; ``done`` once the endpoint has accepted it."""

    endpoint: str
    kind: OrderKind
    value: str
    done: bool = False


@frozen
class MemberInfo:
    """A state member; its ``identity`` changes when its disk is lost."""

    identity: str
    name: str
    url: str
    voter: bool = True


@frozen
class SessionView:
    """The open sessions at one log index, ordered by entry name.

    ``epoch`` is the log index of the last session change. It is the fencing token
    of every operation of an owner under this view.
    """

    epoch: int = 0
    sessions: tuple[EntrySession, ...] = ()

    def list_owners(self) -> tuple[EntrySession, ...]:
        """Return the sessions that own endpoints: those not leaving, or all if none."""
        remaining = tuple(session for session in self.sessions if not session.leaving)
        return remaining or self.sessions

    def get_session(self, entry: str) -> EntrySession | None:
        """Return the session of ``entry``, or None."""
        return next(
            (session for session in self.sessions if session.entry == entry), None
        )


@frozen
class LedgerKey:
    """Identifies one non-repeatable call."""

    account: str
    key: str


@frozen
class StoredAnswer:
    """The complete answer to a call, as stored in the ledger."""

    status: int
    content_type: str
    body: str = field(repr=False)
