"""Tests of sessions, ownership and permits on an in-memory network."""

import itertools

import pytest
import trio

from medlarrail.core.entities import EntrySession, SessionView
from medlarrail.core.errors import (
    EndpointColdStart,
    EndpointOutOfService,
    MedlarError,
    Overloaded,
    PermitExpired,
    Refusal,
    SessionClosed,
    SessionExpired,
)
from medlarrail.core.placement import get_weight
from medlarrail.core.timing import (
    MAX_PROPAGATION_DELAY_S,
    OUT_OF_SERVICE_BOUND_S,
    PERMIT_TTL_S,
    SESSION_LEASE_S,
)
from medlarrail.protocol.endpoints import LoadReport
from medlarrail.state.operations import RegisterEndpoint, SetDataCentre
from medlarrail.testing.builders import build_endpoint
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.entries import EntryHost, find_owner, wait_owner

ENDPOINT = "engine-1"
STATES = ("state-1", "state-2", "state-3")
ENTRIES = ("entry-1", "entry-2", "entry-3")


class Deployment:
    """Three state members and three entries serving one endpoint."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.entries = []
        self.stamps = {}

    async def start(self):
        await self.cluster.bootstrap(*STATES)
        for name in ENTRIES:
            self.entries.append(EntryHost(self.cluster, name))
            await self.entries[-1].start()
        await self.register(cold_limit=2, warm_limit=4, warmup_requests=4)
        self.cluster.nursery.start_soon(self.report)
        return self

    async def report(self):
        """Send the endpoint's load reports to every entry."""
        while True:
            for entry in self.entries:
                self.report_to(entry)
            await trio.sleep(0.25)

    def report_to(self, entry):
        stamp = self.stamps.get(entry.name, -1.0)
        epoch = entry.session.epoch
        entry.owners.apply_report(
            LoadReport(ENDPOINT, "i1", self.count_held(), 0, 0, "v1", 0.0, stamp, epoch)
        )
        self.stamps[entry.name] = entry.clock()

    async def register(self, **changes):
        await self.cluster.propose(
            RegisterEndpoint(build_endpoint(name=ENDPOINT, **changes))
        )

    async def get_owner(self):
        return await wait_owner(self.entries, ENDPOINT)

    async def get_owner_and_others(self):
        owner = await self.get_owner()
        return owner, [entry for entry in self.entries if entry is not owner]

    def count_held(self):
        """Return the number of permits that entries hold for the endpoint."""
        return sum(
            held.endpoint == ENDPOINT and held.answer is not None
            for entry in self.entries
            for held in entry.permits.held.values()
        )


@pytest.fixture
async def deployment(tmp_path, nursery, autojump_clock):
    return await Deployment(Cluster(tmp_path, nursery)).start()


def iterate_successors(names, count):
    """Yield names of entries, each of which becomes the owner when it joins."""
    highest_weight = max(get_weight(name, ENDPOINT) for name in names)
    for number in itertools.count(4):
        weight = get_weight(f"entry-{number}", ENDPOINT)
        if weight > highest_weight:
            highest_weight = weight
            yield f"entry-{number}"
            count -= 1
        if not count:
            return


async def acquire_all(entries, tries=4):
    """Request permits from every entry concurrently; return permits and refusals."""
    permits, refusals = [], []

    async def try_acquire(entry):
        try:
            permits.append((entry, await entry.acquire(ENDPOINT)))
        except (Refusal, SessionClosed) as error:
            refusals.append(error)

    async with trio.open_nursery() as nursery:
        for entry in entries:
            for _ in range(tries):
                nursery.start_soon(try_acquire, entry)
    return permits, refusals


