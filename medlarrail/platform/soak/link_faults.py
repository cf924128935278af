"""Faults of the links between the gateways and an endpoint."""

from contextlib import contextmanager

import trio

from medlarrail.platform.soak.faults import FREEZE_S, Faults, register_action
from medlarrail.platform.soak.site import RunningProgram
from medlarrail.testing.fault_proxy import TO_CALLER, TO_TARGET

DELAY_S = (0.05, 0.4)
STALLED_DIRECTIONS = ((TO_TARGET,), (TO_CALLER,), (TO_TARGET, TO_CALLER))
RESET_SHARE = 0.7
"""Share of the open connections that the reset of a link breaks."""


@register_action(weight=2)
async def stall_link(faults: Faults) -> None:
    """Hold back what passes a link, one way or both, for a while."""
    with faults.claim(faults.site.engines) as engine:
        if engine is not None:
            with stall(faults, engine):
                await trio.sleep(faults.random.uniform(*FREEZE_S))


@register_action()
async def restart_behind_stall(faults: Faults) -> None:
    """Start an endpoint again in place while what passes its link is held back."""
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        with stall(faults, engine):
            faults.site.kill(engine)
            engine = await faults.start_engine(engine, engine)
            with stall(faults, engine):
                await trio.sleep(faults.random.uniform(*FREEZE_S))


@contextmanager
def stall(faults: Faults, engine: RunningProgram):
    """Hold back what passes the link of an endpoint, one way or both."""
    directions = faults.random.choice(STALLED_DIRECTIONS)
    faults.site.note(f"link of {engine.name} stalled {' and '.join(directions)}")
    with faults.disturb(engine):
        engine.link.stall(directions)
        yield
        engine.link.resume()
    faults.site.note(f"link of {engine.name} resumed")


@register_action()
async def delay_link(faults: Faults) -> None:
    """Delay what passes a link for a while."""
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        engine.link.delay_s = faults.random.uniform(*DELAY_S)
        delay_ms = round(engine.link.delay_s * 1000)
        faults.site.note(f"link of {engine.name} delayed by {delay_ms} ms")
        with faults.disturb(engine):
            await trio.sleep(faults.random.uniform(*FREEZE_S))
            engine.link.delay_s = 0.0


@register_action(weight=2)
async def reset_link(faults: Faults) -> None:
    """Reset most of the connections of a link."""
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        with faults.disturb(engine):
            connections = list(engine.link.connections)
            chosen = [
                one for one in connections if faults.random.random() < RESET_SHARE
            ]
            faults.site.note(f"{len(chosen)} connections of {engine.name} reset")
            for connection in chosen:
                connection.reset()
