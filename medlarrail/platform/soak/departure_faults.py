"""Faults during the departure of an endpoint, which entries then learn of late."""

import signal

import trio

from medlarrail.platform.soak.engine import TROUBLE_PATH
from medlarrail.platform.soak.faults import (
    RESTART_S,
    SETTLING_S,
    Faults,
    register_action,
)
from medlarrail.platform.soak.site import POLL_S, RunningProgram, Site
from medlarrail.platform.soak.wire import call, fetch

LINGER_S = 7.0
"""Time for which the endpoint goes on: longer than gateways may need to know of its
departure after the fault."""
POLL_ENDS_S = 1.5
"""Time after which a call that a suspended gateway has open was answered."""
ACKNOWLEDGED_S = (0.2, 0.6)
"""Range of the time from the departure to the loss of the leader."""
FROZEN_LEADER_SHARE = 0.3
FROZEN_LEADER_S = 4.0
"""Time for which a leader is suspended instead: another one is elected."""


async def find_leader(site: Site) -> RunningProgram | None:
    """Return the state member that takes an operator's calls itself."""
    for state in site.states:
        if state.process.poll() is None:
            answer = await fetch("GET", f"{state.url}/config", None)
            if answer is not None and answer[0].status == 200:
                return state
    return None


@register_action()
async def freeze_over_departure(faults: Faults) -> None:
    """Suspend a gateway while an endpoint leaves and the leader is lost that
    acknowledged it."""
    site = faults.site
    with (
        faults.claim(site.gateways) as gateway,
        faults.claim(site.engines) as engine,
    ):
        leader = await find_leader(site)
        is_calm = not any(state.name in site.busy for state in site.states)
        if gateway is None or engine is None or leader is None or not is_calm:
            return
        with faults.claim([leader], keep=0):
            linger_ms = int(LINGER_S * 1000)
            await call("GET", f"{engine.url}{TROUBLE_PATH}linger/{linger_ms}")
            async with trio.open_nursery() as nursery:
                with faults.disturb(gateway):
                    site.signal(gateway, signal.SIGSTOP)
                    await trio.sleep(POLL_ENDS_S)
                    nursery.start_soon(site.stop, engine)
                    await trio.sleep(faults.random.uniform(*ACKNOWLEDGED_S))
                    nursery.start_soon(lose_leader, faults, leader)
                    await trio.sleep(POLL_S)
                    site.signal(gateway, signal.SIGCONT)


async def lose_leader(faults: Faults, leader: RunningProgram) -> None:
    """Kill the leader and start it again later, or suspend it."""
    site = faults.site
    if faults.random.random() < FROZEN_LEADER_SHARE:
        with faults.disturb(leader):
            site.signal(leader, signal.SIGSTOP)
        await trio.sleep(FROZEN_LEADER_S)
        with faults.disturb(leader):
            site.signal(leader, signal.SIGCONT)
            await trio.sleep(SETTLING_S)
        return
    with faults.disturb(leader):
        site.kill(leader)
    await trio.sleep(LINGER_S + faults.random.uniform(*RESTART_S))
    site.restart_state(leader)