class TestPermits:
    async def test_a_cold_endpoint_gets_no_more_than_its_cold_limit(
        self, deployment, autojump_clock
    ):
        await deployment.get_owner()
        permits, refusals = await acquire_all(deployment.entries)
        assert len(permits) == 2
        assert {type(refusal) for refusal in refusals} == {EndpointColdStart}
        assert all(refusal.retry_after_s > 0 for refusal in refusals)

    async def test_a_released_permit_serves_the_next_request(
        self, deployment, autojump_clock
    ):
        _, others = await deployment.get_owner_and_others()
        first = await others[0].acquire(ENDPOINT)
        await others[0].acquire(ENDPOINT)
        async with trio.open_nursery() as nursery:

            @nursery.start_soon
            async def release():
                await trio.sleep(0.3)
                others[0].permits.release(first, "ok", "i1")

            assert await others[1].acquire(ENDPOINT, wait_s=2)

    async def test_an_overload_is_refused_at_once_with_a_retry_delay(
        self, deployment, autojump_clock
    ):
        owner, others = await deployment.get_owner_and_others()
        owned = owner.owners.owned[ENDPOINT]
        owned.limiter.completed = 100
        owned.limiter.confirmed_alive_at = trio.current_time()
        for _ in range(2):
            await others[0].acquire(ENDPOINT)
        owned.limiter.confirmed_alive_at = trio.current_time()
        await trio.sleep(0.01)
        for _ in range(2):
            await others[0].acquire(ENDPOINT)
        owned.release_times.extend(trio.current_time() - 10 + n for n in range(3))
        started_at = trio.current_time()
        with pytest.raises(Overloaded) as caught:
            await others[1].acquire(ENDPOINT, wait_s=2)
        assert trio.current_time() - started_at < 0.2
        assert 1 < caught.value.retry_after_s < 10

    async def test_a_cancelled_wait_leaves_no_permit_behind(
        self, deployment, autojump_clock
    ):
        owner, others = await deployment.get_owner_and_others()
        held = [await others[0].acquire(ENDPOINT) for _ in range(2)]
        with trio.move_on_after(0.1):
            await others[1].acquire(ENDPOINT, wait_s=5)
        for permit in held:
            others[0].permits.release(permit, "ok", "i1")
        await trio.sleep(1)
        assert not owner.owners.owned[ENDPOINT].limiter.permits
        assert not owner.owners.owned[ENDPOINT].pending

    async def test_a_lost_notice_is_reconciled(self, deployment, autojump_clock):
        owner, others = await deployment.get_owner_and_others()
        held = await others[0].acquire(ENDPOINT)
        still_held = await others[0].acquire(ENDPOINT)
        others[0].permits.held.pop(held.permit)
        await trio.sleep(6)
        assert list(owner.owners.owned[ENDPOINT].limiter.permits) == [still_held.permit]

    async def test_an_unused_permit_expires(self, deployment, autojump_clock):
        _, others = await deployment.get_owner_and_others()
        held = await others[0].acquire(ENDPOINT)
        others[0].permits.check(held)
        await trio.sleep(PERMIT_TTL_S)
        with pytest.raises(PermitExpired):
            others[0].permits.check(held)


class TestTakeOver:
    async def test_a_session_that_gets_its_epoch_late_takes_over_its_endpoints(
        self, deployment, autojump_clock
    ):
        entry = EntryHost(deployment.cluster, "entry-9")
        entry.follower.catalogue.endpoints[ENDPOINT] = build_endpoint(name=ENDPOINT)
        session = EntrySession("entry-9", entry.url, "leith", epoch=7)
        entry.follower.catalogue.view = SessionView(7, (session,))
        entry.owners.update()
        assert ENDPOINT not in entry.owners.owned
        entry.session.set_epoch(7)
        assert ENDPOINT in entry.owners.owned

    async def test_the_next_owner_counts_permits_held_by_other_entries(
        self, deployment, autojump_clock
    ):
        owner, others = await deployment.get_owner_and_others()
        held = [await others[0].acquire(ENDPOINT) for _ in range(2)]
        owner.kill()
        await trio.sleep(2 * SESSION_LEASE_S)
        new_owner = await wait_owner(others, ENDPOINT)
        permits_of_new_owner = new_owner.owners.owned[ENDPOINT].limiter.permits
        assert {permit.permit for permit in held} <= set(permits_of_new_owner)
        permits, _ = await acquire_all(others)
        assert not permits

    async def test_a_take_over_after_a_join_counts_outstanding_permits(
        self, deployment, autojump_clock
    ):
        """The cold endpoint is at its limit while its owner changes four times."""
        holder = deployment.entries[0]
        owners = {(await deployment.get_owner()).name}
        for _ in range(2):
            await holder.acquire(ENDPOINT, wait_s=2, hold_s=1000.0)
        for name in iterate_successors(ENTRIES, 4):
            joined = EntryHost(deployment.cluster, name)
            deployment.entries.append(joined)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(joined.start)
                for _ in range(20):
                    permits, _ = await acquire_all(deployment.entries, tries=1)
                    assert not permits
                    await trio.sleep(0.02)
            owners.add((await deployment.get_owner()).name)
        assert len(owners) == 5

    async def test_a_partitioned_owner_stops_before_its_successor_starts(
        self, deployment, autojump_clock
    ):
        owner, others = await deployment.get_owner_and_others()
        network = deployment.cluster.network
        network.isolate(owner.url)
        last_grant = None
        with trio.fail_after(30):
            while find_owner(others, ENDPOINT) is None:
                try:
                    held = await owner.acquire(ENDPOINT, wait_s=0.05)
                    last_grant = trio.current_time()
                    owner.permits.release(held, "refused")
                except (Refusal, SessionExpired):
                    pass
                await trio.sleep(0.05)
        taken_over_at = trio.current_time()
        assert last_grant is not None and last_grant < taken_over_at
        with pytest.raises(SessionExpired):
            await owner.acquire(ENDPOINT)
        network.clear_cuts()
        with trio.fail_after(30):
            await owner.session.wait_valid()
        await wait_owner(deployment.entries, ENDPOINT)

    async def test_an_owner_resumed_after_its_lease_is_expired(
        self, deployment, autojump_clock
    ):
        owner, _ = await deployment.get_owner_and_others()
        owner.clock.offset_s += SESSION_LEASE_S
        with pytest.raises(SessionExpired):
            await owner.acquire(ENDPOINT)

    async def test_a_lease_ends_on_the_entry_no_later_than_on_the_leader(
        self, deployment, autojump_clock
    ):
        """The entry counts from sending the renewal, the leader from receiving it."""
        deployment.cluster.network.delay_s = 0.1
        leader = await deployment.cluster.wait_leader()
        sessions = deployment.cluster.hosts[leader.name].sessions
        for _ in range(200):
            await trio.sleep(0.05)
            now = trio.current_time()
            renewed_at = {
                session.entry: now - session.renewed_ago_s
                for session in sessions.list_sessions()
            }
            for entry in deployment.entries:
                lease_end = renewed_at[entry.name] + SESSION_LEASE_S
                assert entry.session.expires_at <= lease_end

    async def test_a_leader_change_does_not_expire_live_sessions(
        self, deployment, autojump_clock
    ):
        epochs = [entry.session.epoch for entry in deployment.entries]
        leader = await deployment.cluster.wait_leader()
        deployment.cluster.kill(leader.name)
        await trio.sleep(4 * SESSION_LEASE_S)
        assert [entry.session.epoch for entry in deployment.entries] == epochs
        assert all(entry.session.is_valid() for entry in deployment.entries)


