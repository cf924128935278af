"""Entries on an in-memory network, for tests of coordination."""

import trio
from attrs import define, field

from medlarrail.cluster.follower import Follower
from medlarrail.cluster.log_client import LogClient
from medlarrail.cluster.session import Session
from medlarrail.ownership.ownership import OwnedEndpoints
from medlarrail.ownership.permit_client import PermitClient
from medlarrail.ownership.permit_handlers import PermitHandlers
from medlarrail.protocol.permits import AcquireRequest
from medlarrail.serving.ledger import Ledger
from medlarrail.testing.cluster import Cluster
from medlarrail.transport.routes import Routes

WAIT_TIMEOUT_S = 30.0
POLL_S = 0.02


@define
class OffsetClock:
    """Trio's clock for one host, with an offset that tests can set."""

    offset_s: float = 0.0

    def __call__(self) -> float:
        return trio.current_time() + self.offset_s


@define(slots=False)
class EntryHost:
    """The coordination components of one entry, without its HTTP interface."""

    cluster: Cluster
    name: str
    data_centre: str = "leith"
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    clock: OffsetClock = field(factory=OffsetClock)
    nursery: trio.Nursery | None = None

    def __attrs_post_init__(self):
        self.url = f"mem://{self.name}"
        peers = self.cluster.network.connect(self.url)
        urls = tuple(member.url for member in self.cluster.get_members())
        self.state = LogClient(peers, urls)
        self.follower = Follower(peers, urls)
        self.session = Session(
            self.name,
            self.url,
            self.data_centre,
            self.state,
            self.follower,
            self.clock,
        )
        self.owners = OwnedEndpoints(self.session, self.follower, peers, self.clock)
        self.permits = PermitClient(
            self.session, self.follower, self.owners, peers, self.clock
        )
        self.ledger = Ledger(self.session, self.state)

    async def start(self) -> None:
        """Start the entry and wait until it has a lease."""
        await self.cluster.nursery.start(self._run)
        permit_handlers = PermitHandlers(self.owners, self.permits)
        self.cluster.network.hosts[self.url] = Routes.collect(permit_handlers)
        with trio.fail_after(WAIT_TIMEOUT_S):
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
        """Stop the entry abruptly."""
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
        """Acquire a permit for this entry."""
        return await self.permits.acquire(
            self.build_request(endpoint, wait_s, **changes)
        )


def find_owner(entries: list[EntryHost], endpoint: str) -> EntryHost | None:
    """Return the first entry that owns the endpoint, or None."""
    owners = [entry for entry in entries if endpoint in entry.owners.owned]
    return owners[0] if owners else None


async def wait_owner(
    entries: list[EntryHost], endpoint: str, settled: bool = True
) -> EntryHost:
    """Wait for an owner of the endpoint, by default for one that may grant permits."""
    with trio.fail_after(WAIT_TIMEOUT_S):
        while True:
            owner = find_owner(entries, endpoint)
            if owner is not None:
                owned = owner.owners.owned[endpoint]
                if not settled or owner.owners.is_settled(owned):
                    return owner
            await trio.sleep(POLL_S)
