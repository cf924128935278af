"""An in-memory network for tests of coordination under a mock clock.

It passes the same encoded messages as HTTP to the same handlers, and can cut single
directions, delay calls and lose calls, all from one random seed.
"""

from random import Random

import trio
from attrs import define, field

from medlarrail.core.codec import decode, encode
from medlarrail.core.errors import PeerTimeout, PeerUnreachable
from medlarrail.transport.client import RawAnswer
from medlarrail.transport.routes import Request, Routes


@define
class FakeNetwork:
    """Hosts by URL, and the simulated faults between them."""

    random: Random
    delay_s: float = 0.002
    hosts: dict[str, Routes] = field(factory=dict)
    cut: set[tuple[str, str]] = field(factory=set)
    loss_rate: float = 0.0
    """Fraction of the calls that are lost, half of them after they were handled."""
    calls: int = 0
    """Number of calls so far."""
    processing_s: dict[str, float] = field(factory=dict)
    """Processor time that a host spends on each call that it receives or makes, one
    after another and also if the caller has given up; hosts not listed spend none."""
    _busy_until: dict[str, float] = field(factory=dict)

    def connect(self, url: str) -> "FakePeerClient":
        """Return a client with which the host at ``url`` calls its peers."""
        return FakePeerClient(self, url)

    def isolate(self, url: str) -> None:
        """Cut ``url`` off from every other host, in both directions."""
        for other in self.hosts:
            if other != url:
                self.cut.update({(url, other), (other, url)})

    def clear_cuts(self) -> None:
        """Remove every cut."""
        self.cut.clear()

    async def process(self, url: str) -> None:
        """Wait until the host at ``url`` has spent its processor time on a call."""
        cost_s = self.processing_s.get(url, 0.0)
        if not cost_s:
            return
        begin = max(trio.current_time(), self._busy_until.get(url, 0.0))
        self._busy_until[url] = begin + cost_s
        await trio.sleep_until(begin + cost_s)

    async def deliver(self, source: str, target: str, request: Request):
        """Deliver a request and return its answer; hangs if the call is cut or lost."""
        self.calls += 1
        await self.process(source)
        await trio.sleep(self.random.uniform(0, 2 * self.delay_s))
        lost = self.random.random() < self.loss_rate
        if (source, target) in self.cut or (lost and self.random.random() < 0.5):
            await trio.sleep_forever()
        if target not in self.hosts:
            raise PeerUnreachable(url=target)
        await self.process(target)
        answer = await self.hosts[target].answer(request)
        await trio.sleep(self.random.uniform(0, 2 * self.delay_s))
        if (target, source) in self.cut or lost:
            await trio.sleep_forever()
        return answer


@define
class FakePeerClient:
    """Calls over a ``FakeNetwork``; the same interface as ``HttpClient``."""

    network: FakeNetwork
    url: str

    async def call(self, url, path, message, answer_type, timeout_s, second_try=True):
        """Send ``message`` and return the typed answer, or raise its error."""
        request = Request("POST", path, body=encode(message))
        with trio.move_on_after(timeout_s):
            reply = await self.network.deliver(self.url, url, request)
            RawAnswer(reply.status, {}, reply.body).raise_for_error(url)
            return decode(reply.body, answer_type)
        raise PeerTimeout(url=url)
