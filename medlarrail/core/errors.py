"""The hierarchy of errors that every part of the system raises.

Each failure is a type. Its attributes are its data, and its class attributes
tell a caller how to react: the HTTP ``status`` and, in ``run``, whether the request
ran at a back end (``"no"``, ``"yes"`` or ``"unknown"``). ``retry_after_s`` is the
delay before a retry, where one may succeed.

Example: ``raise Overloaded(endpoint="engine-1", retry_after_s=0.4)``.
"""

from typing import ClassVar, Literal, dataclass_transform

from attrs import define, fields

Run = Literal["no", "yes", "unknown"]


def define_fields(kind: type) -> None:
    """Make an error type and its bases attrs classes, unless they are already.

    Their methods are generated at the first use of a type: for all types together that
    takes a tenth of the processor time of a program's start, and few are ever raised.
    """
    for base in reversed(kind.__mro__):
        if issubclass(base, MedlarError) and "__attrs_attrs__" not in vars(base):
            define(base, slots=False)


@dataclass_transform()
class MedlarError(Exception):
    """Root of the tree."""

    status: ClassVar[int] = 500
    run: ClassVar[Run] = "no"

    def __new__(cls, *_, **__):
        """Create an error of a type whose fields are defined then."""
        define_fields(cls)
        return super().__new__(cls)

    def __str__(self) -> str:
        data = ", ".join(
            f"{field.name}={getattr(self, field.name)!r}"
            for field in fields(type(self))
        )
        summary = (type(self).__doc__ or type(self).__name__).strip().splitlines()[0]
        return f"{summary} ({data})" if data else summary


# Errors of callers and operators: a retry fails unless the request is changed.


class CallerError(MedlarError):
    """The request cannot be served as it stands."""

    status = 400


class BadJson(CallerError):
    """The body is not valid JSON."""

    problem: str = ""


class BadField(CallerError):
    """A field is missing or has a wrong value."""

    place: str = ""
    problem: str = ""


class WrongKey(CallerError):
    """The key is missing or not known."""

    status = 401


class NotAllowed(CallerError):
    """The contract does not allow this."""

    status = 403
    what: str = ""


class UnknownRoute(CallerError):
    """No such path."""

    status = 404
    path: str = ""


class UnknownModel(CallerError):
    """No endpoint serves this model."""

    status = 404
    model: str = ""


class UnknownService(CallerError):
    """No endpoint serves this service."""

    status = 404
    service: str = ""


class NotFound(CallerError):
    """The named object does not exist."""

    status = 404
    kind: str = ""
    name: str = ""


class DeploymentInvalid(CallerError):
    """The deployment document has faults and is not taken."""

    faults: tuple = ()


class MalformedRequest(CallerError):
    """The request cannot be read as one whole request."""

    problem: str = ""


class OverLongHeader(CallerError):
    """The head of the request is longer than the limit."""

    status = 431
    limit_bytes: int = 0


class OverLongBody(CallerError):
    """The body is longer than the limit."""

    status = 413
    limit_bytes: int = 0


class OverComplexBody(CallerError):
    """The body has so many elements that it would need too much memory decoded."""

    status = 413
    needed_bytes: int = 0
    limit_bytes: int = 0


class SlowSender(CallerError):
    """The body did not arrive within the limit."""

    status = 408
    limit_s: float = 0.0


class IdempotencyKeyMissing(CallerError):
    """A call that may not be repeated needs an Idempotency-Key header."""

    status = 400


class IdempotencyKeyReused(CallerError):
    """This Idempotency-Key was used before with another request."""

    status = 422


# Refusals: the request did not run, and a later retry may succeed.


class Refusal(MedlarError):
    """The request was refused and did not run."""

    status = 503
    retry_after_s: float = 1.0


class Overloaded(Refusal):
    """The queue before the endpoint is longer than the request can wait."""

    status = 429
    endpoint: str = ""


class PictureOutdated(Refusal):
    """No state member has confirmed this entry's picture for longer than allowed."""

    age_s: float = 0.0


class EndpointColdStart(Refusal):
    """The endpoint is in cold start and bears no more now."""

    endpoint: str = ""


class ContractLimit(Refusal):
    """The contract's limit of running requests is reached."""

    status = 429
    account: str = ""


class NoEndpoint(Refusal):
    """No endpoint in service can take the request now."""

    target: str = ""


