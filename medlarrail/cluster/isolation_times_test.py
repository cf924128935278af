"""Tests of what an entry knows of accounts that were isolated before it started."""

import pytest
import trio

from medlarrail.core.deployment import AccountRule
from medlarrail.testing.builders import build_deployment
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import ViewMembers


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    started = ViewMembers(Cluster(tmp_path, nursery), nursery)
    await started.start()
    await isolate(started, version=1)
    return started


async def isolate(members, *names, version):
    """Put a document with these isolated accounts in force."""
    accounts = tuple(AccountRule(name, isolated=True) for name in names)
    document = build_deployment(version=version, accounts=accounts)
    await (await members.get_leader()).replace_deployment(document)


async def start_entry(members):
    """Return the view of an entry that has just started."""
    view = members.start_entry("entry-2").cluster_view
    with trio.fail_after(5):
        while view.deployment is None:
            await trio.sleep(0.01)
    return view


class TestIsolationTimes:
    async def test_no_account_was_ever_isolated(self, members, autojump_clock):
        await trio.sleep(10)
        await isolate(members, version=2)
        view = await start_entry(members)
        assert view.isolation_times.get_ago_s() is None

    async def test_account_is_isolated_now(self, members, autojump_clock):
        await isolate(members, "lea", version=2)
        await trio.sleep(10)
        view = await start_entry(members)
        await trio.sleep(10)
        assert view.isolation_times.get_ago_s() == 0

    @pytest.mark.parametrize("change", [None, "replace_leader", "restart_all"])
    async def test_entry_starts_after_accounts_share_again(
        self, change, members, autojump_clock
    ):
        """It took the document of now for that of all time."""
        await isolate(members, "lea", version=2)
        await trio.sleep(10)
        await isolate(members, version=3)
        ended_at = trio.current_time()
        await trio.sleep(10)
        if change is not None:
            await getattr(members, change)()
        view = await start_entry(members)
        await trio.sleep(10)
        assert view.isolation_times.get_ago_s() <= trio.current_time() - ended_at

    async def test_entry_sees_an_account_share_again(self, members, autojump_clock):
        view = await start_entry(members)
        await isolate(members, "lea", version=2)
        await trio.sleep(10)
        await isolate(members, version=3)
        ended_at = trio.current_time()
        await trio.sleep(10)
        ago_s = view.isolation_times.get_ago_s()
        assert 9 <= ago_s <= trio.current_time() - ended_at
