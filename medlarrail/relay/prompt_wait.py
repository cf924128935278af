"""The wait of a long prompt for an engine, in turns with others at this entry."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio
from attrs import define

from medlarrail.policy.prompt_turns import PromptTurns, WaitingPrompt
from medlarrail.policy.workload import DISPATCH_MARGIN_MS
from medlarrail.relay.endpoint_choice import Choice


@define(eq=False)
class PromptWait:
    """The wait of ``relayed``."""

    relayed: "RelayedRequest"  # noqa: F821
    _waiting: WaitingPrompt | None = None
    _sent: bool = False

    @property
    def _turns(self) -> PromptTurns:
        return self.relayed.relay.get_prompt_turns(self.relayed.service.name)

    @contextmanager
    def open(self) -> Iterator[None]:
        """Leave the others that wait when the prompt is sent, refused or given up."""
        self._sent = False
        try:
            yield
        finally:
            if self._waiting is not None:
                self._turns.leave(self._waiting, trio.current_time(), self._sent)
                self._waiting = None

    def has_turn(self) -> bool:
        """Return whether the prompt may look for an engine now."""
        waiting = self._waiting
        return waiting is None or self._turns.has_turn(waiting, trio.current_time())

    def record(self, choice: Choice) -> None:
        """Record what came of a look."""
        self._sent = choice.action == "send" and choice.endpoint is not None
        if choice.action != "wait":
            return
        if self._waiting is None:
            now = trio.current_time()
            budget = choice.budget
            latest_start_ms = budget.target_left_ms - choice.prefill_ms
            margin_ms = choice.prefill_ms + DISPATCH_MARGIN_MS
            self._waiting = self._turns.join(
                now,
                self.relayed.exchange.request.received_at,
                now + latest_start_ms / 1000,
                now + (budget.left_ms - margin_ms) / 1000,
            )
        self._waiting.looks += 1

    def get_wait_ms(self) -> float:
        """Return the expected wait of a late prompt, 0 if it is unknown."""
        received_at = self.relayed.exchange.request.received_at
        wait_s = self._turns.get_wait_s(trio.current_time(), received_at)
        return 0.0 if wait_s is None else 1000 * wait_s