class StreamVersionUnknown(Refusal):
    """It is not known which software version began this stream, so it can't go on."""

    retry_after_s: float | None = None
    service: str = ""


class EndpointOutOfService(Refusal):
    """The endpoint or its data centre is out of service."""

    endpoint: str = ""


class EndpointSilent(Refusal):
    """The endpoint has not reported for longer than the limit."""

    endpoint: str = ""


class OwnershipUnsettled(Refusal):
    """The endpoint's new owner is still taking over."""

    endpoint: str = ""


class NotOwner(Refusal):
    """Another entry owns the endpoint."""

    endpoint: str = ""


class SessionExpired(Refusal):
    """This entry holds no session lease; another entry can serve."""

    entry: str = ""


class PermitExpired(Refusal):
    """The permit ran out before the dispatch."""

    permit: str = ""


class Draining(Refusal):
    """This process is shutting down; another entry can serve."""


class DeploymentUnknown(Refusal):
    """This process knows no deployment document yet."""

    retry_after_s: float = 1.5


class RetryLimit(Refusal):
    """The service's shared budget of retries is spent."""

    service: str = ""


class PromptBlocked(Refusal):
    """Endpoints crash on parts of the prompt."""

    parts: tuple = ()


class RequestBlocked(Refusal):
    """Endpoints crash under this request, so it is not sent again."""

    request: str = ""
    retry_after_s: float | None = None


class RequestOnTrial(Refusal):
    """Endpoints crashed beside this request; a trial decides on it."""

    request: str = ""


class TooManyConnections(Refusal):
    """The process serves as many requests as its settings allow."""

    limit: int = 0


class MemoryShort(Refusal):
    """This process holds as much for others as it may, so nothing was read or ran."""

    wanted_bytes: int = 0


class DeadlineExceeded(Refusal):
    """The deadline passed before the request was dispatched."""

    status = 504
    retry_after_s: float = 0.0


class EndpointRefused(Refusal):
    """The endpoint refused the request before running it."""

    endpoint: str = ""
    reason: str = ""


class EndpointUnreachable(Refusal):
    """No connection to the endpoint could be made, so nothing was sent."""

    endpoint: str = ""


class EndpointBackingOff(Refusal):
    """The endpoint asked for a time without requests, so nothing was sent."""

    endpoint: str = ""


class ConnectionsUsedUp(Refusal):
    """This entry may open no more connections to the endpoint, so nothing was sent."""

    endpoint: str = ""


class ServiceUnreachable(Refusal):
    """This entry reaches no endpoint of the service, nor does the one that asked."""

    service: str = ""
    retry_after_s: float | None = None


class TooManyCarried(Refusal):
    """This entry carries as many requests of other entries as it may."""

    entry: str = ""


class PeerRefused(Refusal):
    """Another entry refused to carry the request, so nothing ran."""

    entry: str = ""
    reason: str = ""
    answered: int = 0
    retry_after_s: float | None = None


class LedgerUnavailable(Refusal):
    """The at-most-once ledger cannot be asked; this request was not dispatched."""


# Failures after dispatch: the request may have run.


class RunFailure(MedlarError):
    """The request was dispatched and its answer was not whole."""

    status = 502
    run = "unknown"
    endpoint: str = ""


class StreamBroken(RunFailure):
    """The connection broke before the answer was whole."""

    tokens: int = 0


class EndpointLost(StreamBroken):
    """The answer ended with its connection, and its endpoint may have ended then."""

    evidence: str = ""


class StreamSilent(RunFailure):
    """The endpoint sent nothing for longer than the limit."""

    status = 504
    limit_s: float = 0.0
    tokens: int = 0


class EndpointFailed(RunFailure):
    """The endpoint answered with a failure of its own."""

    answered: int = 0


class AnswerTruncated(RunFailure):
    """The answer ended without its terminator or with missing tokens."""

    tokens: int = 0


class AnswerTooLong(RunFailure):
    """The endpoint sent more bytes than an answer, or a part of one, may have."""

    limit_bytes: int = 0


class StreamOutOfOrder(RunFailure):
    """The endpoint sent an event that does not go on from the one before it."""

    previous_id: str = ""
    received_id: str = ""
    reason: str = ""


class StreamMixed(RunFailure):
    """The endpoint sent bytes that are no events among those of a stream."""


