"""The workload of the engines that one long prompt may go to."""

from collections.abc import Mapping

import trio
from attrs import define

from medlarrail.policy.workload import choose_candidates
from medlarrail.relay.workload_tracker import EngineTokens

LOOKUP_TTL_S = 0.1
"""Age up to which the workload is used while a prompt waits: short compared to the
prefill of a prompt, and few messages for each that waits."""

MAX_KNOWN = 3
"""Engines that are asked because they have read the prompt's shared part; the others
are the homes of the context and at least one by chance."""


@define(eq=False)
class WorkloadLookup:
    """What the coordinators said of the engines that ``relayed`` may go to."""

    relayed: "RelayedRequest"  # noqa: F821
    _asked: tuple[str, ...] = ()
    _found: Mapping[str, EngineTokens] = {}
    _found_at: float = float("-inf")
    _draws: int = 0

    async def run(self) -> None:
        """Ask for the workload of some engines, others each time.

        Done before the endpoint is chosen, since nothing may be awaited between the
        choice and the reservation.
        """
        directory = self.relayed.relay.workloads
        chooser = self.relayed.chooser
        if directory is None or not chooser.is_scheduled or not directory.is_needed():
            return
        if trio.current_time() - self._found_at < LOOKUP_TTL_S:
            return
        self._draws += 1
        draw = f"{self.relayed.metadata.request_id}-{self._draws}"
        names = chooser.list_engine_names()
        asked = choose_candidates(names, chooser.context, draw)
        known = self.relayed.prefill_sharing.list_engines(names)
        # They take the place of drawn ones, so that there are no more messages.
        preferred = dict.fromkeys((*known[:MAX_KNOWN], *asked))
        self._asked = tuple(preferred)[: len(asked)]
        self._found = await directory.find(self._asked)
        self._found_at = trio.current_time()

    def get_engines(self) -> Mapping[str, EngineTokens] | None:
        """Return the workload of the engines to choose from.

        If no coordinator replied, these are the engines that were asked for, with what
        this entry knows. None if all engines may be chosen: all entries report to all.
        """
        directory = self.relayed.relay.workloads
        if directory is None or not directory.is_needed():
            return None
        tracker = self.relayed.relay.workload
        return self._found or {name: tracker.get_engine(name) for name in self._asked}
