"""Draws faults from a seed and plays them on the processes of a soak."""

import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from random import Random

import orjson
import trio
from attrs import define

from medlarrail.platform.soak.site import (
    KEYS,
    START_TIMEOUT_S,
    Disturbance,
    RunningProgram,
    Site,
)

PAUSE_S = (0.2, 2.0)
"""Range of the pause between two faults of one series."""
FREEZE_S = (0.2, 2.5)
RESTART_S = (0.0, 0.5)
SETTLING_S = 0.5
"""Time after a disturbance in which a gateway still counts as disturbed."""
RELEASE_SHARE = 0.4
"""Part of the run after which the release begins."""
RECONFIGURE_LIMIT_S = 10.0
ISOLATED_S = 5.0
"""Shortest time for which the same accounts are isolated: longer than a gateway may
need to know of them."""
CONFIGURATION = "configuration"
"""Stands among the names of busy processes while the configuration is changed."""
INVALID_SHARE = 0.3
"""Share of the reloads of settings that are no JSON."""
Action = Callable[["Faults"], Awaitable[None]]
ACTIONS: dict[str, Action] = {}
"""The faults that a series draws from, by name."""
WEIGHTS: dict[str, int] = {}


def register_action(weight: int = 1) -> Callable[[Action], Action]:
    """Add a fault that is drawn in proportion to its weight."""

    def register(action: Action) -> Action:
        ACTIONS[action.__name__] = action
        WEIGHTS[action.__name__] = weight
        return action

    return register


