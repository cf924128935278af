"""Serves the view of the cluster to entries, on the leading state member."""

import time

import eliot
import trio
from attrs import define, field, frozen

from medlarrail.cluster.crash_ledger import CrashLedger
from medlarrail.cluster.endpoint_marks import EndpointMarks
from medlarrail.cluster.endpoint_sightings import EndpointSightings
from medlarrail.cluster.isolation_times import IsolationTimes
from medlarrail.cluster.known_incarnations import KnownIncarnations
from medlarrail.cluster.registry import EndpointRegistry
from medlarrail.cluster.software_rollouts import SoftwareRollouts
from medlarrail.cluster.software_versions import SoftwareVersions
from medlarrail.cluster.view_copy import ViewCopy, split_hidden
from medlarrail.cluster.weight_versions import WeightVersions
from medlarrail.consensus.replication import LogMember
from medlarrail.core.announcements import Announcement, RegisteredEntry
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.cluster_records import DesiredVersion, SharedPart
from medlarrail.core.deployment import Deployment, select_newer
from medlarrail.core.deployment_check import check_deployment
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import SoftwareRolloutPolicy
from medlarrail.policy.notification import (
    MAX_POLL_WAIT_S,
    get_entry_timeout_s,
    get_report_interval_s,
    get_update_interval_s,
)
from medlarrail.protocol.applied_state import (
    APPLIED_STATE_PATH,
    AppliedState,
    AppliedStateRequest,
)
from medlarrail.protocol.cluster_view import (
    ANNOUNCEMENTS_PATH,
    CLUSTER_VIEW_PATH,
    DEPARTURES_PATH,
    LIMITS_PATH,
    ClusterViewAnswer,
    ClusterViewRequest,
    DepartureNotice,
    LimitReport,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.endpoint_sightings import (
    MAX_SIGHTINGS_WAIT_S,
    SIGHTINGS_PATH,
    SightingsAnswer,
    SightingsRequest,
)
from medlarrail.state.operations import (
    AddSoftwareVersion,
    BlockParts,
    Envelope,
    LogEntry,
    NoOperation,
    Operation,
    Outcome,
    RemoveSoftwareVersion,
    ReplaceDeployment,
    SetDataCentre,
    SetDesiredVersion,
    UnblockParts,
)
from medlarrail.transport.routes import Request, route

CONFIGURATION_OPERATIONS = (
    AddSoftwareVersion,
    RemoveSoftwareVersion,
    ReplaceDeployment,
    SetDataCentre,
    SetDesiredVersion,
    BlockParts,
    UnblockParts,
)
ENTRY_EXPIRY_S = 8.0
"""Silence after which an entry is not counted in dividing limits among entries."""
SETTLE_S = 4.0
"""Time within which a new leader hears from every endpoint and entry: three
announcements of the slowest."""
EXPIRY_CHECK_INTERVAL_S = 0.25


@define
class EntryRecord:
    """An entry with the time of its last call, to this member or to a follower."""

    registered: RegisteredEntry
    ready: bool
    last_call_at: float
    is_caller: bool = True
    """Whether it called this member."""


@frozen
class Publication:
    """The revisions from which on changes are sent to entries, and the suspects."""

    endpoints_revision: int = 0
    entries_revision: int = 0
    suspects_revision: int = 0
    suspects: tuple[SharedPart, ...] = ()
    trial_requests: tuple[SharedPart, ...] = ()


@define(eq=False)
class ClusterViewServer:
    """State of the leader that is not in the log, and the handlers that serve it."""

    member: LogMember
    clock: Clock = get_boottime
    rollout_policy: SoftwareRolloutPolicy | None = None
    """Limits of software rollouts; None if the deployment has none."""
    registry: EndpointRegistry = field(init=False)
    known_incarnations: KnownIncarnations = field(init=False)
    sightings: EndpointSightings = field(init=False)
    crash_ledger: CrashLedger = field(init=False)
    software_versions: SoftwareVersions = field(init=False)
    software_rollouts: SoftwareRollouts = field(init=False)
    endpoint_marks: EndpointMarks = field(init=False)
    weight_versions: WeightVersions = field(init=False)
    """Kept over changes of the leader: a follower measures, too."""
    isolation_times: IsolationTimes = field(init=False)
    """The same holds."""
    view_copy: ViewCopy = field(init=False)
    """From which this member answers entries while it follows."""
    entries: dict[str, EntryRecord] = field(factory=dict)
    follower_calls: dict[str, float] = field(factory=dict)
    """When each follower that answers entries last called."""
    entries_revision: int = 0
    configuration_index: int = field(init=False)
    _limited_at: dict[str, float] = field(factory=dict)
    """When an entry last said that a service is limited."""
    _term: int = -1
    _publication: Publication = field(factory=Publication)
    _published_at: float = float("-inf")
    _publication_due: trio.Event = field(factory=trio.Event)
    _changed: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        self.registry = EndpointRegistry(self.clock)
        self.known_incarnations = KnownIncarnations(self)
        self.sightings = EndpointSightings(self.clock, self.known_incarnations)
        self.crash_ledger = CrashLedger(self.clock)
        self.software_versions = SoftwareVersions(self)
        self.software_rollouts = SoftwareRollouts(self)
        self.endpoint_marks = EndpointMarks(self)
        self.weight_versions = WeightVersions(self.clock)
        self.isolation_times = IsolationTimes(self.clock)
        self.view_copy = ViewCopy(self.member, self.weight_versions, self.clock)
        self.configuration_index = self.member.catalogue.index
        self.member.apply_listeners.append(self._on_applied)
        self.member.install_listeners.append(self._record_catalogue)
        self._record_catalogue()

    def _record_catalogue(self) -> None:
        """Record the state of which the log entries may not have been applied here."""
        self._record_versions()
        if self.member.catalogue.deployment is not None:
            self.isolation_times.record(self.member.catalogue.deployment)

    def _record_versions(self) -> None:
        self.weight_versions.record_desired(self.member.catalogue.desired.values())

    def _on_applied(self, entry: LogEntry, outcome: Outcome) -> None:
        operation = entry.envelope.operation
        has_rollouts = False
        if isinstance(operation, NoOperation):
            self.known_incarnations.on_applied(operation.incarnations)
            has_rollouts = bool(operation.rollouts)
        if has_rollouts:
            self.software_rollouts.on_applied(operation.rollouts, entry)
        if isinstance(operation, SetDesiredVersion):
            self._record_versions()
        if isinstance(operation, ReplaceDeployment):
            self.isolation_times.record(self.member.catalogue.deployment)
        if has_rollouts or isinstance(operation, CONFIGURATION_OPERATIONS):
            self.configuration_index = entry.index
            self._publish()

    def notify_waiters(self) -> None:
        """Send what has changed to the entries, later if they have just been told.

        All changes until then are sent together.
        """
        if self.clock() >= self._get_next_publication():
            self._publish()
        else:
            self._publication_due.set()

    def _get_next_publication(self) -> float:
        """Return when the next changes may be sent.

        An unsettled leader hears of each endpoint anew, and entries that know only a
        few of them overload these. Its changes are not collected for the entries that
        followers answer, since each of these limits its messages itself.
        """
        count = len(self.entries) if self.is_settled() else self._count_callers()
        return self._published_at + get_update_interval_s(count)

    def _count_callers(self) -> int:
        """Return the number of entries and followers that call this member."""
        oldest = self.clock() - ENTRY_EXPIRY_S
        followers = sum(at >= oldest for at in self.follower_calls.values())
        return followers + sum(record.is_caller for record in self.entries.values())

    def _publish(self) -> None:
        """Wake every waiting call to check for changes."""
        ledger = self.crash_ledger
        # A report may have waited at its entry, and the suspects here.
        report_interval_s = get_report_interval_s(len(self.entries))
        update_interval_s = get_update_interval_s(len(self.entries))
        ledger.max_report_delay_s = report_interval_s + update_interval_s
        self._publication = Publication(
            self.registry.revision,
            self.entries_revision,
            ledger.revision,
            ledger.list_suspects(),
            ledger.list_trial_requests(),
        )
        self._published_at = self.clock()
        self._changed.set()
        self._changed = trio.Event()

    async def _publish_when_due(self) -> None:
        while True:
            await self._publication_due.wait()
            await trio.sleep(max(0.0, self._get_next_publication() - self.clock()))
            self._publication_due = trio.Event()
            self._publish()

    def require_leading(self) -> None:
        """Raise ``NotLeader`` unless this member leads; clear state in a new term."""
        leadership = self.member.require_lease()
        if leadership.term != self._term:
            self._term = leadership.term
            self.registry.clear()
            self.crash_ledger.clear()
            self.known_incarnations.clear_unreported()
            self.sightings.begin_term()
            self.entries.clear()
            self.follower_calls.clear()
            self._limited_at.clear()
            self.software_versions.clear()
            self.endpoint_marks.clear()
            self.entries_revision += 1
            self._publish()

    def _is_leading(self) -> bool:
        """Return whether this member leads, with or without a valid lease."""
        return self.member.leadership is not None

    def is_settled(self) -> bool:
        """Return whether every live endpoint and entry had time to announce itself."""
        leadership = self.member.leadership
        return (
            leadership is not None and self.clock() - leadership.elected_at > SETTLE_S
        )

    # Calls from endpoints and operators.

    async def register_announcement(self, announced: Announcement) -> None:
        """Record an announcement once the log has what must not be forgotten of it.

        That is its software version, and that it is leaving. Announcements that were
        sent before a departure of which the log tells are ignored.
        """
        received_at = self.clock()
        await self.member.confirm_reads()
        self.require_leading()
        is_outdated = self.registry.is_outdated(announced)
        if not is_outdated and not self.endpoint_marks.is_outdated(announced):
            await self.software_versions.add(announced)
            if announced.state == "leaving":
                await self.endpoint_marks.mark_leaving(announced)
        # The log may have got another mark meanwhile; the registry checks itself.
        if self.endpoint_marks.is_outdated(announced):
            get_metrics().count("announcements_outdated")
            return
        self.record_announcement(announced, received_at)

    def record_announcement(
        self, announced: Announcement, received_at: float | None = None
    ) -> None:
        """Record an announcement of an endpoint whose software version is known.

        It was received at ``received_at``, by default now.
        """
        self.require_leading()
        if not self.registry.is_outdated(announced):
            heard_at = self.clock() if received_at is None else received_at
            self.sightings.record(announced, heard_at)
        if self.registry.record_announcement(announced):
            eliot.log_message(
                "endpoint:announced",
                endpoint=announced.name,
                service=announced.service,
                address=announced.address,
                state=announced.state,
                started_ms=announced.started_ms,
                software_version=announced.software_version,
                sequence=announced.sequence,
                cold_ms=announced.cold_ms,
            )
            self.notify_waiters()

    async def register_departure(self, name: str) -> None:
        """Record the departure of an endpoint once it is in the log."""
        await self.member.confirm_reads()
        self.require_leading()
        await self.endpoint_marks.mark_gone(name, int(time.time() * 1000))
        self.record_departure(name)

    def record_departure(self, name: str) -> None:
        """Record a departure that is in the log."""
        self.require_leading()
        if self.registry.remove(name, int(time.time() * 1000)):
            eliot.log_message("endpoint:departed", endpoint=name)
            self.notify_waiters()

    @route("POST", ANNOUNCEMENTS_PATH, Announcement)
    async def handle_announcement(self, request: Request) -> EmptyMessage:
        """Handle an endpoint's announcement in the native format."""
        await self.register_announcement(request.message)
        return EmptyMessage()

    @route("POST", DEPARTURES_PATH, DepartureNotice)
    async def handle_departure(self, request: Request) -> EmptyMessage:
        """Handle an endpoint's departure in the native format."""
        await self.register_departure(request.message.name)
        return EmptyMessage()

    @route("POST", SIGHTINGS_PATH, SightingsRequest)
    async def handle_sightings(self, request: Request) -> SightingsAnswer:
        """Tell an entry when the incarnations of an endpoint announced themselves."""
        message: SightingsRequest = request.message
        self.require_leading()
        asked_at = self.clock()
        name = message.endpoint
        with trio.move_on_after(min(message.wait_s, MAX_SIGHTINGS_WAIT_S)):
            await self.sightings.wait_heard(name, asked_at - message.max_age_s)
        return SightingsAnswer(tuple(self.sightings.iterate(name, asked_at)))

    @route("POST", LIMITS_PATH, LimitReport)
    async def handle_limit(self, request: Request) -> EmptyMessage:
        """Record the rate that an endpoint named in an answer to an entry."""
        report: LimitReport = request.message
        self.require_leading()
        if self.registry.set_limit(
            report.endpoint, report.started_ms, report.limit_per_s
        ):
            eliot.log_message(
                "endpoint:limit-named",
                entry=report.entry,
                endpoint=report.endpoint,
                limit_per_s=report.limit_per_s,
            )
            self.notify_waiters()
        return EmptyMessage()

    async def replace_deployment(self, deployment: Deployment) -> None:
        """Commit a deployment document; one that is not newer is accepted and ignored.

        Raises ``DeploymentInvalid`` with all faults found.
        """
        eliot.log_message(
            "deployment:received",
            version=deployment.version,
            has_lease=self.member.has_lease(),
        )
        check_deployment(deployment)
        current = await self.read_deployment()
        if current is not None and current.version >= deployment.version:
            return
        await self.commit(ReplaceDeployment(deployment))

    async def read_deployment(self) -> Deployment | None:
        """Return the latest committed document; raises if it cannot be confirmed."""
        await self.member.confirm_reads()
        return self.member.catalogue.deployment

    async def set_data_centre_in_service(self, name: str, in_service: bool) -> None:
        """Take a data centre in or out of service."""
        await self.commit(SetDataCentre(name, in_service))

    async def set_desired_version(self, model: str, version: int) -> None:
        """Set the weight version that endpoints have to load; the highest wins."""
        desired = DesiredVersion(model, str(version), ordinal=version)
        await self.commit(SetDesiredVersion(desired))

    async def commit(self, operation: Operation) -> None:
        """Commit a change of the configuration."""
        began_at = self.clock()
        change = type(operation).__name__
        try:
            outcome = await self.member.propose(Envelope(operation))
        except MedlarError as error:
            eliot.log_message(
                "configuration:not-accepted",
                change=change,
                reason=str(error),
                waited_s=round(self.clock() - began_at, 3),
                commit_index=self.member.commit_index,
                last_index=self.member.journal.last_index,
            )
            raise
        eliot.log_message(
            "configuration:accepted",
            change=change,
            index=outcome.index,
            term=self.member.term,
            waited_s=round(self.clock() - began_at, 3),
        )

    # Calls from entries.

    @route("POST", CLUSTER_VIEW_PATH, ClusterViewRequest)
    async def handle_cluster_view(self, request: Request) -> ClusterViewAnswer:
        """Return the changes since the entry's last call, waiting if there are none."""
        message: ClusterViewRequest = request.message
        if self.member.leadership is None:
            return await self.view_copy.answer_entry(message)
        arrived_at = self.clock()
        await self.member.confirm_reads()
        self.require_leading()
        self._record_call(message)
        with trio.move_on_after(min(message.wait_s, MAX_POLL_WAIT_S)):
            while not self._has_changes(message):
                await self._changed.wait()
        await self.member.confirm_reads()
        self.require_leading()
        return self._build_answer(message, arrived_at)

    @route("POST", APPLIED_STATE_PATH, AppliedStateRequest)
    async def handle_applied_state(self, request: Request) -> AppliedState:
        """Return what this member has applied, whether or not there is a leader."""
        message: AppliedStateRequest = request.message
        catalogue = self.member.catalogue
        if catalogue.index <= message.index_seen:
            return AppliedState(message.index_seen)
        return AppliedState(
            catalogue.index,
            marks=self.endpoint_marks.list_marks(),
            deployment=select_newer(catalogue.deployment, message.deployment_version),
            desired=tuple(catalogue.desired.values()),
            version_ages=tuple(self.weight_versions.iterate_ages(self.clock())),
        )

    def _get_epoch(self) -> str:
        return f"{self.member.identity}-{self._term}"

    def _record_call(self, message: ClusterViewRequest) -> None:
        """Record the entry that calls, or those that a follower reports."""
        now = self.clock()
        if message.reports is None:
            entry = message.get_registered_entry()
            self._record_entry(EntryRecord(entry, message.ready, now))
            self._limited_at.update(dict.fromkeys(message.limited_services, now))
            return
        self.follower_calls[message.entry] = now
        for report in message.reports:
            called_at = now - report.age_s
            self._record_entry(
                EntryRecord(report.entry, report.ready, called_at, is_caller=False)
            )
            for service in report.limited_services:
                latest = max(called_at, self._limited_at.get(service, called_at))
                self._limited_at[service] = latest

    def _record_entry(self, record: EntryRecord) -> None:
        """Record an entry's call unless a later one is known."""
        name = record.registered.name
        previous = self.entries.get(name)
        if previous is not None and previous.last_call_at > record.last_call_at:
            return
        listed = (
            previous is not None
            and self.clock() - previous.last_call_at <= self._get_entry_timeout_s()
        )
        self.entries[name] = record
        unchanged = (
            listed
            and previous.ready == record.ready
            and previous.registered == record.registered
        )
        if not unchanged:
            eliot.log_message("entry:connected", entry=name, ready=record.ready)
            self.entries_revision += 1
            self.notify_waiters()

    def _has_changes(self, message: ClusterViewRequest) -> bool:
        publication = self._publication
        return (
            message.epoch != self._get_epoch()
            or message.configuration_seen != self.configuration_index
            or message.endpoints_seen < publication.endpoints_revision
            or message.entries_seen < publication.entries_revision
            or message.suspects_seen < publication.suspects_revision
        )

    def _build_answer(
        self, message: ClusterViewRequest, arrived_at: float
    ) -> ClusterViewAnswer:
        departures = self.registry.departures
        is_too_old = message.endpoints_seen < departures.forgotten_revision
        whole = message.epoch != self._get_epoch() or is_too_old
        since = 0 if whole else message.endpoints_seen
        catalogue = self.member.catalogue
        listed = whole or message.entries_seen != self.entries_revision
        configured = whole or message.configuration_seen != self.configuration_index
        publication = self._publication
        suspected = whole or message.suspects_seen != publication.suspects_revision
        settled = self.is_settled()
        marks = None if settled or not whole else self.endpoint_marks.list_marks()
        listed_endpoints, hidden = split_hidden(
            self.registry.iterate_changed(since),
            catalogue.software_rollouts,
            message.knows_rollouts,
        )
        get_metrics().count("views_sent", whole=str(whole))
        return ClusterViewAnswer(
            epoch=self._get_epoch(),
            settled=settled,
            whole=whole,
            endpoints_revision=self.registry.revision,
            entries_revision=self.entries_revision,
            configuration_index=self.configuration_index,
            endpoints=listed_endpoints,
            departed=(*departures.iterate_names(since), *hidden),
            marks=marks,
            entries=self._list_entries() if listed else None,
            entry_count=max(1, len(self.entries)),
            deployment=select_newer(catalogue.deployment, message.deployment_version),
            out_data_centres=tuple(
                sorted(
                    data_centre.name
                    for data_centre in catalogue.data_centres.values()
                    if not data_centre.in_service
                )
            ),
            limited_services=self._list_limited_services(),
            desired=tuple(catalogue.desired.values()),
            version_ages=tuple(self.weight_versions.iterate_ages(arrived_at)),
            suspects_revision=publication.suspects_revision,
            suspects=publication.suspects if suspected else None,
            trial_requests=publication.trial_requests if suspected else None,
            blocked=tuple(catalogue.blocked.values()) if configured else None,
            software_versions=(
                catalogue.list_software_versions() if configured else None
            ),
            rollouts=(
                tuple(catalogue.software_rollouts.values()) if configured else None
            ),
            isolated_ago_s=self.isolation_times.get_ago_s(),
            member_urls=tuple(info.url for info in self.member.journal.get_members()),
            takes_reports=True,
        )

    def _list_limited_services(self) -> tuple[str, ...]:
        oldest = self.clock() - self._get_entry_timeout_s()
        return tuple(name for name, at in self._limited_at.items() if at >= oldest)

    def _get_entry_timeout_s(self) -> float:
        """Return the silence after which callers are no longer sent to an entry."""
        return get_entry_timeout_s(len(self.entries))

    def _list_entries(self) -> tuple[RegisteredEntry, ...]:
        now = self.clock()
        timeout_s = self._get_entry_timeout_s()
        return tuple(
            record.registered
            for record in self.entries.values()
            if record.ready and now - record.last_call_at <= timeout_s
        )

    async def run(self) -> None:
        """Publish changes, and remove silent entries and endpoints while leading."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish_when_due)
            nursery.start_soon(self.view_copy.run)
            nursery.start_soon(self.sightings.run, self._is_leading)
            nursery.start_soon(self.known_incarnations.run)
            nursery.start_soon(self.software_rollouts.run)
            await self._remove_expired()

    async def _remove_expired(self) -> None:
        listed: tuple[RegisteredEntry, ...] = ()
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            try:
                self.require_leading()
                await self.software_versions.remove_unused()
                await self.endpoint_marks.remove_expired()
            except NotLeader:
                continue
            except MedlarError as error:
                get_metrics().count("expiry_failures", type=type(error).__name__)
                continue
            self._remove_expired_endpoints()
            self._remove_expired_entries()
            current = self._list_entries()
            if current != listed:
                listed = current
                self.entries_revision += 1
                self.notify_waiters()

    def _remove_expired_endpoints(self) -> None:
        if not self.is_settled():
            return
        self.sightings.remove_expired()
        for name in self.registry.expire():
            eliot.log_message("endpoint:expired", endpoint=name)
            self.notify_waiters()

    def _remove_expired_entries(self) -> None:
        now = self.clock()
        for name, record in list(self.entries.items()):
            if now - record.last_call_at > ENTRY_EXPIRY_S:
                del self.entries[name]
                eliot.log_message("entry:expired", entry=name)
