"""A follower's copy of the leader's cluster state, from which it answers entries.

The copy is updated by the same long poll with which entries update their views. It is
only kept up to date while entries call, and is not used when it is older than
``MAX_COPY_AGE_S`` or than what the entry has seen already.
"""

from collections.abc import Iterable, Mapping

import eliot
import trio
from attrs import define, evolve, field

from medlarrail.cluster.departures import Departures
from medlarrail.cluster.weight_versions import WeightVersions
from medlarrail.consensus.replication import LogMember
from medlarrail.core.announcements import RegisteredEndpoint, RegisteredEntry
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.deployment import select_newer
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import SoftwareRollout
from medlarrail.policy.notification import (
    MAX_COPY_AGE_S,
    MAX_POLL_WAIT_S,
    POLL_SLACK_S,
    answers_entries,
    get_update_interval_s,
)
from medlarrail.protocol.cluster_view import (
    CLUSTER_VIEW_PATH,
    ClusterViewAnswer,
    ClusterViewRequest,
    EntryReport,
)

CALLER_TIMEOUT_S = 2.5
"""Silence after which an entry is not counted as a caller: longer than its polls."""
UPDATE_WAIT_S = 0.25
"""Time for which the leader holds a follower's call without news. It adds to the age of
what entries know."""
REPORT_DELAY_S = 0.04
"""Time for which calls of new entries are collected for one report."""
RETRY_PAUSE_S = 0.05
EXPIRY_CHECK_INTERVAL_S = 0.1
MAX_WAIT_FOR_COPY_S = 0.5
"""Time for which an entry's call waits for the leader to answer this member."""


def get_term(epoch: str) -> int:
    """Return the term in an epoch, or -1 if there is none.

    >>> get_term("589ff76661d37af8-3"), get_term("")
    (3, -1)
    """
    term = epoch.rpartition("-")[2]
    return int(term) if term.isdecimal() else -1


def split_hidden(
    endpoints: Iterable[RegisteredEndpoint],
    rollouts: Mapping[str, SoftwareRollout],
    knows_rollouts: bool,
) -> tuple[tuple[RegisteredEndpoint, ...], tuple[str, ...]]:
    """Return the endpoints that an entry may use, and the names of the others.

    The others are sent as departed, so that an entry to which they were listed before
    a step of a software rollout drops them.
    """
    listed, hidden = [], []
    for registered in endpoints:
        announced = registered.announced
        rollout = rollouts.get(announced.service)
        if rollout and rollout.hides(announced.software_version, knows_rollouts):
            hidden.append(announced.name)
        else:
            listed.append(registered)
    return tuple(listed), tuple(hidden)


@define
class Caller:
    """An entry that calls this member, and which of its calls were reported."""

    entry: RegisteredEntry
    ready: bool
    limited_services: tuple[str, ...]
    called_at: float
    reported_at: float = float("-inf")
    """Time of the latest call that the leader was told of."""


@define
class CopiedEndpoint:
    """An endpoint as the leader listed it, and when."""

    registered: RegisteredEndpoint
    received_at: float


