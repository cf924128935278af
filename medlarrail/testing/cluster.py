"""Clusters of state members on an in-memory network."""

import random
from pathlib import Path

import trio
from attrs import define, field

from medlarrail.cluster.session_manager import SessionManager
from medlarrail.cluster.state_handlers import StateHandlers
from medlarrail.consensus.bootstrap import bootstrap_cluster
from medlarrail.consensus.membership import MembershipManager
from medlarrail.consensus.replication import LogMember
from medlarrail.core.errors import MedlarError, NotFound
from medlarrail.serving.ledger import LedgerReader
from medlarrail.state.folder import DataFolder
from medlarrail.state.journal import open_journal, run_inline
from medlarrail.state.operations import Envelope, Operation, Outcome
from medlarrail.testing.network import FakeNetwork
from medlarrail.transport.routes import Routes

RETRY_PAUSE_S = 0.2
WAIT_TIMEOUT_S = 30.0


@define
class Host:
    """A running member and the cancel scope that stops it."""

    member: LogMember
    sessions: SessionManager
    scope: trio.CancelScope


@define
class Cluster:
    """A cluster of members with their data in folders below ``path``."""

    path: Path
    nursery: trio.Nursery
    seed: int = 1
    quota_bytes: int = 0
    snapshot_interval_entries: int = 2000
    seeds: tuple[str, ...] = ()
    """Names of the seed members given to each member; if there are any, the members
    bootstrap the cluster and manage its membership themselves."""
    first_start: bool = False
    build_random: type[random.Random] = random.Random
    """Type of the members' random numbers."""
    network: FakeNetwork = field(init=False)
    hosts: dict[str, Host] = field(factory=dict)

    def __attrs_post_init__(self):
        self.network = FakeNetwork(random.Random(self.seed))

    def get_url(self, name: str) -> str:
        """Return the URL of a member."""
        return f"mem://{name}"

    async def start(self, name: str, startup_s: float = 0.0) -> LogMember:
        """Start a member with the data in its folder.

        Its process has been starting for ``startup_s`` seconds.
        """
        folder = DataFolder(self.path / name, self.quota_bytes, synced=False)
        member = LogMember(
            name=name,
            url=self.get_url(name),
            journal=open_journal(folder, run_inline),
            peers=self.network.connect(self.get_url(name)),
            random=self.build_random(f"{self.seed}-{name}-{len(self.network.hosts)}"),
            clock=trio.current_time,
            wall_clock=trio.current_time,
            snapshot_interval_entries=self.snapshot_interval_entries,
            started_at=trio.current_time() - startup_s,
        )
        scope = trio.CancelScope()
        sessions = SessionManager(member)
        seeds = tuple(self.get_url(name) for name in self.seeds)
        membership = MembershipManager(member, seeds, self.first_start)
        tasks = [sessions.run, membership.run] if seeds else [sessions.run]
        await self.nursery.start(self._run, member, tasks, scope)
        state_handlers = StateHandlers(member, sessions)
        routes = Routes.collect(
            member, sessions, state_handlers, membership, LedgerReader(member)
        )
        self.network.hosts[member.url] = routes
        self.hosts[name] = Host(member, sessions, scope)
        return member

    async def _run(self, member, tasks, scope, task_status):
        with scope:
            async with trio.open_nursery() as nursery:
                for run in tasks:
                    nursery.start_soon(run)
                await member.run(task_status=task_status)

    async def bootstrap(self, *names: str) -> None:
        """Start members and bootstrap a cluster of them."""
        for name in names:
            await self.start(name)
        urls = tuple(self.get_url(name) for name in names)
        await bootstrap_cluster(self.network.connect("mem://operator"), urls)

    def kill(self, name: str) -> None:
        """Stop a member abruptly; its folder is kept."""
        host = self.hosts.pop(name)
        host.scope.cancel()
        self.network.hosts.pop(host.member.url)

    def get_members(self) -> list[LogMember]:
        """Return the running members."""
        return [host.member for host in self.hosts.values()]

    def find_leader(self) -> LogMember | None:
        """Return the member that holds the leader lease, or None."""
        leaders = [member for member in self.get_members() if member.has_lease()]
        return leaders[0] if leaders else None

    async def wait_leader(self) -> LogMember:
        """Return the leader once there is one."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            while (leader := self.find_leader()) is None:
                await trio.sleep(RETRY_PAUSE_S / 4)
            return leader

    async def propose(
        self, operation: Operation, command_id: str = "", seen: int = -1
    ) -> Outcome:
        """Propose an operation to the leader, with retries until it is committed."""
        envelope = Envelope(operation, command_id, seen)
        with trio.fail_after(WAIT_TIMEOUT_S):
            while True:
                leader = await self.wait_leader()
                try:
                    return await leader.propose(envelope)
                except NotFound:
                    raise
                except MedlarError as error:
                    if error.status == 409:
                        raise
                    await trio.sleep(RETRY_PAUSE_S)

    async def wait_all_applied(self) -> None:
        """Return once all running cluster members have applied the committed log."""
        leader = await self.wait_leader()
        with trio.fail_after(WAIT_TIMEOUT_S):
            while any(
                member.catalogue.index < leader.commit_index
                for member in self.get_members()
                if leader.find_member(member.identity) is not None
            ):
                await trio.sleep(RETRY_PAUSE_S)
