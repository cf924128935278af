"""Tests of the question which incarnation of an endpoint had a connection."""

import pytest
import trio
from attrs import define, field

from medlarrail.core.errors import PeerTimeout
from medlarrail.protocol.endpoint_sightings import Sighting, SightingsRequest
from medlarrail.relay.incarnations import ANNOUNCEMENT_TIMEOUT_S, IncarnationLookup
from medlarrail.transport.client import FIRST_ATTEMPT_SHARE

NAME = "engine-1"
STARTED_MS = 1000
LATENCY_S = 0.05
"""Time that an answer of the leader takes."""
HOLD_S = 1.0
CLOSED_AGO_S = 0.3


@define(eq=False, slots=False)
class HoldingLeader:
    """Stands for the leading member and the way to it.

    It holds each request until the endpoint announces itself, every ``interval_s``
    seconds from ``first_at`` on. A request is sent again, unchanged, if its first
    attempt is not answered in time.
    """

    first_at: float
    interval_s: float = 1.2
    requests: list[SightingsRequest] = field(factory=list)

    async def call_leader(self, path, message, answer_type, timeout_s):
        self.requests.append(message)
        for share in (FIRST_ATTEMPT_SHARE, 1 - FIRST_ATTEMPT_SHARE):
            with trio.move_on_after(share * timeout_s):
                sightings = await self._hold(message)
                await trio.sleep(LATENCY_S)
                return answer_type(sightings)
        raise PeerTimeout(url="leader")

    async def _hold(self, message: SightingsRequest) -> tuple[Sighting, ...]:
        asked_at = trio.current_time()
        since = asked_at - message.max_age_s
        until = asked_at + message.wait_s
        while (last_at := self._find_last()) is None or last_at < since:
            if trio.current_time() >= until:
                break
            await trio.sleep(0.01)
        if last_at is None:
            return ()
        age_s = asked_at - last_at
        return (Sighting(STARTED_MS, "v1", asked_at - self.first_at, age_s),)

    def _find_last(self) -> float | None:
        """Return when the endpoint last announced itself, None if never."""
        elapsed_s = trio.current_time() - self.first_at
        if elapsed_s < 0:
            return None
        return self.first_at + elapsed_s // self.interval_s * self.interval_s


class TestHeldQuestion:
    @pytest.mark.parametrize("after_s", [0.05, 0.47, 0.72, 0.97, 1.05, 1.15])
    async def test_announcement_is_missed_while_the_question_is_sent_again(
        self, autojump_clock, after_s
    ):
        """The answer came too late for the first attempt, and in the second one the
        announcement counted as too old."""
        began_at = trio.current_time()
        leader = HoldingLeader(began_at - 1.2 + after_s)
        found = await IncarnationLookup(leader).find(
            NAME, began_at, float("inf"), ANNOUNCEMENT_TIMEOUT_S
        )
        assert found.started_ms == STARTED_MS
        assert trio.current_time() - began_at < after_s + 0.2

    async def test_endpoint_that_is_not_heard_of_is_waited_for(self, autojump_clock):
        began_at = trio.current_time()
        leader = HoldingLeader(began_at + 60.0)
        found = await IncarnationLookup(leader).find(
            NAME, began_at, float("inf"), ANNOUNCEMENT_TIMEOUT_S
        )
        waited_s = trio.current_time() - began_at
        assert found is None
        assert ANNOUNCEMENT_TIMEOUT_S <= waited_s < ANNOUNCEMENT_TIMEOUT_S + 0.3
        assert len(leader.requests) < 6

    async def test_question_without_a_wait_is_asked_again(self, autojump_clock):
        leader = HoldingLeader(trio.current_time() + 60.0)
        assert await IncarnationLookup(leader).find(NAME, 0.0, 0.0) is None
        assert len(leader.requests) == 1


@define
class AnsweringLeader:
    """Answers once an announcement has come, ``HOLD_S`` after the question."""

    first_age_s: float
    hold_s: float = HOLD_S
    """Time of the hold on the clock of the gateway."""
    reply_s: float = 0.0

    async def call_leader(self, path, message, answer_type, timeout_s):
        await trio.sleep(self.hold_s + self.reply_s)
        return answer_type((Sighting(1000, "v1", self.first_age_s, -HOLD_S),))


class TestAges:
    """The question is whether the incarnation that announces itself now was heard of
    before ``CLOSED_AGO_S``."""

    async def find(self, leader: AnsweringLeader):
        now = trio.current_time()
        lookup = IncarnationLookup(leader)
        return await lookup.find("engine-1", now, now - CLOSED_AGO_S, 2 * HOLD_S)

    async def test_hold_counts_as_the_way_of_the_answer(self, autojump_clock):
        """Streams that had begun within it after the first announcement were cut."""
        found = await self.find(AnsweringLeader(CLOSED_AGO_S + 0.1))
        assert found is not None and found.software_version == "v1"

    @pytest.mark.parametrize("hold_s", [HOLD_S, 0.0])
    async def test_later_announcement_counts(self, autojump_clock, hold_s):
        """The gateway may have been suspended, and not count the hold."""
        assert await self.find(AnsweringLeader(CLOSED_AGO_S - 0.1, hold_s)) is None

    async def test_way_of_the_question_and_the_answer_is_not_counted(
        self, autojump_clock
    ):
        leader = AnsweringLeader(CLOSED_AGO_S + 0.1, reply_s=0.2)
        assert await self.find(leader) is None
