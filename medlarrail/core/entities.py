"""The immutable records that the configuration consists of.

Every record is an ``attrs`` class; the catalogue holds them and the messages
carry them. Changing one means replacing it whole.
"""

from typing import Literal

from attrs import field, frozen

CallMode = Literal["repeat", "once"]
OrderKind = Literal["load-weights", "load-adapter", "set-role"]
EndpointKind = Literal["model", "service"]
EndpointState = Literal["in", "leaving", "out"]


@frozen
class CallRule:
    """Says whether calls that match ``pattern`` may be repeated.

    ``pattern`` is a prefix of ``service/path``, for example
    ``box-office/purchase``. A call in mode ``once`` runs at most once and
    needs an ``Idempotency-Key``.
    """

    pattern: str
    mode: CallMode


@frozen
class Contract:
    """What one client account may do, and the limits that follow.

    ``share`` is the weight of the account wherever accounts compete,
    ``priority`` (0 to 3) multiplies it, ``max_running`` bounds the requests
    that one entry runs for the account, ``retry_ratio`` is the number of
    retries that one request earns, ``queue_wait_s`` bounds the wait before an
    endpoint, and ``deadline_s`` is used where the caller states none.
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

    ``cold_limit`` and ``warm_limit`` are the requests that it bears at once
    after a cold start and when warm; in between the limit grows over
    ``warmup_requests`` completed requests. ``block_bytes`` is the size of a
    block of cached context in bytes of prompt text, 0 for plain services.
    ``checks_fencing`` tells whether it refuses orders with an old fencing
    number. ``state`` is changed by operators and by the endpoint's leaving.
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

    An entry that is ``leaving`` owns no endpoint and is on no caller's list, but
    still serves the callers that have not noticed yet.
    """

    entry: str
    url: str
    data_centre: str
    epoch: int
    leaving: bool = False


@frozen
class Store:
    """A store of kept context, as it announced itself."""

    name: str
    url: str
    data_centre: str


@frozen
class DesiredVersion:
    """The weight version that every endpoint of ``model`` is to load.

    Versions with an ``ordinal`` only go up: a lower one changes nothing.
    """

    model: str
    weight_version: str
    max_loads: int = 2
    floor: int = 1
    ordinal: int = 0


@frozen
class WeightLoad:
    """A weight load that is allowed to run now."""

    endpoint: str
    weight_version: str
    epoch: int


@frozen
class EndpointOrder:
    """An order to one endpoint; ``done`` once the endpoint has taken it."""

    endpoint: str
    kind: OrderKind
    value: str
    done: bool = False


@frozen
class MemberInfo:
    """A state member: ``identity`` changes when its disk is lost."""

    identity: str
    name: str
    url: str
    voter: bool = True


@frozen
class View:
    """The open sessions at one point of the log, ordered by entry name.

    ``epoch`` is the log index of the last change of sessions. It is the fencing
    number of everything that an owner does under this view.
    """

    epoch: int = 0
    sessions: tuple[EntrySession, ...] = ()

    def list_owners(self) -> tuple[EntrySession, ...]:
        """Return the sessions that own endpoints: all that do not leave."""
        staying = tuple(one for one in self.sessions if not one.leaving)
        return staying or self.sessions

    def get_session(self, entry: str) -> EntrySession | None:
        """Return the session of ``entry``, or None where it has none."""
        return next((one for one in self.sessions if one.entry == entry), None)


@frozen
class Fault:
    """A fault of a settings file or message, with its place in it."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


@frozen
class LedgerKey:
    """Names one call that may not be repeated."""

    account: str
    key: str


@frozen
class StoredAnswer:
    """The whole answer to a call, as the ledger keeps it."""

    status: int
    content_type: str
    body: str = field(repr=False)
