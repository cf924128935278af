"""Blocks the parts of prompts that crash endpoints, on the leading state member.

Entries report crashed endpoints with the prompts that ran there, and completed answers
to prompts with suspected parts. Blocked parts are in the replicated log, so they
survive a change of the leader and a restart of every process.
"""

import eliot
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.crash_ledger import CrashCause, Incarnation, RecordedCrash
from medlarrail.cluster.request_trials import RequestTrials
from medlarrail.core.clock import Clock, get_wall_time
from medlarrail.core.cluster_records import BlockedParts, SharedPart
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.crashing_parts import get_trial_delay_s
from medlarrail.policy.crashing_requests import get_request_trial_delay_s
from medlarrail.protocol.crashes import (
    BREAKS_PATH,
    COMPLETIONS_PATH,
    CRASH_BATCH_PATH,
    CRASHES_PATH,
    CompletionReport,
    CrashReport,
    CrashReports,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.request_trials import (
    REQUEST_TRIALS_PATH,
    TRIALS_PATH,
    SuspectTrialRequest,
    TrialAnswer,
    TrialRequest,
)
from medlarrail.state.operations import BlockParts, UnblockParts
from medlarrail.transport.routes import Request, route

CHECK_INTERVAL_S = 0.1


def _get_trial_delay_s(blocked: BlockedParts, trials: int) -> float:
    if blocked.is_request:
        return get_request_trial_delay_s(trials)
    return get_trial_delay_s(trials)


@define(eq=False)
class CrashWatch:
    """Handlers of the reports, and the task that blocks parts."""

    view_server: ClusterViewServer
    wall_clock: Clock = get_wall_time
    _trials: RequestTrials = field(init=False)
    _being_tried: set[str] = field(factory=set)
    """Blocked parts for which a trial is being committed."""

    def __attrs_post_init__(self):
        self._trials = RequestTrials(self.view_server.crash_ledger)

    @property
    def _blocked(self) -> dict[str, BlockedParts]:
        return self.view_server.member.catalogue.blocked

    @route("POST", CRASHES_PATH, CrashReport)
    async def handle_crash(self, request: Request) -> EmptyMessage:
        """Record the crash of an endpoint, as reported by an older entry."""
        self._record_crashes((request.message,))
        return EmptyMessage()

    @route("POST", CRASH_BATCH_PATH, CrashReports)
    async def handle_crashes(self, request: Request) -> EmptyMessage:
        """Record the crashes of endpoints."""
        self._record_crashes(request.message.reports)
        return EmptyMessage()

    def _record_crashes(self, reports: tuple[CrashReport, ...]) -> None:
        self.view_server.require_leading()
        for report in reports:
            self._record_crash(report)
        self.view_server.notify_waiters()

    def _record_crash(self, report: CrashReport) -> None:
        ledger = self.view_server.crash_ledger
        eliot.log_message(
            "endpoint:crash-reported",
            entry=report.entry,
            endpoint=report.endpoint,
            started_ms=report.started_ms,
            service=report.service,
            age_s=report.age_s,
            parts=list(report.parts),
        )
        ledger.record_crash(
            Incarnation(report.endpoint, report.started_ms),
            self._build_crash(report),
            self._list_single_parts(report.service),
        )
        self._trials.record_crash(report.service, report.parts)

    @route("POST", BREAKS_PATH, CrashReports)
    async def handle_breaks(self, request: Request) -> EmptyMessage:
        """Record what broke off at endpoints that may have crashed."""
        self.view_server.require_leading()
        changed = False
        for report in request.message.reports:
            changed |= self.view_server.crash_ledger.record_break(
                Incarnation(report.endpoint, report.started_ms),
                self._build_crash(report),
                self._list_single_parts(report.service),
            )
        if changed:
            self.view_server.notify_waiters()
        return EmptyMessage()

    def _build_crash(self, report: CrashReport) -> RecordedCrash:
        return RecordedCrash(
            report.service,
            report.model,
            self.view_server.crash_ledger.clock() - report.age_s,
            set(report.parts),
        )

    def _list_single_parts(self, service: str) -> list[str]:
        """Return the parts and requests of a service that are blocked by themselves."""
        return [
            blocked.parts[0]
            for blocked in self._blocked.values()
            if blocked.service == service and len(blocked.parts) == 1
        ]

    @route("POST", COMPLETIONS_PATH, CompletionReport)
    async def handle_completion(self, request: Request) -> EmptyMessage:
        """Clear parts of which an entry has relayed a complete answer."""
        report: CompletionReport = request.message
        self.view_server.require_leading()
        ledger = self.view_server.crash_ledger
        self._trials.record_completed(report.service, report.parts)
        if ledger.record_completed(report.service, report.parts):
            self.view_server.notify_waiters()
        for blocked in list(self._blocked.values()):
            if blocked.service == report.service:
                await self._clear(blocked, set(report.parts))
        return EmptyMessage()

    async def _clear(self, blocked: BlockedParts, completed: set[str]) -> None:
        remaining = tuple(part for part in blocked.parts if part not in completed)
        if remaining == blocked.parts:
            return
        if remaining:
            await self._block(evolve(blocked, parts=remaining))
        else:
            await self.view_server.commit(UnblockParts(blocked.name))
            eliot.log_message("prompt-parts:unblocked", name=blocked.name)

    @route("POST", TRIALS_PATH, TrialRequest)
    async def handle_trial(self, request: Request) -> TrialAnswer:
        """Grant a trial if one is due; no other is due for some time then."""
        name = request.message.name
        await self.view_server.member.confirm_reads()
        self.view_server.require_leading()
        blocked = self._blocked.get(name)
        if blocked is None:
            return TrialAnswer(True)
        now_s = self.wall_clock()
        if now_s < blocked.trial_at_s or name in self._being_tried:
            return TrialAnswer(False)
        trials = blocked.trials + 1
        self._being_tried.add(name)
        try:
            await self._block(
                evolve(
                    blocked,
                    trials=trials,
                    trial_at_s=now_s + _get_trial_delay_s(blocked, trials),
                )
            )
        finally:
            self._being_tried.discard(name)
        return TrialAnswer(True)

    @route("POST", REQUEST_TRIALS_PATH, SuspectTrialRequest)
    async def handle_request_trial(self, request: Request) -> TrialAnswer:
        """Grant a suspected request if no other of its service is on trial."""
        message: SuspectTrialRequest = request.message
        await self.view_server.member.confirm_reads()
        self.view_server.require_leading()
        if message.key in self._list_single_parts(message.service):
            return TrialAnswer(False)
        suspect = SharedPart(message.service, message.key)
        return TrialAnswer(self._trials.grant(suspect))

    async def run(self) -> None:
        """Block the parts that crash endpoints while this member leads."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            try:
                self.view_server.require_leading()
                await self._block_causes()
            except NotLeader:
                continue
            except MedlarError as error:
                get_metrics().count("block_failures", type=type(error).__name__)

    async def _block_causes(self) -> None:
        ledger = self.view_server.crash_ledger
        ledger.drop_expired()
        for request in self._trials.take_failed():
            await self._block_request(request)
        if ledger.has_news():
            for cause in ledger.find_causes():
                await self._block_cause(cause)

    async def _block_cause(self, cause: CrashCause) -> None:
        for blocked in self._blocked.values():
            if blocked.service == cause.service and set(blocked.parts) <= cause.parts:
                return
        await self._block(
            BlockedParts(
                cause.service,
                cause.model,
                tuple(sorted(cause.parts)),
                cause.crashes,
                trial_at_s=self.wall_clock() + get_trial_delay_s(0),
            )
        )

    async def _block_request(self, request: SharedPart) -> None:
        await self._block(
            BlockedParts(
                request.service,
                "",
                (request.key,),
                self.view_server.crash_ledger.count_crashes(request),
                trial_at_s=self.wall_clock() + get_request_trial_delay_s(0),
            )
        )

    async def _block(self, blocked: BlockedParts) -> None:
        await self.view_server.commit(BlockParts(blocked))
        eliot.log_message(
            "prompt-parts:blocked",
            name=blocked.name,
            crashes=blocked.crashes,
            trials=blocked.trials,
            trial_at_s=blocked.trial_at_s,
        )