@define(eq=False)
class Faults:
    """One series of faults; several overlap."""

    site: Site
    random: Random
    only: tuple[str, ...] = ()
    """Names of the only faults that are played, if there are any."""
    left_out: tuple[str, ...] = ()
    """Names of faults that are not played."""

    @contextmanager
    def claim(self, programs: list[RunningProgram], keep: int = 1):
        """Choose a process that no other fault uses; None if ``keep`` would be left."""
        free = [one for one in programs if one.name not in self.site.busy]
        program = self.random.choice(free) if len(free) > keep else None
        if program is None:
            yield None
            return
        self.site.busy.add(program.name)
        try:
            yield program
        finally:
            self.site.busy.discard(program.name)

    @contextmanager
    def disturb(self, program: RunningProgram):
        """Record that a process, or the link of one, is disturbed."""
        disturbance = Disturbance(program.record, time.monotonic())
        self.site.disturbances.append(disturbance)
        yield
        disturbance.until = time.monotonic() + SETTLING_S

    async def play_steadily(self) -> None:
        """Play one fault after the other until cancelled."""
        names = [name for name in self.only or ACTIONS if name not in self.left_out]
        weights = [WEIGHTS[name] for name in names]
        while True:
            await trio.sleep(self.random.uniform(*PAUSE_S))
            (name,) = self.random.choices(names, weights)
            self.site.fault_counts[name] += 1
            await ACTIONS[name](self)

    @register_action(weight=2)
    async def replace_engine(self) -> None:
        """Kill an endpoint and start another one."""
        with self.claim(self.site.engines) as engine:
            if engine is not None:
                self.site.kill(engine)
                await self.start_engine(engine)

    @register_action()
    async def restart_engine(self) -> None:
        """Kill an endpoint and start it with the same name at the same address."""
        with self.claim(self.site.engines) as engine:
            if engine is not None:
                self.site.kill(engine)
                await trio.sleep(self.random.uniform(*RESTART_S))
                await self.start_engine(engine, engine)

    @register_action()
    async def drain_engine(self) -> None:
        """Start another endpoint and let one leave."""
        with self.claim(self.site.engines) as engine:
            if engine is not None:
                await self.start_engine(engine)
                await self.site.stop(engine)

    async def start_engine(
        self,
        replaced: RunningProgram,
        like: RunningProgram | None = None,
        at: RunningProgram | None = None,
        version: str = "",
    ) -> RunningProgram:
        """Start an endpoint in place of another one, and return it once it answers.

        For ``like`` and ``at`` see ``Site.add_engine``.
        """
        service = replaced.service
        version = version or self.site.software_version or replaced.version
        engine = self.site.add_engine(service, version, like, at)
        self.site.note(f"{engine.name} started: {service}, {engine.version}")
        with trio.move_on_after(START_TIMEOUT_S):
            await self.site.wait_engine(engine)
        return engine

    @register_action()
    async def kill_gateway(self) -> None:
        """Kill a gateway and start it again."""
        with self.claim(self.site.gateways) as gateway:
            if gateway is not None:
                with self.disturb(gateway):
                    self.site.kill(gateway)
                    await self.restart_gateway(gateway)

    @register_action()
    async def stop_gateway(self) -> None:
        """Stop a gateway with SIGTERM and start it again."""
        with self.claim(self.site.gateways) as gateway:
            if gateway is not None:
                with self.disturb(gateway):
                    await self.site.stop(gateway)
                    await self.restart_gateway(gateway)

    async def restart_gateway(self, gateway: RunningProgram) -> None:
        """Start a gateway that has ended, and return once it accepts requests."""
        await trio.sleep(self.random.uniform(*RESTART_S))
        self.site.start(gateway)
        with trio.move_on_after(START_TIMEOUT_S) as scope:
            await self.site.wait_ready(gateway)
        self.site.note(
            f"{gateway.name} {'late' if scope.cancelled_caught else 'ready'}"
        )

    @register_action()
    async def freeze_gateway(self) -> None:
        """Suspend a gateway for a while."""
        with self.claim(self.site.gateways) as gateway:
            if gateway is not None:
                with self.disturb(gateway):
                    self.site.signal(gateway, signal.SIGSTOP)
                    await trio.sleep(self.random.uniform(*FREEZE_S))
                    self.site.signal(gateway, signal.SIGCONT)

    @register_action()
    async def reload_gateway(self) -> None:
        """Let a gateway read its settings again, some of them invalid ones."""
        # Nothing may be cut by it, so the gateway does not count as disturbed.
        with self.claim(self.site.gateways, keep=0) as gateway:
            if gateway is None:
                return
            settings = orjson.loads(gateway.settings_file.read_bytes())
            self.random.shuffle(settings["state_urls"])
            data = orjson.dumps(settings)
            is_valid = self.random.random() >= INVALID_SHARE
            gateway.settings_file.write_bytes(data if is_valid else data[:-1])
            self.site.signal(gateway, signal.SIGHUP)
            await trio.sleep(SETTLING_S)
            gateway.settings_file.write_bytes(data)

    @register_action()
    async def freeze_over_restart(self) -> None:
        """Suspend a gateway until an endpoint has started again at its address."""
        with (
            self.claim(self.site.gateways) as gateway,
            self.claim(self.site.engines) as engine,
        ):
            if gateway is None or engine is None:
                return
            with self.disturb(gateway):
                self.site.signal(gateway, signal.SIGSTOP)
                self.site.kill(engine)
                with trio.move_on_after(FREEZE_S[1]):
                    await self.start_engine(engine, engine)
                self.site.signal(gateway, signal.SIGCONT)

    @register_action()
    async def kill_state(self) -> None:
        """Kill a state member and start it with its own disk."""
        await self._kill_state(FREEZE_S)

    @register_action()
    async def kill_states_in_series(self) -> None:
        """Kill one state member soon after the other."""
        for _ in range(len(self.site.states)):
            await self._kill_state(RESTART_S)

    async def _kill_state(self, pause_s: tuple[float, float]) -> None:
        with self.claim(self.site.states, keep=2) as state:
            if state is not None:
                with self.disturb(state):
                    self.site.kill(state)
                    await trio.sleep(self.random.uniform(*RESTART_S))
                    self.site.restart_state(state)
                await trio.sleep(self.random.uniform(*pause_s))

    @register_action()
    async def change_configuration(self) -> None:
        """Send a configuration with another number of routes and isolated accounts."""
        if CONFIGURATION in self.site.busy:
            return
        self.site.busy.add(CONFIGURATION)
        try:
            await self._change_configuration()
        finally:
            self.site.busy.discard(CONFIGURATION)

    async def _change_configuration(self) -> None:
        self.site.config_version += 1
        version = self.site.config_version
        routes = self.random.randrange(4)
        last = self.site.isolations[-1]
        isolated = last.names
        if time.monotonic() - last.sent_at > ISOLATED_S:
            isolated = frozenset(name for name in KEYS if self.random.random() < 0.5)
        with trio.move_on_after(RECONFIGURE_LIMIT_S):
            while not await self.site.change_isolation(isolated, routes):
                await trio.sleep(SETTLING_S)
            self.site.note(f"configuration {version} acknowledged")
            return
        self.site.note(f"configuration {version} not acknowledged")

    async def release(self, duration_s: float) -> None:
        """Replace the endpoints by those of the next version, one after the other."""
        await trio.sleep(duration_s * RELEASE_SHARE)
        self.site.note("release of v2")
        self.site.software_version = "v2"
        while True:
            old = [one for one in self.site.engines if one.version == "v1"]
            with self.claim(old, keep=0) as engine:
                if engine is None:
                    if not old:
                        return
                else:
                    await self.start_engine(engine)
                    await self.site.stop(engine)
            await trio.sleep(self.random.uniform(*PAUSE_S))
