"""Runs software rollouts, on the leading state member.

An order and each of its steps are in the replicated log before they are acknowledged
or sent to entries, so that a rollout survives any leader and has one verdict. The
reports of entries are not in the log: they are cumulative, so a new leader has them
again after one report interval.
"""

from collections.abc import Callable
from itertools import zip_longest

import eliot
import trio
from attrs import define, evolve, field

from medlarrail.core.errors import (
    BadField,
    MedlarError,
    NotFound,
    NotLeader,
    RolloutEnded,
    RolloutInProgress,
    RolloutsNotKnown,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import (
    RolloutCounts,
    RolloutReport,
    SoftwareRollout,
)
from medlarrail.policy.software_rollout import (
    RolloutEvidence,
    RolloutSnapshot,
    RolloutVerdict,
    add_snapshot,
    judge_rollout,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.software_rollouts import (
    REPORTS_PATH,
    ROLL_BACK_PATH,
    ROLLOUTS_PATH,
    SHOW_PATH,
    RolloutOrder,
    RolloutQuery,
)
from medlarrail.state.operations import Envelope, LogEntry, NoOperation
from medlarrail.transport.routes import Request, route

CHECK_INTERVAL_S = 0.25
REPEAT_S = 30.0
"""Time after the end of a rollout in which the same order is taken for a repeated one:
several times the five seconds for which an operator sends an order again."""
EVIDENCE_S = 1.0
"""Time within which a new leader gets the entries' reports, before it judges."""
KNOWLEDGE_POLL_S = 0.05
MAX_EXCLUDED = 16
"""Versions taken out of use that a record lists; a service has no more versions."""
MAX_NAME_LENGTH = 256
MAX_DURATION_MS = 7 * 24 * 3600 * 1000

ReportKey = tuple[str, int]
"""The entry and the epoch of a report."""


@define
class RolloutReports:
    """The latest report of each epoch of each entry on one rollout."""

    reports: dict[ReportKey, RolloutReport] = field(factory=dict)
    snapshots: tuple[RolloutSnapshot, ...] = ()
    """Earlier sums, by which a fault that begins late is told."""

    def add(self, report: RolloutReport) -> None:
        """Add a report, unless a later one of its epoch has overtaken it."""
        key = (report.entry, report.epoch)
        previous = self.reports.get(key)
        if previous is None or _get_age_key(previous) <= _get_age_key(report):
            self.reports[key] = report

    def sum_counts(self) -> tuple[RolloutCounts, ...]:
        """Return the sums over all entries, by route and version."""
        sums: dict[tuple[str, bool], RolloutCounts] = {}
        for report in self.reports.values():
            for counts in report.counts:
                key = (counts.route, counts.is_target)
                sums[key] = _add_counts(sums.get(key, RolloutCounts(*key)), counts)
        return tuple(sums.values())

    def find_latest(self, entry: str) -> RolloutReport | None:
        """Return the report of the latest epoch of ``entry``."""
        epochs = (epoch for name, epoch in self.reports if name == entry)
        return self.reports.get((entry, max(epochs, default=-1)))


def _get_age_key(report: RolloutReport) -> tuple[bool, int, int]:
    answers = sum(counts.answers for counts in report.counts)
    return (report.stage == "full", report.sent, answers)


def _add_counts(first: RolloutCounts, second: RolloutCounts) -> RolloutCounts:
    latencies = zip_longest(first.latencies, second.latencies, fillvalue=0)
    return evolve(
        first,
        answers=first.answers + second.answers,
        failures=first.failures + second.failures,
        latencies=tuple(sum(pair) for pair in latencies),
    )


@define(eq=False)
class SoftwareRollouts:
    """Accepts orders, sums reports and takes steps for ``view_server``, which leads."""

    view_server: "ClusterViewServer"  # noqa: F821
    judge: Callable[[RolloutEvidence], RolloutVerdict] = judge_rollout
    _reports: dict[tuple[str, int], RolloutReports] = field(factory=dict)
    """By service and start time. Those of an earlier leadership stay counted."""
    _older_voters: set[str] = field(factory=set)
    """Identities of the voters that last said that they ignore rollouts."""
    _repeated_in_term: int = -1
    """Term in which the records were last committed again."""
    _unjudged: set[SoftwareRollout] = field(factory=set)
    """Records whose judgement failed, each of which is logged once."""
    _applied: dict[str, SoftwareRollout] = field(factory=dict)
    """The record of each service that was last applied by this process."""
    _lock: trio.Lock = field(factory=trio.Lock)

    @property
    def _records(self) -> dict[str, SoftwareRollout]:
        return self.view_server.member.catalogue.software_rollouts

    def _get_now_ms(self) -> int:
        return int(self.view_server.member.wall_clock() * 1000)

    def require_enabled(self) -> None:
        """Raise ``NotFound`` if the settings have no limits of software rollouts."""
        if self.view_server.rollout_policy is None:
            raise NotFound(kind="settings", name="software_rollouts")

    async def _confirm_leading(self) -> None:
        await self.view_server.member.confirm_reads()
        self.view_server.require_leading()

    # Calls of operators.

    async def start(self, order: RolloutOrder) -> SoftwareRollout:
        """Commit an order, and return its record; a repeated order changes nothing.

        Raises ``RolloutInProgress`` while a rollout to another target runs.
        """
        self.require_enabled()
        _check_order(order)
        # Orders that wait for an earlier one are redirected at once, too.
        await self._confirm_leading()
        async with self._lock:
            await self._confirm_leading()
            if not self._records:
                # This leader has found nothing that voters may lack.
                leadership = self.view_server.member.require_lease()
                self._repeated_in_term = leadership.term
            current = self._records.get(order.service)
            if current is not None and self._is_repeated(order, current):
                get_metrics().count("rollout_orders_repeated", service=order.service)
                return current
            if current is not None and current.is_running:
                raise RolloutInProgress(service=order.service, target=current.target)
            self._require_service(order.service)
            await self._require_known_by_voters()
            await self._wait_for_replaced(order, current)
            await self._commit(self._build_record(order, current))
            stored = self._records[order.service]
        # Another leader's order may have been committed in between.
        if stored.target != order.target:
            raise RolloutInProgress(service=order.service, target=stored.target)
        return stored

    def _is_repeated(self, order: RolloutOrder, current: SoftwareRollout) -> bool:
        if current.target != order.target:
            return False
        ended_ms_ago = self._get_now_ms() - current.changed_ms
        return current.is_running or ended_ms_ago < REPEAT_S * 1000

    def _require_service(self, service: str) -> None:
        """Raise ``NotFound`` for a service of which a settled leader knows nothing."""
        catalogue = self.view_server.member.catalogue
        document = catalogue.deployment
        is_known = (
            service in catalogue.software_versions
            or (document and any(rule.name == service for rule in document.services))
            or self._list_announced_versions(service)
        )
        if not is_known and self.view_server.is_settled():
            raise NotFound(kind="service", name=service)

    def _list_announced_versions(self, service: str) -> set[str]:
        """Return the software versions of the registered endpoints of a service."""
        return {
            record.announced.software_version
            for record in self.view_server.registry.endpoints.values()
            if record.announced.service == service
        }

    async def _require_known_by_voters(self) -> None:
        """Raise ``RolloutsNotKnown`` if a voter that runs would ignore a rollout.

        A voter that is silent since the election is not waited for.
        """
        member = self.view_server.member
        while True:
            leadership = member.require_lease()
            unheard = []
            for voter in member.journal.get_members():
                progress = leadership.progress.get(voter.identity)
                if not voter.voter or voter.identity == member.identity:
                    continue
                if progress is None or progress.knows_rollouts is None:
                    unheard.append(voter.name)
                elif not progress.knows_rollouts:
                    raise RolloutsNotKnown(member=voter.name)
            if not unheard:
                return
            if leadership.is_settled():
                eliot.log_message("rollout:voters-not-heard", members=unheard)
                return
            await trio.sleep(KNOWLEDGE_POLL_S)

    async def _wait_for_replaced(
        self, order: RolloutOrder, previous: SoftwareRollout | None
    ) -> None:
        """Return once a version that the target replaces is known, if there is one.

        After the first start, and without versions also after an election, endpoints
        announce themselves later than an order may come.
        """
        excluded = _list_excluded(order, previous)
        while not self._list_replaced(order, excluded):
            self.view_server.require_leading()
            if self.view_server.is_settled():
                return
            await trio.sleep(KNOWLEDGE_POLL_S)

    def _list_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions of a service that the log or an endpoint names."""
        listed = self.view_server.member.catalogue.software_versions
        versions = listed.get(service, ())
        if "" in self._list_announced_versions(service):
            # The log does not list endpoints that announce no version.
            versions = (*versions, "")
        return versions

    def _list_replaced(
        self, order: RolloutOrder, excluded: tuple[str, ...]
    ) -> tuple[str, ...]:
        return tuple(
            version
            for version in self._list_versions(order.service)
            if version != order.target and version not in excluded
        )

    def _build_record(
        self, order: RolloutOrder, previous: SoftwareRollout | None
    ) -> SoftwareRollout:
        excluded = _list_excluded(order, previous)
        versions = self._list_versions(order.service)
        replaced = self._list_replaced(order, excluded)
        now_ms = self._get_now_ms()
        # The start time identifies the rollout, also if the clock was set back.
        started_ms = max(now_ms, previous.started_ms + 1) if previous else now_ms
        rollout = SoftwareRollout(
            service=order.service,
            target=order.target,
            duration_ms=order.duration_ms,
            started_ms=started_ms,
            replaced=replaced,
            changed_ms=now_ms,
            reason="ordered",
            excluded=excluded,
        )
        was_excluded = previous is not None and previous.excludes(order.target)
        if not replaced and order.target in versions and not was_excluded:
            # A roll-back would leave the service without endpoints.
            reason = "the target was the only version"
            return evolve(rollout, state="completed", stage="full", reason=reason)
        return rollout

    async def read(self, service: str) -> SoftwareRollout:
        """Return the latest rollout of a service, with every committed step."""
        self.require_enabled()
        await self._confirm_leading()
        rollout = self._records.get(service)
        if rollout is None:
            raise NotFound(kind="software rollout", name=service)
        return rollout

    async def roll_back(self, service: str) -> SoftwareRollout:
        """Roll back a running rollout; one that was rolled back stays as it is."""
        rollout = await self.read(service)
        if rollout.is_running:
            await self._take_step(rollout, "roll_back", "ordered by an operator")
            rollout = await self.read(service)
        if rollout.state != "rolled_back":
            raise RolloutEnded(service=service, state=rollout.state)
        return rollout

    @route("POST", ROLLOUTS_PATH, RolloutOrder)
    async def handle_start(self, request: Request) -> SoftwareRollout:
        """Start a rollout."""
        return await self.start(request.message)

    @route("POST", SHOW_PATH, RolloutQuery)
    async def handle_show(self, request: Request) -> SoftwareRollout:
        """Return the latest rollout of a service."""
        return await self.read(request.message.service)

    @route("POST", ROLL_BACK_PATH, RolloutQuery)
    async def handle_roll_back(self, request: Request) -> SoftwareRollout:
        """Roll back the running rollout of a service."""
        return await self.roll_back(request.message.service)

    # Reports of entries.

    @route("POST", REPORTS_PATH, RolloutReport)
    async def handle_report(self, request: Request) -> EmptyMessage:
        """Record what an entry saw of a running rollout."""
        await self._confirm_leading()
        self.record_report(request.message)
        return EmptyMessage()

    def record_report(self, report: RolloutReport) -> None:
        """Record a report, unless its rollout has ended."""
        rollout = self._records.get(report.service)
        is_current = (
            rollout is not None
            and rollout.is_running
            and rollout.started_ms == report.started_ms
        )
        get_metrics().count(
            "rollout_reports" if is_current else "rollout_reports_outdated",
            service=report.service,
            version=rollout.target if rollout else "",
        )
        if is_current:
            key = (report.service, report.started_ms)
            self._reports.setdefault(key, RolloutReports()).add(report)

    def _get_reports(self, rollout: SoftwareRollout) -> RolloutReports:
        key = (rollout.service, rollout.started_ms)
        return self._reports.get(key, RolloutReports())

    def _count_in_flight(self, rollout: SoftwareRollout) -> int | None:
        """Return the requests that run at the replaced versions, None if unknown."""
        if not self.view_server.is_settled():
            return None
        reports = self._get_reports(rollout)
        latest = [reports.find_latest(name) for name in self.view_server.entries]
        if any(report is None or report.stage != rollout.stage for report in latest):
            return None
        return sum(report.in_flight_replaced for report in latest)

    # Steps.

    async def run(self) -> None:
        """Take the steps of the running rollouts while this member leads."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if not self._records:
                continue
            try:
                await self._check()
            except NotLeader:
                continue
            except MedlarError as error:
                get_metrics().count(
                    "rollout_checks_failed", reason=type(error).__name__
                )

    async def _check(self) -> None:
        await self._confirm_leading()
        await self._repeat_for_upgraded_voters()
        running = [rollout for rollout in self._records.values() if rollout.is_running]
        self._unjudged.intersection_update(running)
        keys = {(rollout.service, rollout.started_ms) for rollout in running}
        for key in self._reports.keys() - keys:
            del self._reports[key]
        for rollout in running:
            verdict = self._judge(rollout)
            if verdict.action != "hold":
                await self._take_step(rollout, verdict.action, verdict.reason)

    def _judge(self, rollout: SoftwareRollout) -> RolloutVerdict:
        now_ms = self._get_now_ms()
        elapsed_ms = max(0, now_ms - rollout.started_ms)
        if elapsed_ms >= rollout.duration_ms:
            return RolloutVerdict("roll_back", "no verdict by the deadline")
        leadership = self.view_server.member.require_lease()
        if self.view_server.clock() - leadership.elected_at < EVIDENCE_S:
            return RolloutVerdict("hold")
        reports = self._get_reports(rollout)
        counts = reports.sum_counts()
        reports.snapshots = add_snapshot(reports.snapshots, elapsed_ms / 1000, counts)
        evidence = RolloutEvidence(
            stage=rollout.stage,
            elapsed_s=elapsed_ms / 1000,
            duration_s=rollout.duration_ms / 1000,
            stage_s=max(0, now_ms - rollout.changed_ms) / 1000,
            counts=counts,
            in_flight_replaced=self._count_in_flight(rollout),
            earlier=reports.snapshots,
        )
        try:
            return self.judge(evidence)
        except Exception as error:
            # It would end each leader in turn, since the next one has the same reports.
            # Without a verdict the rollout is rolled back at the deadline.
            if rollout not in self._unjudged:
                self._unjudged.add(rollout)
                eliot.log_message(
                    "rollout:not-judged", service=rollout.service, error=repr(error)
                )
            get_metrics().count("defects", type=type(error).__name__)
            return RolloutVerdict("hold")

    async def _take_step(
        self, rollout: SoftwareRollout, action: str, reason: str
    ) -> None:
        """Commit a step; the log ignores it if the rollout has ended meanwhile."""
        changes = {
            "expand": {"stage": "full"},
            "complete": {"state": "completed"},
            "roll_back": {"state": "rolled_back"},
        }[action]
        step = evolve(rollout, changed_ms=self._get_now_ms(), reason=reason, **changes)
        if step.sort_key > rollout.sort_key:
            await self._commit(step)

    async def _commit(self, *rollouts: SoftwareRollout) -> None:
        operation = NoOperation(rollouts=rollouts)
        await self.view_server.member.propose(Envelope(operation))

    async def _repeat_for_upgraded_voters(self) -> None:
        """Commit the records again once in a term, and for each upgraded voter.

        A voter of an older version ignored the records when they were committed, and
        its snapshot lacks them.
        """
        leadership = self.view_server.member.require_lease()
        upgraded = False
        for identity, progress in leadership.progress.items():
            if progress.knows_rollouts is False:
                self._older_voters.add(identity)
            elif progress.knows_rollouts and identity in self._older_voters:
                self._older_voters.discard(identity)
                upgraded = True
        if upgraded or self._repeated_in_term != leadership.term:
            records = tuple(self._records.values())
            await self._commit(*records)
            self._repeated_in_term = leadership.term
            for rollout in records:
                eliot.log_message(
                    "rollout:resumed",
                    service=rollout.service,
                    target=rollout.target,
                    state=rollout.state,
                    stage=rollout.stage,
                    reason=rollout.reason,
                    started_ms=rollout.started_ms,
                )

    def on_applied(
        self, rollouts: tuple[SoftwareRollout, ...], entry: LogEntry
    ) -> None:
        """Have the endpoints sent again to entries after a step, and log the step.

        Entries of earlier terms are applied again after a restart.
        """
        leadership = self.view_server.member.leadership
        for rollout in rollouts:
            is_repeated = self._applied.get(rollout.service) == rollout
            if is_repeated or self._records.get(rollout.service) != rollout:
                continue
            self._applied[rollout.service] = rollout
            self.view_server.registry.mark_service_changed(rollout.service)
            if leadership is not None and leadership.term == entry.term:
                self._log_step(rollout, entry.index)

    def _log_step(self, rollout: SoftwareRollout, index: int) -> None:
        step = rollout.stage if rollout.is_running else rollout.state
        get_metrics().count(
            "rollout_steps", service=rollout.service, version=rollout.target, step=step
        )
        reports = self._get_reports(rollout).reports.values()
        eliot.log_message(
            "rollout:step",
            service=rollout.service,
            target=rollout.target,
            replaced=rollout.replaced,
            step=step,
            reason=rollout.reason,
            started_ms=rollout.started_ms,
            elapsed_s=(rollout.changed_ms - rollout.started_ms) / 1000,
            sent=sum(report.sent for report in reports),
            sent_to_target=sum(report.sent_to_target for report in reports),
            index=index,
        )


def _check_order(order: RolloutOrder) -> None:
    for place, name in (("service", order.service), ("target", order.target)):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise BadField(place=f"$.{place}", problem="is empty or too long")
    if not 0 < order.duration_ms <= MAX_DURATION_MS:
        raise BadField(place="$.duration", problem="is out of range")


def _list_excluded(
    order: RolloutOrder, previous: SoftwareRollout | None
) -> tuple[str, ...]:
    """Return the versions that the service's earlier rollouts took out of use."""
    if previous is None:
        return ()
    ended = previous.replaced if previous.state == "completed" else (previous.target,)
    versions = dict.fromkeys((*previous.excluded, *ended))
    versions.pop(order.target, None)
    return tuple(versions)[-MAX_EXCLUDED:]