class TestOutOfService:
    async def test_no_permit_after_the_bound(self, deployment, autojump_clock):
        await deployment.get_owner()
        await deployment.cluster.propose(SetDataCentre("leith", False))
        accepted_at = trio.current_time()
        last_grant = accepted_at
        while trio.current_time() < accepted_at + 2 * OUT_OF_SERVICE_BOUND_S:
            permits, _ = await acquire_all(deployment.entries, tries=1)
            if permits:
                last_grant = trio.current_time()
            for entry, held in permits:
                entry.permits.release(held, "refused")
            await trio.sleep(0.1)
        assert last_grant - accepted_at <= OUT_OF_SERVICE_BOUND_S

    async def test_a_change_is_in_force_or_the_entry_has_no_lease(
        self, deployment, autojump_clock
    ):
        """An entry that cannot follow the log loses its lease within the bound."""
        lagging = deployment.entries[0]
        network = deployment.cluster.network
        network.isolate(lagging.url)
        await deployment.cluster.propose(SetDataCentre("perth", False))
        await trio.sleep(MAX_PROPAGATION_DELAY_S)
        for entry in deployment.entries:
            follows = not entry.follower.catalogue.is_data_centre_in_service("perth")
            assert follows or not entry.session.is_valid()
        assert not lagging.session.is_valid()

    async def test_a_queued_request_is_refused_at_once_when_taken_out(
        self, deployment, autojump_clock
    ):
        _, others = await deployment.get_owner_and_others()
        for _ in range(2):
            await others[0].acquire(ENDPOINT)
        async with trio.open_nursery() as nursery:

            @nursery.start_soon
            async def take_out():
                await trio.sleep(0.1)
                await deployment.cluster.propose(SetDataCentre("leith", False))

            started_at = trio.current_time()
            with pytest.raises(EndpointOutOfService):
                await others[1].acquire(ENDPOINT, wait_s=5)
            assert trio.current_time() - started_at < 1

    async def test_an_entry_started_from_a_lagging_member_does_not_serve_stale_state(
        self, deployment, autojump_clock
    ):
        cluster = deployment.cluster
        leader = await cluster.wait_leader()
        lagging = next(
            member for member in cluster.get_members() if member is not leader
        )
        cluster.network.isolate(lagging.url)
        await cluster.propose(SetDataCentre("perth", False))
        fresh = EntryHost(cluster, "entry-8")
        urls = [lagging.url, *(u for u in fresh.follower.urls if u != lagging.url)]
        cluster.network.cut.discard((fresh.url, lagging.url))
        fresh.follower.urls = tuple(urls)
        await fresh.start()
        fresh.session.require_lease()
        assert not fresh.follower.catalogue.is_data_centre_in_service("perth")


class TestStateUnavailable:
    async def test_requests_are_refused_when_no_state_member_answers(
        self, deployment, autojump_clock
    ):
        for name in STATES:
            deployment.cluster.kill(name)
        await trio.sleep(2 * SESSION_LEASE_S)
        for entry in deployment.entries:
            with pytest.raises(MedlarError):
                await entry.acquire(ENDPOINT)
