"""Faults of the links between an endpoint and the state members.

The gateways reach the endpoint all the time.
"""

import time
from contextlib import contextmanager

import trio

from medlarrail.platform.soak.engine import HEARTBEAT_S
from medlarrail.platform.soak.faults import SETTLING_S, Faults, register_action
from medlarrail.platform.soak.site import POLL_S, Disturbance, RunningProgram
from medlarrail.platform.soak.version_faults import (
    CRASH_AFTER_S,
    SOFTWARE,
    choose_other,
    restart,
)
from medlarrail.testing.fault_proxy import TO_TARGET, FaultProxy

CUT_S = (2.0, 6.0)
OTHER_VERSION_SHARE = 0.8
"""Share of the endpoints behind a cut that get other software."""
SECOND_CRASH_SHARE = 0.5
"""Share of them that crash again, and get the software before."""
LOST_SHARE = 0.5
"""Share of the heartbeats behind a cut that are lost; the others arrive at its end."""
HEARTBEAT_DELAY_S = (0.5, 2.5)


@contextmanager
def hold(faults: Faults, engine: RunningProgram):
    """Hold back what an endpoint sends to the state members.

    Endpoints that are started in its place meanwhile count as disturbed, too.
    """
    links, since = engine.control_links, time.monotonic()
    for link in links:
        link.stall((TO_TARGET,))
    faults.site.note(f"heartbeats of {engine.name} held back")
    try:
        yield links
    finally:
        for link in links:
            link.resume()
        faults.site.note(f"heartbeats of {engine.name} released")
        until = time.monotonic() + SETTLING_S
        faults.site.disturbances += [
            Disturbance(one.record, since, until)
            for one in (*faults.site.engines, *faults.site.ended_engines)
            if one.name == engine.name
        ]


def lose(faults: Faults, links: list[FaultProxy], share: float) -> None:
    """Lose a share of what is held back on links."""
    for link in links:
        for connection in list(link.connections):
            if faults.random.random() < share:
                connection.reset()


@register_action(weight=2)
async def restart_behind_cut(faults: Faults) -> None:
    """Start an endpoint in place, mostly with other software, behind a cut from the
    state members; some crash there once more and get the software before."""
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        draw = faults.random.random
        until = trio.current_time() + faults.random.uniform(*CUT_S)
        with hold(faults, engine) as links:
            await trio.sleep(faults.random.uniform(0, HEARTBEAT_S))
            is_other = draw() < OTHER_VERSION_SHARE
            version = choose_other(engine) if is_other else engine.version
            other = await restart(faults, engine, version)
            if draw() < SECOND_CRASH_SHARE:
                await trio.sleep(faults.random.uniform(*CRASH_AFTER_S))
                await restart(faults, other, engine.version)
            await trio.sleep_until(until)
            lose(faults, links, LOST_SHARE)


@register_action()
async def delay_heartbeat_over_restart(faults: Faults) -> None:
    """Let a heartbeat arrive when the next one has started in its sender's place."""
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        delay_s = faults.random.uniform(*HEARTBEAT_DELAY_S)
        with hold(faults, engine) as links:
            with trio.move_on_after(2 * HEARTBEAT_S):
                while not any(link.connections for link in links):
                    await trio.sleep(POLL_S)
            until = trio.current_time() + delay_s
            # The heartbeats of the next process must not wait for that of this one.
            engine.control_links = faults.site.add_control_links()
            await restart(faults, engine, faults.random.choice(SOFTWARE))
            await trio.sleep_until(until)
