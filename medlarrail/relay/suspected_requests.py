"""Sends a request that may crash endpoints only as a trial that the leader grants."""

from collections.abc import Sequence

from attrs import define

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.entities import SharedPart
from medlarrail.core.errors import RequestOnTrial
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.crashes import REQUEST_TRIALS_PATH, SuspectTrialRequest
from medlarrail.relay.crash_reporter import Suspect
from medlarrail.relay.trial_client import ask_for_trial

RETRY_AFTER_S = 0.3
"""Time to the next trial of the service, which may be this request's."""


@define(eq=False)
class SuspectedRequests:
    """The suspected requests as known to the entry ``name``.

    Without ``state``, no trial is made.
    """

    cluster_view: ClusterView
    name: str
    state: StateClient | None = None

    async def request_trial(self, service: str, suspects: Sequence[Suspect]) -> bool:
        """Return whether the request is a trial that the leader has granted.

        Raises ``RequestOnTrial`` for a suspected request that is not granted. One that
        is blocked already has trials of its own.
        """
        is_trial = False
        for suspect in suspects:
            part = SharedPart(service, suspect.key)
            is_on_trial = part in self.cluster_view.trial_requests
            if is_on_trial and not self.cluster_view.is_blocked(part):
                await self._require_granted(part)
                is_trial = True
        return is_trial

    async def _require_granted(self, part: SharedPart) -> None:
        request = SuspectTrialRequest(self.name, part.service, part.key)
        if self.state is None or not await ask_for_trial(
            self.state, REQUEST_TRIALS_PATH, request
        ):
            get_metrics().count("requests_on_trial", service=part.service)
            raise RequestOnTrial(request=part.key, retry_after_s=RETRY_AFTER_S)
