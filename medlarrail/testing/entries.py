"""Builds entries on an in-memory network, for tests of coordination."""

import trio
from attrs import define, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.session import Session
from medlarrail.cluster.state_client import StateClient
from medlarrail.ownership.ownership import OwnerTable
from medlarrail.ownership.permit_client import PermitClient
from medlarrail.ownership.permit_desk import PermitDesk
from medlarrail.protocol.permits import AcquireRequest
from medlarrail.serving.ledger import Ledger
from medlarrail.testing.cluster import Cluster
from medlarrail.transport.routes import Routes

PATIENCE_S = 30.0
POLL_S = 0.02


@define
class PausableClock:
    """Trio's clock for one host, which tests can put ahead."""

    ahead_s: float = 0.0

    def __call__(self) -> float:
        return trio.current_time() + self.ahead_s


@define(slots=False)
class EntryHost:
    """The coordination of one entry, without its HTTP front."""

    cluster: Cluster
    name: str
    data_centre: str = "leith"
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    clock: PausableClock = field(factory=PausableClock)
    nursery: trio.Nursery | None = None

    def __attrs_post_init__(self):
        self.url = f"mem://{self.name}"
        peers = self.cluster.network.connect(self.url)
        urls = tuple(one.url for one in self.cluster.get_members())
        self.state = StateClient(peers, urls)
        self.follower = Follower(peers, urls)
        self.session = Session(
            self.name,
            self.url,
            self.data_centre,
            self.state,
            self.follower,
            self.clock,
        )
        self.owners = OwnerTable(self.session, self.follower, peers, self.clock)
        self.permits = PermitClient(
            self.session, self.follower, self.owners, peers, self.clock
        )
        self.ledger = Ledger(self.session, self.state)

    async def start(self) -> None:
        """Start the entry and wait for its lease."""
        await self.cluster.nursery.start(self._run)
        desk = PermitDesk(self.owners, self.permits)
        self.cluster.network.hosts[self.url] = Routes.collect(desk)
        with trio.fail_after(PATIENCE_S):
            await self.session.wait_valid()

    async def _run(self, task_status) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self.ledger.nursery = nursery
                for run in (
                    self.follower.run,
                    self.session.run,
                    self.owners.run,
                    self.permits.run,
                ):
                    nursery.start_soon(run)
                task_status.started()

    def kill(self) -> None:
        """End the entry at once."""
        self.scope.cancel()
        self.cluster.network.hosts.pop(self.url, None)

    def build_request(self, endpoint: str, wait_s: float = 0.5, **changes):
        """Return a request for a permit."""
        fields = {
            "permit": self.permits.make_permit_id(),
            "endpoint": endpoint,
            "entry": self.name,
            "epoch": self.session.epoch,
            "account": "lea-college",
            "weight": 1.0,
            "wait_s": wait_s,
            "hold_s": 30.0,
            **changes,
        }
        return AcquireRequest(**fields)

    async def acquire(self, endpoint: str, wait_s: float = 0.5, **changes):
        """Return a permit held by this entry."""
        return await self.permits.acquire(
            self.build_request(endpoint, wait_s, **changes)
        )


def find_owner(entries: list[EntryHost], endpoint: str) -> EntryHost | None:
    """Return the entry that owns an endpoint and knows it."""
    owners = [one for one in entries if endpoint in one.owners.owned]
    return owners[0] if owners else None


async def wait_owner(
    entries: list[EntryHost], endpoint: str, settled: bool = True
) -> EntryHost:
    """Return the owner of an endpoint once it has one that may grant."""
    with trio.fail_after(PATIENCE_S):
        while True:
            owner = find_owner(entries, endpoint)
            if owner is not None:
                owned = owner.owners.owned[endpoint]
                if not settled or owner.owners.may_grant(owned):
                    return owner
            await trio.sleep(POLL_S)
