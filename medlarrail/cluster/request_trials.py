"""Trials of requests that may crash endpoints, on the leading state member."""

from collections.abc import Iterable

import eliot
from attrs import define, field

from medlarrail.cluster.crash_ledger import CrashLedger
from medlarrail.core.cluster_records import SharedPart

MAX_TRIAL_S = 1.0
"""Time after which a trial without a result no longer holds up others."""
RESULT_TIMEOUT_S = 10.0
"""Time after which a request without a result may be tried again."""
DECISION_DELAY_S = 0.3
"""Time after a trial's crash for all entries to report what else ran there."""


@define
class OpenTrial:
    """A request that may be sent once; times in seconds."""

    request: SharedPart
    started_at: float
    crashed_at: float | None = None

    def is_awaited(self, now: float) -> bool:
        """Return whether no other trial of the service may begin."""
        return self.crashed_at is not None or now - self.started_at < MAX_TRIAL_S


@define(eq=False)
class RequestTrials:
    """The trials of a ledger's suspected requests, one at a time for each service."""

    ledger: CrashLedger
    _open: dict[SharedPart, OpenTrial] = field(factory=dict)

    def grant(self, request: SharedPart) -> bool:
        """Return whether a request may be sent now; starts a trial if it needs one."""
        if not self.ledger.needs_trial(request):
            return True
        now = self.ledger.clock()
        self._drop_unresolved(now)
        if request in self._open or any(
            trial.request.service == request.service and trial.is_awaited(now)
            for trial in self._open.values()
        ):
            return False
        self._open[request] = OpenTrial(request, now)
        eliot.log_message("request:trial", service=request.service, request=request.key)
        return True

    def _drop_unresolved(self, now: float) -> None:
        unresolved = [
            request
            for request, trial in self._open.items()
            if trial.crashed_at is None and now - trial.started_at >= RESULT_TIMEOUT_S
        ]
        for request in unresolved:
            del self._open[request]

    def record_crash(self, service: str, keys: Iterable[str]) -> None:
        """Record the crash of an endpoint on which requests with these keys ran."""
        for key in keys:
            trial = self._open.get(SharedPart(service, key))
            if trial is not None and trial.crashed_at is None:
                trial.crashed_at = self.ledger.clock()

    def record_completed(self, service: str, keys: Iterable[str]) -> None:
        """End the trials of requests that were answered completely."""
        for key in keys:
            self._open.pop(SharedPart(service, key), None)

    def take_failed(self) -> list[SharedPart]:
        """Return and end the trials whose crash can be judged.

        Leaves out those beside which another suspected request ran: either may have
        crashed the endpoint, so another trial has to decide.
        """
        now = self.ledger.clock()
        judged = [
            trial
            for trial in self._open.values()
            if trial.crashed_at is not None
            and now - trial.crashed_at >= DECISION_DELAY_S
        ]
        for trial in judged:
            del self._open[trial.request]
        return [
            trial.request
            for trial in judged
            if self.ledger.is_only_suspect(trial.request, trial.started_at)
        ]
