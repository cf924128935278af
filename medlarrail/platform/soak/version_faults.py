"""Faults of endpoints that start again in place with other software.

Until such a process announces itself, gateways know only the software before it.
"""

import trio

from medlarrail.platform.soak.faults import RESTART_S, Faults, register_action
from medlarrail.platform.soak.site import RunningProgram

SOFTWARE = ("v1", "v2")
"""Software versions that an endpoint changes between."""
CRASH_AFTER_S = (0.1, 1.0)
"""Time from the first answer of a process until it is killed."""
GATEWAY_KILL_AFTER_S = (0.1, 0.8)
"""Time from the first answer of a process until a gateway is killed."""
BACK_AFTER_S = (1.5, 3.0)
"""Time after which an endpoint gets the software that it had before."""


def choose_other(engine: RunningProgram) -> str:
    """Return the software version that an endpoint does not have."""
    return SOFTWARE[1] if engine.version == SOFTWARE[0] else SOFTWARE[0]


async def restart(
    faults: Faults, engine: RunningProgram, version: str
) -> RunningProgram:
    """Kill an endpoint, and start it in place with a software version."""
    faults.site.kill(engine)
    await trio.sleep(faults.random.uniform(*RESTART_S))
    return await faults.start_engine(engine, engine, version=version)


@register_action(weight=2)
async def crash_other_version(faults: Faults) -> None:
    """Start an endpoint in place with other software, kill it soon, and start it with
    the software before."""
    with faults.claim(faults.site.engines) as engine:
        if engine is None:
            return
        other = await restart(faults, engine, choose_other(engine))
        await trio.sleep(faults.random.uniform(*CRASH_AFTER_S))
        await restart(faults, other, engine.version)


@register_action()
async def kill_gateway_of_other_version(faults: Faults) -> None:
    """Start an endpoint in place with other software, and kill a gateway soon.

    The endpoint gets its software back later, so that one version is in service for
    most of the time.
    """
    with (
        faults.claim(faults.site.gateways) as gateway,
        faults.claim(faults.site.engines) as engine,
    ):
        if gateway is None or engine is None:
            return
        other = await restart(faults, engine, choose_other(engine))
        await trio.sleep(faults.random.uniform(*GATEWAY_KILL_AFTER_S))
        with faults.disturb(gateway):
            faults.site.kill(gateway)
            await faults.restart_gateway(gateway)
        await trio.sleep(faults.random.uniform(*BACK_AFTER_S))
        await restart(faults, other, engine.version)


@register_action()
async def restart_random_version(faults: Faults) -> None:
    """Start an endpoint in place with a version drawn from those that are known."""
    with faults.claim(faults.site.engines) as engine:
        if engine is not None:
            await restart(faults, engine, faults.random.choice(SOFTWARE))
