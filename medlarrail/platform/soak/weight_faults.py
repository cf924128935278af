"""Faults while new weights are loaded, and of endpoints that return with old ones."""

import signal

import trio

from medlarrail.platform.soak.check import WEIGHTS_LIMIT_S
from medlarrail.platform.soak.faults import Faults, register_action
from medlarrail.platform.soak.site import MODEL_SERVICES, RunningProgram

NAME_LIMIT_S = 5.0
NAME_PAUSE_S = 0.1
DOWN_S = (WEIGHTS_LIMIT_S + 0.5, WEIGHTS_LIMIT_S + 2.0)
"""Range of the time for which an endpoint is down: it returns with weights on which no
request may begin."""
FREEZE_SHARE = 0.5
"""Share of the gateways that are suspended over the naming; the others are started
again after it."""
HEAR_LATE_S = (4.0, 7.0)
"""Range of the time after the naming at which a gateway hears of it."""


@register_action()
async def name_weights_over_restart(faults: Faults) -> None:
    """Name weights while an endpoint is down, and let a gateway hear of it late."""
    site = faults.site
    engines = [one for one in site.engines if one.service in MODEL_SERVICES]
    with (
        faults.claim(engines) as engine,
        faults.claim(site.gateways) as gateway,
    ):
        if engine is None or gateway is None:
            return
        site.kill(engine)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(name_weights, faults)
            nursery.start_soon(hear_late, faults, gateway)
            await trio.sleep(faults.random.uniform(*DOWN_S))
            await faults.start_engine(engine, engine)


async def name_weights(faults: Faults) -> None:
    """Name the next weights, again until that is acknowledged."""
    with trio.move_on_after(NAME_LIMIT_S):
        while not await faults.site.name_weights():
            await trio.sleep(NAME_PAUSE_S)
    faults.site.note(f"weights {faults.site.weights_version} named")


async def hear_late(faults: Faults, gateway: RunningProgram) -> None:
    """Suspend a gateway for some seconds, or start it again after them."""
    site = faults.site
    late_s = faults.random.uniform(*HEAR_LATE_S)
    with faults.disturb(gateway):
        if faults.random.random() < FREEZE_SHARE:
            site.signal(gateway, signal.SIGSTOP)
            await trio.sleep(late_s)
            site.signal(gateway, signal.SIGCONT)
            return
        await trio.sleep(late_s)
        site.kill(gateway)
        await faults.restart_gateway(gateway)
