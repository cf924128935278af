"""Tests of the weights that requests begin on when a newer version was named before.

A request must not begin on replaced weights once that is ``OLD_WEIGHTS_LIMIT_S`` ago,
at whichever entry.
"""

from contextlib import suppress
from itertools import count

import pytest
import trio
from attrs import evolve

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.cluster.cluster_view_server import SETTLE_S
from medlarrail.core.cluster_records import DesiredVersion, VersionAge
from medlarrail.core.errors import MedlarError
from medlarrail.policy.notification import MAX_POLL_WAIT_S
from medlarrail.policy.weight_use import OLD_WEIGHTS_LIMIT_S
from medlarrail.testing.builders import (
    build_announcement,
    build_cluster_view_answer,
    build_deployment,
)
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.view_members import NAMES, ViewMembers
from medlarrail.testing.weight_versions import MODEL, build_weights, choose_version

ENTRY = "entry-1"
LATE_S = OLD_WEIGHTS_LIMIT_S + 3.0


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    """Return members to which endpoints with versions 1 and 2 announce themselves."""
    started = ViewMembers(Cluster(tmp_path, nursery), nursery)
    await started.start()
    nursery.start_soon(announce_steadily, started)
    await trio.sleep(SETTLE_S + 1)
    return started


async def announce_steadily(members):
    for sequence in count(1):
        for name, version in (("old", 1), ("new", 2)):
            with suppress(MedlarError):
                await members.announce(
                    name=name, sequence=sequence, models=build_weights(version)
                )
        await trio.sleep(1)


async def set_version(members, version):
    await (await members.get_leader()).set_desired_version(MODEL, version)


async def wait_informed(view, version):
    """Wait until an entry knows the endpoints and which version they have to load."""
    with trio.fail_after(10):
        while (
            MODEL not in view.desired
            or view.desired[MODEL].ordinal < version
            or len(view.endpoints) < 2
        ):
            await trio.sleep(0.01)


@pytest.fixture
def now():
    """Return the time, in a list."""
    return [1000.0]


@pytest.fixture
def view(now):
    """Return a view of two endpoints with the versions 1 and 2."""
    cluster_view = ClusterView(clock=lambda: now[0])
    for name, version in (("old", 1), ("new", 2)):
        announced = build_announcement(
            name=name, address=name, models=build_weights(version)
        )
        cluster_view.endpoints[name] = EndpointView(announced)
    return cluster_view


def build_answer(*ages, versions=(2,)):
    """Return a leader's answer with the ages of the last of ``versions``."""
    return evolve(
        build_cluster_view_answer(),
        whole=False,
        desired=(DesiredVersion(MODEL, "", ordinal=versions[-1]),),
        version_ages=tuple(
            VersionAge(MODEL, ordinal, age_s)
            for ordinal, age_s in zip(versions, ages, strict=False)
        ),
    )


class TestClusterView:
    async def test_answer_waits_for_an_entry_that_is_suspended(self, view, now):
        """The answer was sent when the version had just been named."""
        view.apply(build_answer(-0.2), sent_at=now[0] - LATE_S)
        assert choose_version(view) == 2

    async def test_smaller_age_replaces_a_larger_one(self, view, now):
        """A member that started again knows only the time since its start."""
        view.apply(build_answer(OLD_WEIGHTS_LIMIT_S))
        now[0] += 1.0
        view.apply(build_answer(0.5))
        assert choose_version(view) == 2

    async def test_version_before_sends_no_ages(self, view, now):
        view.apply(build_answer())
        now[0] += OLD_WEIGHTS_LIMIT_S - 0.1
        view.apply(build_answer())
        assert choose_version(view) == 1
        now[0] += 0.2
        assert choose_version(view) == 2

    async def test_ages_of_old_versions_are_kept_for_good(self, view, now):
        for version in range(2, 200):
            view.apply(build_answer(0.0, versions=(version,)))
            now[0] += 5.0
        assert len(view.weight_versions.get_ages(MODEL)) < 10

    async def test_old_weights_are_used_while_new_ones_cannot_be(self, view):
        """No endpoint that could take the request had new weights."""
        view.apply(build_answer(LATE_S))
        new = view.endpoints["new"]
        new.announced = evolve(new.announced, data_centre="perth")
        view.out_data_centres = frozenset({"perth"})
        assert choose_version(view) is None

    async def test_request_is_refused_while_no_endpoint_has_new_weights(self, view):
        view.apply(build_answer(LATE_S))
        del view.endpoints["new"]
        assert choose_version(view) == 1

    async def test_loading_endpoint_is_left_for_one_with_replaced_weights(self, view):
        view.apply(build_answer(LATE_S))
        view.endpoints["new"].loading = True
        assert choose_version(view) == 2


