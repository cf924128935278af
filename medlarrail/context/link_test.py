"""Tests of the link scheduler."""

import pytest
import trio

from medlarrail.context.link import Link, TransferKind


@pytest.fixture
async def link():
    return Link(trio.current_time, rate_bytes_per_s=10_000)


class TestLink:
    async def test_transfers_run_in_priority_order(self, link, nursery, autojump_clock):
        order = []

        async def move(kind, name):
            async def work():
                await trio.sleep(1)
                order.append(name)

            await link.transfer(kind, 10_000, work)

        nursery.start_soon(move, TransferKind.KEEP, "running")
        await trio.sleep(0.1)
        nursery.start_soon(move, TransferKind.KEEP, "keep")
        nursery.start_soon(move, TransferKind.COPY, "copy")
        await trio.sleep(0.1)
        await move(TransferKind.RESTORE, "restore")
        assert order == ["running", "restore"]
        await trio.sleep(5)
        assert order == ["running", "restore", "copy", "keep"]

    async def test_a_hanging_transfer_lowers_the_rate(
        self, link, nursery, autojump_clock
    ):
        nursery.start_soon(
            link.transfer, TransferKind.RESTORE, 10_000, trio.sleep_forever
        )
        await trio.sleep(5)
        assert link.get_rate() <= 2_000
        assert link.estimate_wait(TransferKind.RESTORE) >= 5
        nursery.cancel_scope.cancel()

    async def test_a_cancelled_transfer_frees_the_link(
        self, link, nursery, autojump_clock
    ):
        with trio.move_on_after(1):
            await link.transfer(TransferKind.RESTORE, 10, trio.sleep_forever)
        with trio.fail_after(1):
            await link.transfer(TransferKind.KEEP, 10, trio.lowlevel.checkpoint)

    async def test_the_rate_follows_measured_transfers(self, link, autojump_clock):
        async def work():
            await trio.sleep(1)

        for _ in range(20):
            await link.transfer(TransferKind.KEEP, 2_000, work)
        assert 1_900 < link.get_rate() < 2_500
