"""Refuses prompts with parts that crash endpoints, and requests that crash them."""

from collections.abc import Sequence

import eliot
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.clock import Clock, get_wall_time
from medlarrail.core.cluster_records import BlockedParts, SharedPart
from medlarrail.core.errors import PromptBlocked, RequestBlocked
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.crash_reporter import Suspect

MIN_RETRY_AFTER_S = 1.0


@define(eq=False)
class BlockedPrompts:
    """The blocked prompts as known to the entry ``name``.

    Without ``state``, no trial is made.
    """

    cluster_view: ClusterView
    name: str
    state: StateClient | None = None
    wall_clock: Clock = get_wall_time
    _asking: set[str] = field(factory=set)
    """Blocked parts for which a trial is being requested."""

    def find(self, service: str, parts: Sequence[Suspect]) -> BlockedParts | None:
        """Return the blocked parts that a prompt has all of, or None."""
        if not self.cluster_view.blocked:
            return None
        keys = {part.key for part in parts}
        for key in keys:
            for blocked in self.cluster_view.blocked.get(SharedPart(service, key), ()):
                if keys.issuperset(blocked.parts):
                    return blocked
        return None

    def require_trial_due(
        self, service: str, parts: Sequence[Suspect]
    ) -> BlockedParts | None:
        """Return the blocked parts of a prompt whose trial is due, None if it has none.

        Raises ``PromptBlocked`` for a blocked prompt without a due trial.
        """
        blocked = self.find(service, parts)
        if blocked is None:
            return None
        is_due = self.wall_clock() >= blocked.trial_at_s
        if not is_due or blocked.name in self._asking or self.state is None:
            raise self._build_refusal(blocked)
        return blocked

    async def request_trial(self, service: str, parts: Sequence[Suspect]) -> bool:
        """Return whether the request is the next trial of blocked parts.

        Raises ``PromptBlocked`` or ``RequestBlocked`` for any other blocked one. At
        most one request in the whole deployment is sent for each trial.
        """
        blocked = self.require_trial_due(service, parts)
        if blocked is None:
            return False
        from medlarrail.relay.trial_client import ask_for_parts_trial

        self._asking.add(blocked.name)
        try:
            granted = await ask_for_parts_trial(self.state, self.name, blocked.name)
        finally:
            self._asking.discard(blocked.name)
        if not granted:
            raise self._build_refusal(blocked)
        eliot.log_message("prompt-parts:trial", name=blocked.name)
        return True

    def _build_refusal(self, blocked: BlockedParts) -> PromptBlocked | RequestBlocked:
        if blocked.is_request:
            get_metrics().count("requests_blocked", service=blocked.service)
            return RequestBlocked(request=blocked.parts[0])
        get_metrics().count("prompts_blocked", service=blocked.service)
        wait_s = blocked.trial_at_s - self.wall_clock()
        return PromptBlocked(
            parts=blocked.parts, retry_after_s=max(MIN_RETRY_AFTER_S, wait_s)
        )
