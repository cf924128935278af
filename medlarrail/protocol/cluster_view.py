"""Messages of an entry's long poll for cluster state at a state member.

One call does three things: it is the entry's heartbeat, it requests the changes
since the previous call, and it waits for some time if there are none. The leader
answers, or a follower from its copy of the leader's state. Followers update that copy
with the same call, in which they also report the entries that call them.
"""

from attrs import frozen

from medlarrail.core.announcements import (
    EndpointMark,
    RegisteredEndpoint,
    RegisteredEntry,
)
from medlarrail.core.cluster_records import (
    BlockedParts,
    DesiredVersion,
    ServiceVersions,
    SharedPart,
    VersionAge,
)
from medlarrail.core.deployment import Deployment
from medlarrail.core.software_rollouts import SoftwareRollout

CLUSTER_VIEW_PATH = "/internal/picture"
ANNOUNCEMENTS_PATH = "/v1/announcements"
DEPARTURES_PATH = "/v1/departures"
LIMITS_PATH = "/internal/limits"


@frozen
class DepartureNotice:
    """Announces that the endpoint ``name`` leaves and accepts no more requests."""

    name: str


@frozen
class LimitReport:
    """Reports the rate that an incarnation of an endpoint named, None for none."""

    entry: str
    endpoint: str
    started_ms: int
    limit_per_s: float | None = None


@frozen
class EntryReport:
    """An entry's call to a follower, which it received ``age_s`` seconds ago."""

    entry: RegisteredEntry
    ready: bool
    age_s: float
    limited_services: tuple[str, ...] = ()


@frozen
class ClusterViewRequest:
    """The revisions that the entry has; ``wait_s`` bounds the wait for newer ones.

    ``epoch`` identifies the leadership in which ``endpoints_seen``, ``entries_seen``
    and ``configuration_seen`` were counted. An entry that is not ``ready`` is not
    listed to callers.
    """

    entry: str
    address: str
    data_centre: str
    ready: bool
    epoch: str = ""
    endpoints_seen: int = 0
    entries_seen: int = 0
    configuration_seen: int = 0
    deployment_version: int = -1
    wait_s: float = 0.5
    work_address: str = ""
    """Address for work reports from other entries; empty for none."""
    suspects_seen: int = 0
    limited_services: tuple[str, ...] = ()
    """Services whose endpoints told this entry that they fall over if they have to
    reject many requests."""
    reads_age: bool = False
    """Whether the caller considers ``age_s``, so that a follower may answer."""
    entry_count: int = 1
    """Number of entries that the caller knows of."""
    reports: tuple[EntryReport, ...] | None = None
    """The calls that a follower received; None from an entry."""
    knows_rollouts: bool = False
    """Whether the caller applies software rollouts; if not, endpoints of a version
    under trial are not listed to it."""
    tells_streams: bool = False
    """See ``RegisteredEntry``."""
    names_sharers: bool = False
    """See ``RegisteredEntry``."""

    def get_registered_entry(self) -> RegisteredEntry:
        """Return the calling entry as it is listed to others."""
        return RegisteredEntry(
            self.entry,
            self.address,
            self.data_centre,
            self.work_address,
            self.tells_streams,
            self.names_sharers,
        )


@frozen
class ClusterViewAnswer:
    """The changes since the entry's copy of the cluster state.

    A new leader is not ``settled`` for some seconds: it may not have heard from
    every endpoint and entry yet, so none may be removed for not being listed.
    ``whole`` means that ``endpoints`` lists all endpoints and not only those that
    changed. ``entries`` is None if nothing changed, and ``deployment`` is None if
    the entry has the latest version. ``age_s`` is the time from the latest call of a
    follower that the leader answered to the arrival of the entry's call, negative if
    the entry's was the earlier one.
    """

    epoch: str
    settled: bool
    whole: bool
    endpoints_revision: int
    entries_revision: int
    configuration_index: int
    endpoints: tuple[RegisteredEndpoint, ...] = ()
    departed: tuple[str, ...] = ()
    marks: tuple[EndpointMark, ...] | None = None
    """What was acknowledged to endpoints that leave or are gone, also by the leaders
    before. None unless the answer is whole and its leader is not settled."""
    entries: tuple[RegisteredEntry, ...] | None = None
    entry_count: int = 1
    """Number of entries that may be serving, including the leaving ones."""
    suspects_revision: int = 0
    suspects: tuple[SharedPart, ...] | None = None
    """Parts of prompts and whole requests that may crash endpoints; None if nothing
    changed."""
    trial_requests: tuple[SharedPart, ...] | None = None
    """Requests that may only be sent as trials; None if nothing changed."""
    blocked: tuple[BlockedParts, ...] | None = None
    """None if nothing changed."""
    software_versions: tuple[ServiceVersions, ...] | None = None
    """The software versions that may have begun streams; None if nothing changed."""
    rollouts: tuple[SoftwareRollout, ...] | None = None
    """The latest software rollout of each service; None if nothing changed."""
    deployment: Deployment | None = None
    out_data_centres: tuple[str, ...] = ()
    limited_services: tuple[str, ...] = ()
    """Services whose endpoints told any entry so."""
    desired: tuple[DesiredVersion, ...] = ()
    version_ages: tuple[VersionAge, ...] = ()
    """Ages of the weight versions when the call arrived at the member that answers,
    negative for those that were named since. Empty from the version before."""
    isolated_ago_s: float | None = None
    """Time since an account was isolated by a document that the member has seen, None
    if it has seen none such or is of the version before."""
    member_urls: tuple[str, ...] = ()
    age_s: float = 0.0
    takes_reports: bool = False
    """Whether the leader takes the reports of followers."""
