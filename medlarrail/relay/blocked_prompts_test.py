"""Tests of refusing prompts with parts that crash endpoints."""

import pytest
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.cluster_records import BlockedParts
from medlarrail.core.errors import PeerTimeout, PromptBlocked
from medlarrail.protocol.request_trials import TrialAnswer
from medlarrail.relay.blocked_prompts import BlockedPrompts
from medlarrail.relay.metadata import MAX_KEY_CHARS, PromptPart
from medlarrail.testing.builders import build_cluster_view_answer

PARTS = (PromptPart("a", 10), PromptPart("b", 10))
BLOCKED = BlockedParts("guide", "m", ("b",), 3, trial_at_s=50.0)


@define
class FakeState:
    """Answers requests for trials and records them."""

    granted: bool = True
    failures: int = 0
    messages: list = field(factory=list)

    async def call_leader(self, path, message, answer_type, timeout_s):
        """See ``StateClient``."""
        await trio.lowlevel.checkpoint()
        if self.failures:
            raise PeerTimeout(url="mem://leader")
        self.messages.append(message)
        return TrialAnswer(self.granted)


def build_prompts(now_s: float, *blocked: BlockedParts) -> BlockedPrompts:
    """Return the blocked prompts that the leader listed, at ``now_s``."""
    cluster_view = ClusterView()
    cluster_view.apply(evolve(build_cluster_view_answer(), blocked=blocked))
    return BlockedPrompts(cluster_view, "gateway-1", FakeState(), lambda: now_s)


class TestBlockedPrompts:
    async def test_a_prompt_with_all_blocked_parts_is_refused(self):
        prompts = build_prompts(20.0, BLOCKED)
        with pytest.raises(PromptBlocked) as caught:
            await prompts.request_trial("guide", PARTS)
        assert caught.value.retry_after_s == 30.0
        await prompts.request_trial("guide", PARTS[:1])
        await prompts.request_trial("another", PARTS)
        assert prompts.state.messages == []

    async def test_a_prompt_with_some_of_the_blocked_parts_is_refused(self):
        prompts = build_prompts(20.0, evolve(BLOCKED, parts=("b", "c")))
        await prompts.request_trial("guide", PARTS)

    async def test_two_requests_ask_for_the_same_trial(self, nursery):
        prompts = build_prompts(60.0, BLOCKED)
        nursery.start_soon(prompts.request_trial, "guide", PARTS)
        await trio.lowlevel.checkpoint()
        with pytest.raises(PromptBlocked):
            await prompts.request_trial("guide", PARTS)
        await trio.sleep(0.05)
        assert len(prompts.state.messages) == 1

    @pytest.mark.parametrize("failures", [0, 1])
    async def test_a_trial_is_sent_without_a_grant(self, failures):
        prompts = build_prompts(60.0, BLOCKED)
        prompts.state = FakeState(granted=False, failures=failures)
        with pytest.raises(PromptBlocked):
            await prompts.request_trial("guide", PARTS)

    def test_a_long_identity_is_kept_whole(self):
        assert PromptPart("a1", 1).key == "a1"
        assert len(PromptPart("a" * 16_000, 1).key) <= MAX_KEY_CHARS
