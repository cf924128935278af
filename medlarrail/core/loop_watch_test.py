"""Tests of the times at which the event loop is known to have run."""

import trio
import trio.testing

from medlarrail.core.loop_watch import TICK_S, LoopWatch


class TestTicks:
    async def test_gateway_wakes_up_although_nothing_waits(
        self, autojump_clock, nursery
    ):
        """An idle process spent a third of its processor time on ticks."""
        watch = LoopWatch()
        nursery.start_soon(watch.run)
        watch.begin_wait()
        await trio.sleep(4 * TICK_S)
        watch.end_wait()
        await trio.sleep(2 * TICK_S)
        assert watch.awake_at == float("-inf")
        await trio.sleep(100 * TICK_S)
        assert watch.awake_at == float("-inf")

    async def test_wait_is_not_followed_by_ticks(self, autojump_clock, nursery):
        """The end of a connection would count as noticed late after a long wait."""
        watch = LoopWatch()
        nursery.start_soon(watch.run)
        for pause_s in (0.0, TICK_S / 2, 10 * TICK_S):
            await trio.sleep(pause_s)
            watch.begin_wait()
            for _ in range(20):
                await trio.sleep(3 * TICK_S)
                age_s = trio.current_time() - watch.awake_at
                assert 0 < age_s <= 2 * TICK_S + 0.001
            watch.end_wait()

    async def test_first_tick_after_a_pause_is_taken_for_an_earlier_time(
        self, autojump_clock, nursery
    ):
        """It may be from after a suspension that began just after the wait."""
        watch = LoopWatch()
        nursery.start_soon(watch.run)
        await trio.testing.wait_all_tasks_blocked()
        watch.begin_wait()
        await trio.testing.wait_all_tasks_blocked()
        assert watch.awake_at == float("-inf")
        watch.end_wait()
