"""Faults of endpoints that go on living, and of what comes after them."""

import signal

import trio

from medlarrail.platform.soak.engine import TROUBLE_PATH
from medlarrail.platform.soak.faults import FREEZE_S, Faults, register_action
from medlarrail.platform.soak.wire import call

KILL_SHARE = 0.3
"""Share of the suspended endpoints that are killed, half of which start in place."""

REUSE_AFTER_S = (2.0, 3.0)
"""Time from the end of an endpoint until one of another service has its address."""


@register_action(weight=2)
async def freeze_engine(faults: Faults) -> None:
    """Suspend an endpoint for a while; some are killed meanwhile."""
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        with faults.disturb(engine):
            faults.site.signal(engine, signal.SIGSTOP)
            await trio.sleep(faults.random.uniform(*FREEZE_S))
            if faults.random.random() >= KILL_SHARE:
                faults.site.signal(engine, signal.SIGCONT)
                return
            faults.site.kill(engine)
            in_place = faults.random.random() < 0.5
            await faults.start_engine(engine, engine if in_place else None)


@register_action()
async def mute_engine(faults: Faults) -> None:
    """Let an endpoint accept requests without an answer for a while."""
    await _trouble(faults, "mute")


@register_action()
async def slow_engine(faults: Faults) -> None:
    """Let an endpoint make long pauses between events for a while."""
    await _trouble(faults, "slow")


@register_action()
async def reuse_address(faults: Faults) -> None:
    """Kill an endpoint, and start one of another service at its address later."""
    site = faults.site
    with faults.claim(site.engines) as engine:
        if engine is None:
            return
        others = [one for one in site.engines if one.service != engine.service]
        with faults.claim(others) as other:
            if other is None:
                return
            site.kill(engine)
            await faults.start_engine(engine)
            await trio.sleep(faults.random.uniform(*REUSE_AFTER_S))
            await faults.start_engine(other, at=engine)
            await site.stop(other)


async def _trouble(faults: Faults, kind: str) -> None:
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        duration_s = faults.random.uniform(*FREEZE_S)
        faults.site.note(f"{engine.name} {kind} for {duration_s:.1f} s")
        with faults.disturb(engine):
            path = f"{TROUBLE_PATH}{kind}/{int(duration_s * 1000)}"
            await call("GET", engine.url + path)
            await trio.sleep(duration_s)
