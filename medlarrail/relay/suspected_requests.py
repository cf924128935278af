"""Sends a request that may crash endpoints only as a trial that the leader grants."""

from collections.abc import Sequence

from attrs import define

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.cluster_records import SharedPart
from medlarrail.core.errors import RequestOnTrial
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.crash_reporter import Suspect

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

    def find(self, service: str, suspects: Sequence[Suspect]) -> SharedPart | None:
        """Return the request if it may only be sent as a trial.

        One that is blocked already has trials of its own.
        """
        if not self.cluster_view.trial_requests:
            return None
        for suspect in suspects:
            part = SharedPart(service, suspect.key)
            is_on_trial = part in self.cluster_view.trial_requests
            if is_on_trial and not self.cluster_view.is_blocked(part):
                return part
        return None

    async def request_trial(self, service: str, suspects: Sequence[Suspect]) -> bool:
        """Return whether the request is a trial that the leader has granted.

        Raises ``RequestOnTrial`` for a suspected request that is not granted.
        """
        suspect = self.find(service, suspects)
        if suspect is None:
            return False
        from medlarrail.relay.trial_client import ask_for_request_trial

        if self.state is None or not await ask_for_request_trial(
            self.state, self.name, service, suspect.key
        ):
            get_metrics().count("requests_on_trial", service=service)
            raise RequestOnTrial(request=suspect.key, retry_after_s=RETRY_AFTER_S)
        return True
