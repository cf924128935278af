"""Tests of the questions about incarnations that a state member holds."""

import pytest
import trio
from attrs import define

from medlarrail.protocol.endpoint_sightings import Sighting
from medlarrail.relay.incarnations import IncarnationLookup

HOLD_S = 1.0
CLOSED_AGO_S = 0.3


@define
class HoldingLeader:
    """Answers once an announcement has come, ``HOLD_S`` after the question."""

    first_age_s: float
    hold_s: float = HOLD_S
    """Time of the hold on the clock of the gateway."""
    reply_s: float = 0.0

    async def call_leader(self, path, message, answer_type, timeout_s):
        await trio.sleep(self.hold_s + self.reply_s)
        return answer_type((Sighting(1000, "v1", self.first_age_s, -HOLD_S),))


class TestHeldQuestions:
    """The question is whether the incarnation that announces itself now was heard of
    before ``CLOSED_AGO_S``."""

    async def find(self, leader: HoldingLeader):
        now = trio.current_time()
        lookup = IncarnationLookup(leader)
        return await lookup.find("engine-1", now, now - CLOSED_AGO_S, 2 * HOLD_S)

    async def test_hold_counts_as_the_way_of_the_answer(self, autojump_clock):
        """Streams that had begun within it after the first announcement were cut."""
        found = await self.find(HoldingLeader(CLOSED_AGO_S + 0.1))
        assert found is not None and found.software_version == "v1"

    @pytest.mark.parametrize("hold_s", [HOLD_S, 0.0])
    async def test_later_announcement_counts(self, autojump_clock, hold_s):
        """The gateway may have been suspended, and not count the hold."""
        assert await self.find(HoldingLeader(CLOSED_AGO_S - 0.1, hold_s)) is None

    async def test_way_of_the_question_and_the_answer_is_not_counted(
        self, autojump_clock
    ):
        leader = HoldingLeader(CLOSED_AGO_S + 0.1, reply_s=0.2)
        assert await self.find(leader) is None