@define(eq=False)
class ViewCopy:
    """The copy that ``member`` keeps while it does not lead."""

    member: LogMember
    weight_versions: WeightVersions
    clock: Clock = get_boottime
    entry_count: int = 1
    """Number of entries that the leader, or an entry since its last call, told of."""
    answer: ClusterViewAnswer | None = None
    """All that the leader answered, but for the endpoints; None before it did."""
    endpoints: dict[str, CopiedEndpoint] = field(factory=dict)
    departures: Departures = field(init=False)
    callers: dict[str, Caller] = field(factory=dict)
    older_leader: str = ""
    """The leader's identity if its version does not take reports."""
    confirmed_at: float = float("-inf")
    """Send time of the latest call that the leader answered."""
    _notified_at: float = float("-inf")
    _notification_due: trio.Event = field(factory=trio.Event)
    _changed: trio.Event = field(factory=trio.Event)
    _call_received: trio.Event = field(factory=trio.Event)
    _report_due: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        self.departures = Departures(self.clock)

    # Calls from entries.

    async def answer_entry(self, message: ClusterViewRequest) -> ClusterViewAnswer:
        """Return what changed since the entry's last call, waiting if nothing did.

        Raises ``NotLeader`` if the entry has to call another member.
        """
        if not message.reads_age or message.reports is not None:
            raise self._build_redirect()
        arrived_at = self.clock()
        self._record_call(message)
        if not self._answers_entries() or self._follows_older_leader():
            raise self._build_redirect()
        was_recent = self._is_recent()
        max_wait_s = MAX_POLL_WAIT_S if was_recent else MAX_WAIT_FOR_COPY_S
        with trio.move_on_after(min(message.wait_s, max_wait_s)):
            while not (self._is_usable(message) and self._has_changes(message)):
                if was_recent and not self._is_recent():
                    break
                await self._changed.wait()
        if not self._is_usable(message):
            get_metrics().count("view_copies_outdated")
            raise NotLeader()
        return evolve(
            self._build_answer(message),
            age_s=arrived_at - self.confirmed_at,
            version_ages=tuple(self.weight_versions.iterate_ages(arrived_at)),
        )

    def _build_redirect(self) -> NotLeader:
        leader = self.member.leader
        return NotLeader(leader_url=leader.url if leader else "")

    def _follows_older_leader(self) -> bool:
        leader = self.member.leader
        return leader is not None and leader.identity == self.older_leader

    def _answers_entries(self) -> bool:
        return bool(self.callers) and answers_entries(
            self.entry_count, len(self.callers)
        )

    def _record_call(self, message: ClusterViewRequest) -> None:
        self._remove_silent_callers()
        entry = message.get_registered_entry()
        caller = Caller(entry, message.ready, message.limited_services, self.clock())
        previous = self.callers.get(message.entry)
        self.callers[message.entry] = caller
        self.entry_count = max(self.entry_count, message.entry_count)
        self._call_received.set()
        if (
            previous is None
            or previous.entry != entry
            or previous.ready != caller.ready
            or previous.limited_services != caller.limited_services
        ):
            self._report_due.set()

    def _remove_silent_callers(self) -> None:
        now = self.clock()
        for name, caller in list(self.callers.items()):
            if now - caller.called_at > CALLER_TIMEOUT_S:
                del self.callers[name]

    def _is_recent(self) -> bool:
        return self.clock() - self.confirmed_at <= MAX_COPY_AGE_S

    def _is_usable(self, message: ClusterViewRequest) -> bool:
        """Return whether the copy is recent, and not older than what the entry saw."""
        answer = self.answer
        if answer is None or self.member.leadership is not None:
            return False
        if not self._is_recent():
            return False
        if message.epoch != answer.epoch:
            return get_term(message.epoch) < get_term(answer.epoch)
        return (
            message.endpoints_seen <= answer.endpoints_revision
            and message.entries_seen <= answer.entries_revision
            and message.configuration_seen <= answer.configuration_index
            and message.suspects_seen <= answer.suspects_revision
        )

    def _has_changes(self, message: ClusterViewRequest) -> bool:
        answer = self.answer
        return (
            message.epoch != answer.epoch
            or message.endpoints_seen < answer.endpoints_revision
            or message.entries_seen < answer.entries_revision
            or message.configuration_seen < answer.configuration_index
            or message.suspects_seen < answer.suspects_revision
        )

    def _build_answer(self, message: ClusterViewRequest) -> ClusterViewAnswer:
        answer = self.answer
        is_too_old = message.endpoints_seen < self.departures.forgotten_revision
        whole = message.epoch != answer.epoch or is_too_old
        since = 0 if whole else message.endpoints_seen
        listed = whole or message.entries_seen < answer.entries_revision
        configured = whole or message.configuration_seen < answer.configuration_index
        suspected = whole or message.suspects_seen < answer.suspects_revision
        rollouts = {rollout.service: rollout for rollout in answer.rollouts or ()}
        listed_endpoints, hidden = split_hidden(
            self._iterate_changed(since), rollouts, message.knows_rollouts
        )
        get_metrics().count("views_sent", whole=str(whole))
        return evolve(
            answer,
            whole=whole,
            endpoints=listed_endpoints,
            departed=(*self.departures.iterate_names(since), *hidden),
            marks=answer.marks if whole else None,
            entries=answer.entries if listed else None,
            deployment=select_newer(answer.deployment, message.deployment_version),
            suspects=answer.suspects if suspected else None,
            trial_requests=answer.trial_requests if suspected else None,
            blocked=answer.blocked if configured else None,
            software_versions=answer.software_versions if configured else None,
            rollouts=answer.rollouts if configured else None,
        )

    def _iterate_changed(self, since: int):
        now = self.clock()
        for copied in self.endpoints.values():
            registered = copied.registered
            if registered.revision > since:
                passed_ms = int((now - copied.received_at) * 1000)
                yield evolve(registered, cold_ms=max(0, registered.cold_ms - passed_ms))

    # Calls to the leader.

    async def run(self) -> None:
        """Keep the copy up to date while entries call, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._report_new_calls)
            nursery.start_soon(self._notify_when_due)
            nursery.start_soon(self._expire)
            while True:
                self._remove_silent_callers()
                if self._answers_entries():
                    await self._update(UPDATE_WAIT_S)
                else:
                    await self._call_received.wait()
                    self._call_received = trio.Event()

    async def _report_new_calls(self) -> None:
        while True:
            await self._report_due.wait()
            await trio.sleep(REPORT_DELAY_S)
            self._report_due = trio.Event()
            if self._answers_entries():
                await self._update(wait_s=0.0)

    async def _expire(self) -> None:
        """Wake the held calls when the copy has become too old for them."""
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if not self._is_recent():
                self._notify()

    async def _update(self, wait_s: float) -> None:
        leader = self.member.leader
        if leader is None or self.member.leadership is not None:
            await trio.sleep(RETRY_PAUSE_S)
            return
        sent_at = self.clock()
        try:
            answer = await self.member.peers.call(
                leader.url,
                CLUSTER_VIEW_PATH,
                self._build_request(wait_s),
                ClusterViewAnswer,
                wait_s + POLL_SLACK_S,
            )
        except MedlarError as error:
            get_metrics().count("view_copy_failures", type=type(error).__name__)
            await trio.sleep(RETRY_PAUSE_S)
            return
        if answer.takes_reports:
            self.older_leader = ""
            self._apply(answer, sent_at)
        else:
            self.older_leader = leader.identity
            await trio.sleep(UPDATE_WAIT_S)

    def _build_request(self, wait_s: float) -> ClusterViewRequest:
        answer = self.answer
        seen = {}
        if answer is not None:
            seen = {
                "epoch": answer.epoch,
                "endpoints_seen": answer.endpoints_revision,
                "entries_seen": answer.entries_revision,
                "configuration_seen": answer.configuration_index,
                "suspects_seen": answer.suspects_revision,
                "deployment_version": (
                    -1 if answer.deployment is None else answer.deployment.version
                ),
            }
        return ClusterViewRequest(
            entry=self.member.name,
            address="",
            data_centre="",
            ready=False,
            wait_s=wait_s,
            reports=tuple(self._iterate_reports()),
            knows_rollouts=True,
            **seen,
        )

    def _iterate_reports(self):
        """Yield the calls that the leader has not been told of."""
        now = self.clock()
        for caller in self.callers.values():
            if caller.called_at > caller.reported_at:
                yield EntryReport(
                    caller.entry,
                    caller.ready,
                    now - caller.called_at,
                    caller.limited_services,
                )

    def _apply(self, answer: ClusterViewAnswer, sent_at: float) -> None:
        previous = self.answer
        self.weight_versions.record_ages(answer.version_ages, sent_at)
        if self._is_outdated(answer):
            return
        is_new_epoch = previous is None or previous.epoch != answer.epoch
        for caller in self.callers.values():
            if is_new_epoch:
                caller.reported_at = float("-inf")
            elif caller.called_at <= sent_at:
                caller.reported_at = caller.called_at
        if is_new_epoch:
            self._report_due.set()
            eliot.log_message(
                "view-copy:following", member=self.member.name, epoch=answer.epoch
            )
        is_configured = (
            is_new_epoch or previous.configuration_index != answer.configuration_index
        )
        self._apply_endpoints(answer, is_new_epoch)
        self.answer = answer if is_new_epoch else _merge(previous, answer)
        self.entry_count = answer.entry_count
        self.confirmed_at = max(self.confirmed_at, sent_at)
        if is_configured or self.clock() >= self._get_next_notification():
            self._notify()
        else:
            self._notification_due.set()

    def _is_outdated(self, answer: ClusterViewAnswer) -> bool:
        """Return whether another call was answered with a newer state meanwhile."""
        previous = self.answer
        if previous is None:
            return not answer.whole
        if previous.epoch != answer.epoch:
            is_older = get_term(answer.epoch) <= get_term(previous.epoch)
            return is_older or not answer.whole
        return (
            answer.endpoints_revision < previous.endpoints_revision
            or answer.entries_revision < previous.entries_revision
            or answer.configuration_index < previous.configuration_index
            or answer.suspects_revision < previous.suspects_revision
        )

    def _apply_endpoints(self, answer: ClusterViewAnswer, is_new_epoch: bool) -> None:
        if is_new_epoch:
            self.endpoints.clear()
            self.departures.clear()
        self.departures.remove_expired()
        departed = set(answer.departed)
        if answer.whole:
            # The leader has forgotten departures that this member missed.
            listed = {registered.announced.name for registered in answer.endpoints}
            departed |= self.endpoints.keys() - listed
        for name in departed:
            self.endpoints.pop(name, None)
            self.departures.record(name, answer.endpoints_revision)
        now = self.clock()
        for registered in answer.endpoints:
            name = registered.announced.name
            self.endpoints[name] = CopiedEndpoint(registered, now)
            self.departures.remove(name)

    def _get_next_notification(self) -> float:
        return self._notified_at + get_update_interval_s(len(self.callers))

    async def _notify_when_due(self) -> None:
        while True:
            await self._notification_due.wait()
            await trio.sleep(max(0.0, self._get_next_notification() - self.clock()))
            self._notification_due = trio.Event()
            self._notify()

    def _notify(self) -> None:
        """Wake the held calls to check for changes."""
        self._notified_at = self.clock()
        self._changed.set()
        self._changed = trio.Event()


def _merge(previous: ClusterViewAnswer, answer: ClusterViewAnswer) -> ClusterViewAnswer:
    """Return ``answer`` with what it leaves out because it has not changed."""
    unchanged = {
        name: getattr(previous, name)
        for name in (
            "marks",
            "entries",
            "deployment",
            "suspects",
            "trial_requests",
            "blocked",
            "software_versions",
            "rollouts",
        )
        if getattr(answer, name) is None
    }
    return evolve(answer, **unchanged)