class TestMembers:
    async def test_restarted_members_begin_the_age_anew_for_running_entries(
        self, members, autojump_clock
    ):
        view = members.start_entry(ENTRY).cluster_view
        await set_version(members, 2)
        await trio.sleep(LATE_S)
        await members.restart_all()
        await (await members.get_leader()).member.confirm_reads()
        late = members.start_entry("entry-2").cluster_view
        await wait_informed(late, 2)
        await wait_informed(view, 2)
        assert choose_version(view) == 2
        assert late.weight_versions.get_ages(MODEL)[2] < LATE_S
        await trio.sleep(OLD_WEIGHTS_LIMIT_S)
        assert choose_version(late) == 2

    async def test_member_that_got_a_snapshot_knows_no_age(
        self, tmp_path, nursery, autojump_clock
    ):
        """It follows from then on, and counts from there."""
        cluster = Cluster(tmp_path, nursery, snapshot_interval_entries=8)
        members = ViewMembers(cluster, nursery)
        await members.start()
        leader = await members.get_leader()
        behind = next(name for name in NAMES if name != leader.member.name)
        cluster.network.isolate(cluster.get_url(behind))
        await leader.set_desired_version(MODEL, 2)
        for version in range(2, 30):
            await leader.replace_deployment(build_deployment(version=version))
        cluster.network.clear_cuts()
        await cluster.wait_all_applied()
        installed_at = trio.current_time()
        await trio.sleep(LATE_S)
        ages = members.view_servers[behind].weight_versions.get_ages(MODEL)
        assert ages[2] >= trio.current_time() - installed_at


class TestLateEntries:
    """Entries took the time since they heard of a version for its age."""

    async def test_entry_starts_long_after_a_version_was_named(
        self, members, autojump_clock
    ):
        await set_version(members, 2)
        await trio.sleep(LATE_S)
        view = members.start_entry(ENTRY).cluster_view
        await wait_informed(view, 2)
        assert choose_version(view) == 2

    async def test_entry_is_cut_off_while_a_version_is_named(
        self, members, autojump_clock
    ):
        view = members.start_entry(ENTRY).cluster_view
        await trio.sleep(1)
        members.cluster.network.isolate(f"mem://{ENTRY}")
        await set_version(members, 2)
        await trio.sleep(LATE_S)
        members.cluster.network.clear_cuts()
        await wait_informed(view, 2)
        assert choose_version(view) == 2

    async def test_entry_hears_only_of_a_later_version(self, members, autojump_clock):
        """Each version is judged from its own acknowledgement."""
        await set_version(members, 2)
        await trio.sleep(LATE_S)
        await set_version(members, 3)
        view = members.start_entry(ENTRY).cluster_view
        await wait_informed(view, 3)
        assert choose_version(view) == 2

    async def test_versions_follow_each_other_quickly(self, members, autojump_clock):
        """Naming the third one began the time of the second one anew."""
        view = members.start_entry(ENTRY).cluster_view
        await set_version(members, 2)
        await trio.sleep(LATE_S - 2)
        await set_version(members, 3)
        await trio.sleep(2)
        await wait_informed(view, 3)
        assert choose_version(view) == 2

    async def test_leader_changes_before_an_entry_starts(self, members, autojump_clock):
        """The new leader knows since when it has applied the version."""
        await set_version(members, 2)
        await trio.sleep(LATE_S)
        await members.replace_leader()
        view = members.start_entry(ENTRY).cluster_view
        await wait_informed(view, 2)
        assert choose_version(view) == 2

    async def test_new_entry_uses_old_weights_while_others_load(
        self, members, autojump_clock
    ):
        await set_version(members, 2)
        view = members.start_entry(ENTRY).cluster_view
        await wait_informed(view, 2)
        assert choose_version(view) == 1
        await trio.sleep(OLD_WEIGHTS_LIMIT_S - 1)
        assert choose_version(view) == 1
        await trio.sleep(1 + MAX_POLL_WAIT_S)
        assert choose_version(view) == 2
