"""Tests of the leading state member's load with many entries.

The state members take a fixed processor time for each call. Entries, endpoints and an
operator call the leader as they do in a deployment.
"""

import random
from contextlib import suppress

import pytest
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.cluster_view_server import SETTLE_S, ClusterViewServer
from medlarrail.cluster.crash_watch import CrashWatch
from medlarrail.cluster.state_client import StateClient
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.core.announcements import Announcement
from medlarrail.core.cluster_records import REQUEST_KEY_PREFIX
from medlarrail.core.errors import EndpointUnreachable, MedlarError
from medlarrail.protocol.cluster_view import ANNOUNCEMENTS_PATH
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.relay.crash_reporter import CrashReporter
from medlarrail.relay.metadata import PromptPart
from medlarrail.testing.builders import build_announcement, build_deployment
from medlarrail.testing.cluster import Cluster

MEMBERS = tuple("abcdefghi")
ENTRY_COUNT = 82
ENDPOINT_COUNT = 41
CRASHED_COUNT = 9
BEAT_INTERVAL_S = 1.3
CALL_PROCESSING_S = 0.0025
"""Processor time of one call at a state member with 0.645 of a core."""
OPERATOR_TIMEOUT_S = 1.0
"""Time after which an operator calls another member."""
RETRY_PAUSE_S = 0.1
MAX_ACKNOWLEDGEMENT_S = 4.0
"""Time within which an operator's change has to be acknowledged."""
MAX_STORM_ACKNOWLEDGEMENT_S = 1.0
"""The same in a storm of changes, however many entries there are."""
MAX_FIRST_ANSWER_S = 1.0
"""Time after which a started entry has to know the document, once there is a leader."""
MAX_VIEW_AGE_S = 3.0
"""Age from which on entries may have to refuse requests."""


class UnreachablePool:
    """Stands for the connections to endpoints that all accept none."""

    idle: dict = {}

    async def acquire(self, address: str, new_connection: bool = False):
        raise EndpointUnreachable(endpoint=address)


@define(eq=False)
class LoadedCluster:
    """State members, entries that poll them and endpoints that announce themselves."""

    cluster: Cluster
    nursery: trio.Nursery
    entry_count: int = ENTRY_COUNT
    view_servers: dict[str, ClusterViewServer] = field(factory=dict)
    views: list[ClusterView] = field(factory=list)
    reporters: list[CrashReporter] = field(factory=list)
    silent: set[str] = field(factory=set)
    """Endpoints that have crashed."""

    def connect(self, name: str) -> StateClient:
        peers = self.cluster.network.connect(f"mem://{name}")
        return StateClient(peers, tuple(map(self.cluster.get_url, MEMBERS)))

    async def start(self) -> None:
        await self.cluster.bootstrap(*MEMBERS)
        for name, host in self.cluster.hosts.items():
            view_server = ClusterViewServer(host.member, clock=trio.current_time)
            self.view_servers[name] = view_server
            watch = CrashWatch(view_server, wall_clock=trio.current_time)
            for handlers in (view_server, watch):
                self.cluster.network.hosts[host.member.url].add(handlers)
                self.nursery.start_soon(handlers.run)
            self.cluster.network.processing_s[host.member.url] = CALL_PROCESSING_S
        for number in range(self.entry_count):
            await self.start_entry(f"entry-{number}")
            await trio.sleep(0.01)
        for number in range(ENDPOINT_COUNT):
            self.nursery.start_soon(self.announce, f"engine-{number}")
        await trio.sleep(SETTLE_S + 2)

    async def start_entry(self, name: str) -> None:
        view = ClusterView(trio.current_time)
        client = ClusterViewClient(
            view, self.connect(name), name, f"{name}:80", "leith", ready=True
        )
        reporter = CrashReporter(view, UnreachablePool(), name, self.connect(name))
        self.nursery.start_soon(client.run)
        await self.nursery.start(reporter.run)
        self.views.append(view)
        self.reporters.append(reporter)

    def build_announcement(self, name: str, sequence: int = 1) -> Announcement:
        return build_announcement(name=name, address=f"{name}:1", sequence=sequence)

    async def announce(self, name: str) -> None:
        state = self.connect(name)
        await trio.sleep(random.Random(name).uniform(0, BEAT_INTERVAL_S))
        sequence = 0
        while name not in self.silent:
            sequence += 1
            message = self.build_announcement(name, sequence)
            with suppress(MedlarError):
                await state.call_leader(ANNOUNCEMENTS_PATH, message, EmptyMessage, 1.0)
            await trio.sleep(BEAT_INTERVAL_S)

    async def crash_endpoints(self, rounds: int) -> None:
        """Let every entry lose requests at endpoints that crash, over some seconds."""
        self.silent.update(f"engine-{number}" for number in range(CRASHED_COUNT))
        for round_number in range(rounds):
            for number, reporter in enumerate(self.reporters):
                for name in sorted(self.silent):
                    key = f"{REQUEST_KEY_PREFIX}{number}-{round_number}-{name}"
                    reporter.record_broken(
                        self.build_announcement(name), "m", [PromptPart(key, 1)]
                    )
            await trio.sleep(1.0)

    async def replace_deployment(self, version: int) -> float:
        """Send a document as an operator does; returns the seconds until it is in."""
        began_at = trio.current_time()
        while True:
            leader = await self.cluster.wait_leader()
            try:
                with trio.move_on_after(OPERATOR_TIMEOUT_S):
                    await self.cluster.network.process(leader.url)
                    document = build_deployment(version=version)
                    await self.view_servers[leader.name].replace_deployment(document)
                    return trio.current_time() - began_at
            except MedlarError:
                await trio.sleep(RETRY_PAUSE_S)


