"""Announcements of endpoints, and the records of them sent to entries."""

from typing import Literal

from attrs import frozen

AnnouncedState = Literal["ready", "leaving"]


@frozen
class ModelWeights:
    """The weight version of a model that an endpoint has loaded."""

    model: str
    version: int


@frozen
class Announcement:
    """A status announcement of an endpoint.

    ``started_ms`` is the Unix time of its start in milliseconds and identifies the
    incarnation; ``sequence`` increases with each message of one incarnation. For
    another ``cold_ms`` milliseconds the endpoint is limited to its cold rate.
    ``software_version`` is that of its program, not of its weights, and may be empty.
    """

    name: str
    service: str
    address: str
    data_centre: str
    started_ms: int
    sequence: int
    state: AnnouncedState
    cold_ms: int = 0
    slots: int = 1
    models: tuple[ModelWeights, ...] = ()
    software_version: str = ""

    @property
    def sequence_key(self) -> tuple[int, int]:
        """Sort key that orders the announcements of one endpoint by age."""
        return (self.started_ms, self.sequence)

    def get_version(self, model: str) -> int:
        """Return the loaded version of ``model``, or 0 if it is not loaded."""
        return next(
            (weights.version for weights in self.models if weights.model == model), 0
        )


@frozen
class EndpointMark:
    """What was acknowledged to an endpoint that leaves or is gone.

    Announcements before ``sequence`` of the incarnation ``started_ms`` are outdated,
    and all of it if the endpoint is ``gone``.
    """

    name: str
    started_ms: int
    sequence: int = 0
    gone: bool = False

    @property
    def sort_key(self) -> tuple[int, bool, int]:
        """Sort key that orders the marks of one endpoint by age."""
        return (self.started_ms, self.gone, self.sequence)

    @property
    def log_fields(self) -> dict[str, str | int | bool]:
        """The mark as log lines have it."""
        return {
            "endpoint": self.name,
            "started_ms": self.started_ms,
            "sequence": self.sequence,
            "gone": self.gone,
        }

    def is_outdated(self, announced: Announcement) -> bool:
        """Return whether an announcement of the endpoint was sent before the mark.

        >>> mark = EndpointMark("engine-1", started_ms=1000, sequence=5)
        >>> late = Announcement("engine-1", "guide", "e:1", "north", 1000, 4, "ready")
        >>> mark.is_outdated(late)
        True
        """
        if self.gone:
            return announced.started_ms <= self.started_ms
        return announced.sequence_key < (self.started_ms, self.sequence)


@frozen
class RegisteredEndpoint:
    """The record of an endpoint that is sent to entries.

    ``revision`` is the registry's change counter at the latest change of this
    endpoint, and ``cold_ms`` the sender's estimate of the remaining cold start, in
    milliseconds from the sending. ``loading`` is set while an order to load other
    weights is in progress. ``limit_per_s`` is the rate of requests that the endpoint
    named for all entries together, None for no limit.
    """

    announced: Announcement
    revision: int
    cold_ms: int = 0
    loading: bool = False
    limit_per_s: float | None = None


@frozen
class RegisteredEntry:
    """An entry that is listed to callers.

    ``work_address`` is the address for work reports from other entries, or empty.
    """

    name: str
    address: str
    data_centre: str
    work_address: str = ""
    tells_streams: bool = False
    """Whether it tells state members of all streams that may be taken up; entries of
    the version before tell of some."""
    names_sharers: bool = False
    """Whether it keeps what isolated accounts made while they shared from the others;
    entries of the version before use one scope for all that share."""
