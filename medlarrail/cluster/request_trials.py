"""Trials of requests that may crash endpoints, on the leading state member."""

import eliot
from attrs import define, field

from medlarrail.cluster.crash_ledger import CrashLedger
from medlarrail.core.entities import SharedPart

MAX_TRIAL_S = 1.0
"""Time after which a trial without a result no longer holds up others."""
DECISION_DELAY_S = 0.3
"""Time after a trial's crash for all entries to report what else ran there."""


@define
class OpenTrial:
    """A request that may be sent once; times in seconds."""

    request: SharedPart
    started_at: float
    crashed_at: float | None = None


@define(eq=False)
class RequestTrials:
    """The trials of a ledger's suspected requests, one at a time for each service."""

    ledger: CrashLedger
    _open: dict[str, OpenTrial] = field(factory=dict)
    """By service."""

    def grant(self, request: SharedPart) -> bool:
        """Return whether a request may be sent now; starts a trial if it needs one."""
        if not self.ledger.needs_trial(request):
            return True
        now = self.ledger.clock()
        trial = self._open.get(request.service)
        if trial is not None and (
            trial.crashed_at is not None or now - trial.started_at < MAX_TRIAL_S
        ):
            return False
        self._open[request.service] = OpenTrial(request, now)
        eliot.log_message("request:trial", service=request.service, request=request.key)
        return True

    def record_crash(self, service: str, keys: set[str]) -> None:
        """Record the crash of an endpoint on which requests with these keys ran."""
        trial = self._open.get(service)
        if trial is not None and trial.request.key in keys:
            trial.crashed_at = self.ledger.clock()

    def record_completed(self, service: str, keys: set[str]) -> None:
        """End the trial of a request that was answered completely."""
        trial = self._open.get(service)
        if trial is not None and trial.request.key in keys:
            del self._open[service]

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
            del self._open[trial.request.service]
        return [
            trial.request
            for trial in judged
            if self.ledger.is_only_suspect(trial.request, trial.started_at)
        ]
