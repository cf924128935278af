import orjson
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.platform.directory import MAX_ADDRESSES, PlatformDirectory
from medlarrail.relay.metadata import InboundRequest


@define
class FakeGateway:
    cluster_view: ClusterView = field(factory=ClusterView)


@define
class FakeExchange:
    """A caller's look-up, and what it was answered."""

    target: bytes
    host: str = "10.9.0.1"
    status: int = 0
    addresses: list[str] = field(factory=list)

    @property
    def request(self) -> InboundRequest:
        return InboundRequest(b"GET", self.target, "", (), b"", 0.0)

    def get_caller_host(self) -> str:
        return self.host

    async def send_whole(self, status, headers, body) -> None:
        self.status = status
        self.addresses = orjson.loads(body).get("addresses", [])


def build_directory(count: int) -> PlatformDirectory:
    gateway = FakeGateway()
    gateway.cluster_view.entries = tuple(
        RegisteredEntry(f"edge-{n}", f"10.0.0.{n}:80", ("leith", "tay")[n % 2])
        for n in range(count)
    )
    return PlatformDirectory(gateway)


async def resolve(directory: PlatformDirectory, zone: str, host: str) -> list[str]:
    target = f"/resolve?name=h.example&region=scot-east&zone={zone}".encode()
    exchange = FakeExchange(target, host)
    await directory.answer_resolve(exchange)
    assert exchange.status == 200
    return exchange.addresses


class TestResolve:
    async def test_gateways_beyond_the_limit_are_named_to_some_callers(self):
        """Guards against naming the first 64 gateways to everyone."""
        directory = build_directory(85)
        named = set()
        for n in range(30):
            addresses = await resolve(directory, ("leith", "tay")[n % 2], f"10.9.0.{n}")
            assert len(set(addresses)) == MAX_ADDRESSES
            named.update(addresses)
        assert len(named) == 85

    async def test_the_callers_data_centre_and_address_select(self):
        directory = build_directory(200)
        first = await resolve(directory, "leith", "10.9.0.1")
        assert await resolve(directory, "leith", "10.9.0.1") == first
        assert await resolve(directory, "tay", "10.9.0.1") != first
        local = [int(a.split(".")[3].split(":")[0]) % 2 == 0 for a in first]
        assert sum(local) == 48

    async def test_a_query_without_a_zone_is_answered(self):
        exchange = FakeExchange(b"/resolve")
        await build_directory(70).answer_resolve(exchange)
        assert len(exchange.addresses) == MAX_ADDRESSES

    async def test_no_gateway_and_other_paths(self):
        empty, other = FakeExchange(b"/resolve"), FakeExchange(b"/x")
        await build_directory(0).answer_resolve(empty)
        await build_directory(1).answer_resolve(other)
        assert (empty.status, other.status) == (503, 404)