class EndUnproven(RunFailure):
    """The answer ended with its connection and may be incomplete."""


class AnswerCrossed(RunFailure):
    """The endpoint answered another request."""

    expected: str = ""
    received: str = ""


class RunDeadlineExceeded(RunFailure):
    """The deadline passed while the request ran."""

    status = 504


class RunInterrupted(RunFailure):
    """The gateway shut down before the endpoint had answered."""


class OutcomeUnknown(RunFailure):
    """A call that may not be repeated was dispatched and its outcome is unknown."""

    status = 409


class AnswerNotKept(RunFailure):
    """The call ran before; its answer was too long to be kept."""

    status = 410
    run = "yes"


class RetryBudgetSpent(RunFailure):
    """The contract's retry budget is spent."""

    status = 503


# Errors between the system's own processes.


class PeerError(MedlarError):
    """A call between two processes failed."""

    status = 502
    url: str = ""


class PeerUnreachable(PeerError):
    """The connection could not be made, so nothing was sent."""


class PeerTimeout(PeerError):
    """The peer did not answer in time."""

    run = "unknown"


class PeerBroken(PeerError):
    """The connection broke before the answer was whole."""

    run = "unknown"


class ControlError(MedlarError):
    """The control plane cannot serve the call now."""

    status = 503


class NotLeader(ControlError):
    """Another state member leads, or none does."""

    leader_url: str = ""


class CommitUnknown(ControlError):
    """The change may or may not be accepted: ask again with the same command id."""

    run = "unknown"


class NotBootstrapped(ControlError):
    """The state member belongs to no cluster yet."""


class AlreadyBootstrapped(ControlError):
    """A state member belongs to a cluster already."""

    status = 409
    member: str = ""


class MemberMismatch(ControlError):
    """The call was meant for another identity of this member."""

    status = 409
    expected: str = ""
    actual: str = ""


class MembershipChangePending(ControlError):
    """An earlier change of members is not yet committed."""

    status = 409


class RevisionConflict(ControlError):
    """The object was changed since the revision that the command saw."""

    status = 409
    seen: int = 0
    present: int = 0


class RolloutInProgress(ControlError):
    """A software rollout of this service to another version is in progress."""

    status = 409
    service: str = ""
    target: str = ""


class RolloutEnded(ControlError):
    """The software rollout has ended, and its verdict does not change."""

    status = 409
    service: str = ""
    state: str = ""


class RolloutsNotKnown(ControlError):
    """A voting state member of an older version would ignore the rollout."""

    member: str = ""


class SessionClosed(ControlError):
    """The session is closed; a new one has to be opened."""

    status = 409
    entry: str = ""


class SessionHeld(ControlError):
    """Another process holds the session of this entry's name until it expires."""

    status = 409
    entry: str = ""
    holder_url: str = ""


class LoadLimit(ControlError):
    """As many weight loads run as the settings allow, or the floor is reached."""

    status = 409


class StorageError(MedlarError):
    """Local storage failed."""

    status = 507


class StorageFull(StorageError):
    """The disk or the quota is full."""

    path: str = ""


class StorageFailed(StorageError):
    """The operating system refused to write for another reason."""

    path: str = ""
    problem: str = ""


class StorageDamaged(StorageError):
    """Durable state is damaged elsewhere than at its torn tail."""

    path: str = ""
    offset: int = 0


class BlockError(StorageError):
    """A block of cached context cannot be served."""

    status = 410
    key: str = ""


class BlockFreed(BlockError):
    """The block was freed or never committed."""


class BlockCorrupt(BlockError):
    """The block does not match its checksum."""


class FencedOff(MedlarError):
    """The order carries an older fencing number than one seen before."""

    status = 409
    seen: int = 0


class SettingsInvalid(MedlarError):
    """The settings file has faults."""

    status = 400
    faults: tuple = ()


class InvariantViolation(MedlarError):
    """The program found one of its invariants broken."""

    invariant: str = ""
    detail: str = ""


def iterate_error_types(root: type[MedlarError] = MedlarError):
    """Yield every error type of the hierarchy, the root first."""
    yield root
    for child in root.__subclasses__():
        yield from iterate_error_types(child)


def get_error_types() -> dict[str, type[MedlarError]]:
    """Return the error types keyed by their names on the wire."""
    return {kind.__name__: kind for kind in iterate_error_types()}
