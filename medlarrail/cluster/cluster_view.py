"""An entry's view of the cluster: deployment document, endpoints and other entries.

The view is updated by consecutive long polls to the leading state member, or to a
follower that has a copy of its state. It never reverts within the lifetime of the
process: a document of a lower version is ignored, and endpoints and entries that an
unsettled leader does not list are retained, unless their departure is in its log.
"""

from collections.abc import Callable

import eliot
from attrs import Factory, define, evolve, field

from medlarrail.cluster.isolation_times import IsolationTimes
from medlarrail.cluster.weight_versions import WeightVersions
from medlarrail.core.announcements import (
    Announcement,
    EndpointMark,
    RegisteredEndpoint,
    RegisteredEntry,
)
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.cluster_records import (
    BlockedParts,
    DesiredVersion,
    ServiceVersions,
    SharedPart,
    is_request_key,
)
from medlarrail.core.deployment import Deployment
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.protocol.cluster_view import ClusterViewAnswer


@define
class EndpointView:
    """The state of an endpoint as known to this entry."""

    announced: Announcement
    cold_until: float = float("-inf")
    loading: bool = False
    limit_per_s: float | None = None
    """The rate that the endpoint named, as the leader listed it."""
    limit_changed_at: float = float("-inf")


@define
class ClusterView:
    """The view of the cluster at this entry.

    ``confirmed_at`` is the send time of the latest call that a leader answered, or that
    of the follower that answered, so the view is at least as recent as that.
    """

    clock: Clock = get_boottime
    deployment: Deployment | None = None
    endpoints: dict[str, EndpointView] = field(factory=dict)
    entries: tuple[RegisteredEntry, ...] = ()
    entry_count: int = 1
    entries_settled: bool = False
    """Whether a settled leader has listed the entries to this process; before that,
    there may be many more than are known."""
    out_data_centres: frozenset[str] = frozenset()
    limited_services: frozenset[str] = frozenset()
    """Services whose endpoints told any entry that they fall over if they have to
    reject many requests."""
    desired: dict[str, DesiredVersion] = field(factory=dict)
    desired_received_at: dict[str, float] = field(factory=dict)
    """When this entry received the desired version of each model: a lower bound of the
    time since others began no request on older weights, not the version's age."""
    weight_versions: WeightVersions = field(
        default=Factory(lambda self: WeightVersions(self.clock), takes_self=True),
        init=False,
    )
    """The ages of the versions, of which none is underestimated."""
    isolation_times: IsolationTimes = field(
        default=Factory(lambda self: IsolationTimes(self.clock), takes_self=True),
        init=False,
    )
    suspects: frozenset[SharedPart] = frozenset()
    """Parts of prompts and whole requests that may crash endpoints."""
    trial_requests: frozenset[SharedPart] = frozenset()
    """Requests that may only be sent as trials."""
    watched_services: frozenset[str] = frozenset()
    """Services with suspected or blocked requests, whose requests are identified."""
    blocked: dict[SharedPart, list[BlockedParts]] = field(factory=dict)
    """Blocked sets of parts by their first part."""
    software_versions: dict[str, frozenset[str]] = field(factory=dict)
    """By service, the software versions that may have begun streams."""
    rollouts: dict[str, SoftwareRollout] = field(factory=dict)
    """The latest software rollout of each service."""
    rollout_listeners: list[Callable[[], None]] = field(factory=list)
    """Called after software rollouts have changed."""
    member_urls: tuple[str, ...] = ()
    confirmed_at: float = float("-inf")
    deployment_listeners: list[Callable[[Deployment], None]] = field(factory=list)
    _blocked_parts: frozenset[SharedPart] = frozenset()
    _listed_limits: dict[str, float | None] = field(factory=dict)
    """The endpoints that the present leader has listed, with the rates they named."""
    _listed_entries: tuple[RegisteredEntry, ...] = ()
    _untold_streams_at: float = float("-inf")
    """When an entry that does not tell of all streams was last listed, if none is."""
    _created_at: float = field(
        default=Factory(lambda self: self.clock(), takes_self=True), init=False
    )
    _is_list_open: bool = False
    """Whether a whole list was received that its leader may still add to, since it has
    not been settled yet."""

    def get_age_s(self) -> float:
        """Return the seconds since a leader last confirmed the view."""
        return self.clock() - self.confirmed_at

    def get_version(self) -> int:
        """Return the version of the deployment document, or -1 if there is none."""
        return -1 if self.deployment is None else self.deployment.version

    def apply(self, answer: ClusterViewAnswer, sent_at: float | None = None) -> None:
        """Apply a member's answer to a call sent at ``sent_at``, by default now."""
        sent_at = self.clock() if sent_at is None else sent_at
        self.confirmed_at = max(self.confirmed_at, sent_at - answer.age_s)
        if answer.deployment is not None:
            self._apply_deployment(answer.deployment)
        if answer.whole:
            self._listed_limits.clear()
            self._is_list_open = True
        for name in answer.departed:
            self.endpoints.pop(name, None)
            self._listed_limits.pop(name, None)
        for registered in answer.endpoints:
            self._apply_endpoint(registered, answer.settled)
            self._listed_limits[registered.announced.name] = registered.limit_per_s
        for mark in answer.marks or ():
            self._apply_mark(mark)
        if answer.entries is not None:
            self._listed_entries = answer.entries
        is_list_complete = answer.settled and self._is_list_open
        if is_list_complete:
            self._is_list_open = False
            self._apply_settled_list()
        if is_list_complete or answer.entries is not None:
            self._apply_entries(self._listed_entries, answer.settled)
        self.entry_count = max(answer.entry_count, len(self.entries), 1)
        self.out_data_centres = frozenset(answer.out_data_centres)
        self.limited_services = frozenset(answer.limited_services)
        self.isolation_times.record_ago(answer.isolated_ago_s)
        self.weight_versions.record_ages(answer.version_ages, sent_at)
        self._apply_desired(answer.desired)
        if answer.suspects is not None:
            self.suspects = frozenset(answer.suspects)
            self._update_watched_services()
        if answer.trial_requests is not None:
            self.trial_requests = frozenset(answer.trial_requests)
        if answer.blocked is not None:
            self._apply_blocked(answer.blocked)
            self._update_watched_services()
        self.member_urls = answer.member_urls
        if answer.software_versions is not None:
            self._apply_software_versions(answer.software_versions)
        if answer.rollouts is not None:
            self._apply_rollouts(answer.rollouts)

    def apply_unconfirmed(
        self,
        state: "AppliedState",  # noqa: F821
        sent_at: float,
    ) -> None:
        """Apply what a member told that may have no leader.

        It is not confirmed to be the latest, but no later leader takes it back.
        """
        if state.deployment is not None:
            self._apply_deployment(state.deployment)
        for mark in state.marks:
            self._apply_mark(mark)
        self.weight_versions.record_ages(state.version_ages, sent_at)
        self._apply_desired(state.desired)

    def _apply_rollouts(self, listed: tuple[SoftwareRollout, ...]) -> None:
        """Apply the records that are newer; one that is not listed stays."""
        applied = False
        for rollout in listed:
            previous = self.rollouts.get(rollout.service)
            if previous is None or previous.sort_key < rollout.sort_key:
                self.rollouts[rollout.service] = rollout
                applied = True
                eliot.log_message(
                    "rollout:in-force",
                    service=rollout.service,
                    target=rollout.target,
                    state=rollout.state,
                    stage=rollout.stage,
                    started_ms=rollout.started_ms,
                )
        if applied:
            for notify in self.rollout_listeners:
                notify()

    def _apply_software_versions(self, listed: tuple[ServiceVersions, ...]) -> None:
        self.software_versions = {
            item.service: frozenset(item.versions) for item in listed
        }

    def may_have_untold_streams(self) -> bool:
        """Return whether state members need not know of a stream to be taken up.

        An entry of the version before is listed, or was so lately.
        """
        untold_s = self.clock() - self._untold_streams_at
        return self._lists_untold_streams() or untold_s <= STREAM_RETENTION_S

    def may_have_untold_contents(self) -> bool:
        """Return whether members need not know of a stream by what its request asks.

        An entry of the version before may have been replaced before this view was
        received for the first time.
        """
        is_new = self.clock() - self._created_at <= STREAM_RETENTION_S
        return is_new or self.may_have_untold_streams()

    def _lists_untold_streams(self) -> bool:
        return not all(entry.tells_streams for entry in self.entries)

    def list_stream_versions(self, service: str) -> frozenset[str]:
        """Return all software versions that may have begun streams of a service."""
        return self.software_versions.get(service, frozenset()) | {
            endpoint.announced.software_version
            for endpoint in self.endpoints.values()
            if endpoint.announced.service == service
        }

    def _apply_deployment(self, deployment: Deployment) -> None:
        previous_version = self.get_version()
        if deployment.version <= previous_version:
            get_metrics().count("deployments_outdated")
            return
        require(
            deployment.version > previous_version,
            "deployment-never-reverts",
            str(previous_version),
        )
        self.deployment = deployment
        self.isolation_times.record(deployment)
        eliot.log_message(
            "deployment:in-force", version=deployment.version, previous=previous_version
        )
        for notify in self.deployment_listeners:
            notify(deployment)

    def _apply_endpoint(self, registered: RegisteredEndpoint, settled: bool) -> None:
        announced = registered.announced
        previous = self.endpoints.get(announced.name)
        if (
            previous is not None
            and previous.announced.sequence_key > announced.sequence_key
        ):
            return
        for name, other in list(self.endpoints.items()):
            same_address = other.announced.address == announced.address
            if same_address and name != announced.name:
                if other.announced.started_ms > announced.started_ms:
                    return
                del self.endpoints[name]
        cold_until = self.clock() + registered.cold_ms / 1000
        endpoint = EndpointView(announced, cold_until, registered.loading)
        self._apply_limit(endpoint, previous, registered.limit_per_s, settled)
        self.endpoints[announced.name] = endpoint

    def _apply_mark(self, mark: EndpointMark) -> None:
        """Apply what was acknowledged to an endpoint, perhaps by an earlier leader.

        A later incarnation, and one that became ready again, are not meant.
        """
        endpoint = self.endpoints.get(mark.name)
        if endpoint is None or not mark.is_outdated(endpoint.announced):
            return
        announced = endpoint.announced
        if mark.gone or announced.started_ms < mark.started_ms:
            del self.endpoints[mark.name]
        else:
            endpoint.announced = evolve(
                announced, state="leaving", sequence=mark.sequence
            )
        get_metrics().count("endpoints_marked", gone=str(mark.gone))
        eliot.log_message("endpoint:marked", **mark.log_fields)

    def _apply_limit(
        self,
        endpoint: EndpointView,
        previous: EndpointView | None,
        listed: float | None,
        settled: bool,
    ) -> None:
        """Apply the listed rate; an unsettled leader may not have been told it yet."""
        endpoint.limit_per_s = listed
        endpoint.limit_changed_at = self.clock()
        if (
            previous is None
            or previous.announced.started_ms != endpoint.announced.started_ms
        ):
            return
        if listed == previous.limit_per_s or (listed is None and not settled):
            endpoint.limit_per_s = previous.limit_per_s
            endpoint.limit_changed_at = previous.limit_changed_at

    def _apply_settled_list(self) -> None:
        """Drop what a leader has not listed although it is settled now."""
        for name in self.endpoints.keys() - self._listed_limits.keys():
            del self.endpoints[name]
        for name, limit_per_s in self._listed_limits.items():
            endpoint = self.endpoints.get(name)
            if endpoint is not None and endpoint.limit_per_s != limit_per_s:
                endpoint.limit_per_s = limit_per_s
                endpoint.limit_changed_at = self.clock()

    def _apply_desired(self, listed: tuple[DesiredVersion, ...]) -> None:
        self.weight_versions.record_desired(listed)
        for desired in listed:
            previous = self.desired.get(desired.model)
            if previous is None or previous.ordinal < desired.ordinal:
                self.desired[desired.model] = desired
                self.desired_received_at[desired.model] = self.clock()
                eliot.log_message(
                    "weights:version-desired",
                    model=desired.model,
                    version=desired.ordinal,
                    age_s=self._get_version_age_s(desired),
                )

    def _get_version_age_s(self, desired: DesiredVersion) -> float:
        ages = self.weight_versions.get_ages(desired.model)
        return round(ages.get(desired.ordinal, 0.0), 3)

    def _apply_blocked(self, listed: tuple[BlockedParts, ...]) -> None:
        self.blocked = {}
        self._blocked_parts = frozenset(
            SharedPart(blocked.service, key)
            for blocked in listed
            for key in blocked.parts
        )
        for blocked in listed:
            first = SharedPart(blocked.service, blocked.parts[0])
            self.blocked.setdefault(first, []).append(blocked)

    def _update_watched_services(self) -> None:
        self.watched_services = frozenset(
            part.service
            for part in self.suspects | self._blocked_parts
            if is_request_key(part.key)
        )

    def is_blocked(self, part: SharedPart) -> bool:
        """Return whether ``part`` is blocked, by itself or with others."""
        return part in self._blocked_parts

    def is_watched(self, part: SharedPart) -> bool:
        """Return whether complete answers to requests with ``part`` are reported."""
        return part in self.suspects or self.is_blocked(part)

    def _apply_entries(
        self, listed: tuple[RegisteredEntry, ...], settled: bool
    ) -> None:
        """Apply a list of entries; that of an unsettled leader may be incomplete."""
        if self._lists_untold_streams():
            self._untold_streams_at = self.clock()
        if settled:
            self.entries = listed
            self.entries_settled = True
            return
        listed_addresses = {entry.address for entry in listed}
        retained = tuple(
            entry for entry in self.entries if entry.address not in listed_addresses
        )
        self.entries = (*listed, *retained)