@pytest.fixture
async def loaded(tmp_path, nursery, autojump_clock):
    loaded = LoadedCluster(Cluster(tmp_path, nursery), nursery)
    await loaded.start()
    return loaded


class TestManyEntries:
    async def test_crashed_endpoints_keep_the_leader_from_answering(
        self, loaded, autojump_clock
    ):
        """Nine endpoints fell silent. Reports of crashes and answers to polls took all
        of the leader's time; calls that had timed out were made again, on top."""
        leader = await loaded.cluster.wait_leader()
        loaded.nursery.start_soon(loaded.crash_endpoints, 10)
        waits = []
        ages = []
        for version in range(1, 8):
            await trio.sleep(2)
            waits.append(await loaded.replace_deployment(version))
            ages.append(max(view.get_age_s() for view in loaded.views))
        assert max(waits) < MAX_ACKNOWLEDGEMENT_S, waits
        assert max(ages) < MAX_VIEW_AGE_S, ages
        assert await loaded.cluster.wait_leader() is leader


class TestHundredsOfEntries:
    @pytest.fixture(params=[191, 390])
    async def loaded(self, request, tmp_path, nursery, autojump_clock):
        loaded = LoadedCluster(Cluster(tmp_path, nursery), nursery, request.param)
        await loaded.start()
        return loaded

    async def test_entries_wait_seconds_for_the_document_after_a_power_loss(
        self, loaded, autojump_clock
    ):
        """All entries started at the same time, and the leader answered them one after
        another: the last ones had waited for so long that they called again."""
        await loaded.replace_deployment(1)
        loaded.views.clear()
        for number in range(loaded.entry_count):
            await loaded.start_entry(f"started-{number}")
        began_at = trio.current_time()
        while any(view.deployment is None for view in loaded.views):
            await trio.sleep(0.05)
        assert trio.current_time() - began_at < MAX_FIRST_ANSWER_S

    async def test_storm_of_changes_delays_acknowledgements_by_the_entries(
        self, loaded, autojump_clock
    ):
        """Each change woke the calls of all entries at the leader, and the next change
        waited behind them. One member stands still."""
        leader = await loaded.cluster.wait_leader()
        followers = [name for name in MEMBERS if name != leader.name]
        loaded.cluster.network.isolate(loaded.cluster.get_url(followers[0]))
        waits = [await loaded.replace_deployment(version) for version in range(1, 16)]
        assert max(waits) < MAX_STORM_ACKNOWLEDGEMENT_S, waits
        await trio.sleep(MAX_VIEW_AGE_S)
        assert {view.get_version() for view in loaded.views} == {15}
        assert max(view.get_age_s() for view in loaded.views) < MAX_VIEW_AGE_S
        assert await loaded.cluster.wait_leader() is leader
