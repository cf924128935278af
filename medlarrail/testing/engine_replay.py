"""Replays load on engines and services that gateways place requests at.

A few lines stand for an engine: it prefills one prompt at a time, in chunks between the
steps of running requests, within its memory. Gateways know the workload of an engine
with a delay. Times are in seconds.
"""

import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count

from attrs import define, field, frozen

from medlarrail.core.moving_average import update_mean
from medlarrail.policy.placement import Candidate
from medlarrail.policy.prompt_turns import PromptTurns, WaitingPrompt
from medlarrail.policy.workload import (
    DISPATCH_MARGIN_MS,
    DispatchAction,
    EngineWorkload,
    Prompt,
    TimeBudget,
    choose_by_workload,
    choose_candidates,
)

REPORT_TTL_S = 1.0
CHUNK_TOKENS = 2048
REPORT_DELAY_S = 0.008
POLL_INTERVAL_S = 0.04
LOOKUP_INTERVAL_S = 0.1
"""Time until a waiting prompt knows the workload of other engines."""


@frozen
class EngineLoad:
    """A deployment's engines for long prompts, and the load on them."""

    engines: int
    tokens_per_ms: float
    step_ms: float
    memory_tokens: int
    rate: float
    gateways: int
    target_ms: float
    left_ms: float
    output_tokens: int
    prompt_tokens: int = 17_060
    worth: float = 1.0
    late_worth: float = 0.0
    burst: float = 2.6
    burst_at: tuple[float, float] = (4.0, 10.0)
    away_at: tuple[float, float] = (2.0, 14.0)
    end_at: float = 20.0


@define(eq=False)
class ReplayedPrompt:
    """A prompt on its way; ``began_at`` is the time of its caller's first try."""

    began_at: float
    gateway: int
    context: str
    number: int
    received_at: float
    tries: int = 1
    asked_at: float = float("-inf")
    unread: int = 0
    left: int = 0
    waiting: WaitingPrompt | None = None


@define(eq=False)
class ReplayedEngine:
    """An engine and what gateways know of it."""

    name: str
    load: EngineLoad
    queue: deque[ReplayedPrompt] = field(factory=deque)
    running: list[ReplayedPrompt] = field(factory=list)
    is_busy: bool = False
    is_away: bool = False
    known_unread: int = 0
    known_held: int = 0
    _changes: deque[tuple[float, int, int]] = field(factory=deque)

    def note(self, now: float, unread: int, held: int) -> None:
        """Report a change, which is known after the delay."""
        self._changes.append((now + REPORT_DELAY_S, unread, held))

    def get_workload(self, now: float, tokens_per_ms: float) -> EngineWorkload:
        """Return what gateways know."""
        while self._changes and self._changes[0][0] <= now:
            _, unread, held = self._changes.popleft()
            self.known_unread += unread
            self.known_held += held
        return EngineWorkload(
            self.name,
            self.known_unread,
            self.known_held,
            self.load.memory_tokens,
            tokens_per_ms=tokens_per_ms,
        )

    def step(self) -> tuple[float, list[ReplayedPrompt], list[ReplayedPrompt]]:
        """Run one step; returns its length, and the prompts read and ended by it."""
        held = len(self.running) * self.load.prompt_tokens
        ended = []
        for prompt in self.running:
            prompt.left -= 1
            if not prompt.left:
                ended.append(prompt)
        self.running = [prompt for prompt in self.running if prompt.left]
        read, chunk = [], 0
        if self.queue and held + self.load.prompt_tokens <= self.load.memory_tokens:
            prompt = self.queue[0]
            chunk = min(CHUNK_TOKENS, prompt.unread)
            prompt.unread -= chunk
            if not prompt.unread:
                self.running.append(self.queue.popleft())
                read.append(prompt)
        length_ms = self.load.step_ms + chunk / self.load.tokens_per_ms
        return length_ms / 1000, read, ended


@frozen
class Decision:
    """What a gateway does with a prompt; ``retry_after_s`` belongs to a refusal."""

    action: DispatchAction
    retry_after_s: float = 0.0


Rule = Callable[[EngineWorkload, Prompt, TimeBudget, float, int, str], Decision]
"""Gets the expected wait of a late prompt in ms, 0 if it is unknown, the number of
gateways and a draw."""


@define
class EngineReplay:
    """One run of a load under a rule; ``outcomes`` counts prompts by their end.

    Prompts that wait look for an engine in turns if ``in_turns`` is set, otherwise each
    on its own.
    """

    load: EngineLoad
    rule: Rule
    known_tokens_per_ms: float
    in_turns: bool = True
    seed: int = 1
    outcomes: Counter[str] = field(factory=Counter)
    refusals: int = 0
    engines: dict[str, ReplayedEngine] = field(factory=dict)
    turns: dict[int, PromptTurns] = field(factory=dict)
    _events: list = field(factory=list)
    _number: count = field(factory=count)

    def run(self) -> "EngineReplay":
        """Run until every prompt has its outcome."""
        load, rng = self.load, random.Random(self.seed)
        self.engines = {
            f"e{number}": ReplayedEngine(f"e{number}", load)
            for number in range(load.engines)
        }
        away = rng.sample(sorted(self.engines), load.engines // 4)
        now = 0.0
        while now < load.end_at:
            in_burst = load.burst_at[0] <= now < load.burst_at[1]
            now += rng.expovariate(load.rate * (load.burst if in_burst else 1.0))
            number = next(self._number)
            prompt = ReplayedPrompt(
                now,
                rng.randrange(load.gateways),
                f"part-{rng.randrange(400)}",
                number,
                now,
            )
            self._push(now, self._decide, prompt)
        for at, is_away in zip(load.away_at, (True, False), strict=True):
            self._push(at, self._set_away, away, is_away)
        while self._events:
            now, _, act, args = heappop(self._events)
            act(now, *args)
        return self

    def _push(self, at: float, act: Callable, *args) -> None:
        heappush(self._events, (at, next(self._number), act, args))

    def _set_away(self, now: float, names: Sequence[str], is_away: bool) -> None:
        """Engines take no further prompts, or come back."""
        for name in names:
            self.engines[name].is_away = is_away

    def _may_look(self, now: float, prompt: ReplayedPrompt) -> bool:
        if now - prompt.asked_at < LOOKUP_INTERVAL_S:
            return False
        if not self.in_turns or prompt.waiting is None:
            return True
        return self.turns[prompt.gateway].has_turn(prompt.waiting, now)

    def _decide(self, now: float, prompt: ReplayedPrompt) -> None:
        if not self._may_look(now, prompt):
            self._push(now + POLL_INTERVAL_S, self._decide, prompt)
            return
        prompt.asked_at = now
        load = self.load
        turns = self.turns.setdefault(prompt.gateway, PromptTurns())
        elapsed_ms = 1000 * (now - prompt.received_at)
        budget = TimeBudget(
            load.target_ms - elapsed_ms, load.left_ms - elapsed_ms, load.target_ms
        )
        names = [name for name, engine in self.engines.items() if not engine.is_away]
        draw = f"{self.seed}-{prompt.number}-{now}"
        workloads = [
            self.engines[name].get_workload(now, self.known_tokens_per_ms)
            for name in choose_candidates(names, prompt.context, draw)
        ]
        size = Prompt(load.prompt_tokens, load.prompt_tokens)
        best = choose_by_workload(workloads, size, prompt.context)
        wait_s = turns.get_wait_s(now, prompt.received_at)
        wait_ms = 1000 * wait_s if wait_s is not None and self.in_turns else 0.0
        decision = self.rule(best, size, budget, wait_ms, load.gateways, draw)
        if self.in_turns and prompt.waiting and decision.action != "wait":
            turns.leave(prompt.waiting, now, decision.action == "send")
            prompt.waiting = None
        if decision.action == "wait":
            if self.in_turns and prompt.waiting is None:
                own_ms = load.prompt_tokens / self.known_tokens_per_ms
                prompt.waiting = turns.join(
                    now,
                    prompt.received_at,
                    now + (budget.target_left_ms - own_ms) / 1000,
                    now + (budget.left_ms - own_ms - DISPATCH_MARGIN_MS) / 1000,
                )
            if prompt.waiting:
                prompt.waiting.looks += 1
            self._push(now + POLL_INTERVAL_S, self._decide, prompt)
        elif decision.action == "refuse":
            self._refuse(now, prompt, decision.retry_after_s)
        else:
            self._send(now, prompt, self.engines[best.name])

    def _refuse(self, now: float, prompt: ReplayedPrompt, retry_after_s: float) -> None:
        """The caller comes back once, in whole seconds, if it has the time."""
        self.refusals += 1
        prompt.tries += 1
        prompt.received_at = now + max(1.0, float(round(retry_after_s + 0.5)))
        prompt.asked_at = float("-inf")
        if prompt.tries > 2:
            self.outcomes["refused"] += 1
        else:
            self._push(prompt.received_at, self._decide, prompt)

    def _send(self, now: float, prompt: ReplayedPrompt, engine: ReplayedEngine) -> None:
        tokens = self.load.prompt_tokens
        prompt.unread, prompt.left = tokens, self.load.output_tokens
        engine.queue.append(prompt)
        engine.note(now, tokens, tokens)
        if not engine.is_busy:
            engine.is_busy = True
            self._push(now, self._step, engine)

    def _step(self, now: float, engine: ReplayedEngine) -> None:
        if not engine.queue and not engine.running:
            engine.is_busy = False
            return
        length_s, read, ended = engine.step()
        for prompt in read:
            engine.note(now + length_s, -self.load.prompt_tokens, 0)
            self._count_answer(now + length_s, prompt)
        for _ in ended:
            engine.note(now + length_s, 0, -self.load.prompt_tokens)
        self._push(now + length_s, self._step, engine)

    def _count_answer(self, now: float, prompt: ReplayedPrompt) -> None:
        if 1000 * (now - prompt.received_at) > self.load.left_ms:
            self.outcomes["failed"] += 1
        elif 1000 * (now - prompt.began_at) <= self.load.target_ms:
            self.outcomes["in time"] += 1
        else:
            self.outcomes["late"] += 1

    def get_shares(self) -> dict[str, float]:
        """Return the share of the prompts by outcome."""
        total = sum(self.outcomes.values())
        return {name: count / total for name, count in self.outcomes.items()}

    def get_worth(self) -> float:
        """Return the mean worth, relative to all prompts in time."""
        shares = self.get_shares()
        late = self.load.late_worth / self.load.worth
        return shares.get("in time", 0.0) + late * shares.get("late", 0.0)


PET_FOOD = EngineLoad(
    35, 50.7, 5.95, 82_075, 40.3, 63, 1563, 10_422, 24, worth=4.2, late_worth=1.2
)
"""45 engines, of which 0.78 serve long prompts."""
ROSTERS = EngineLoad(
    28, 157, 3.55, 109_780, 142, 27, 526, 6317, 12, worth=5.5, late_worth=1.1
)
"""36 engines, of which 0.78 serve long prompts."""
SMALL = EngineLoad(
    7, 56.6, 5.0, 79_000, 8.0, 7, 1000, 5000, 24, worth=3.0, late_worth=1.0
)
"""A small deployment of 9 engines, of which 0.78 serve long prompts."""


@frozen
class EndpointLoad:
    """A service's endpoints, and the load on them; ``slowness`` is one of each."""

    slowness: tuple[float, ...]
    slots: int
    work_ms: float
    rate: float
    gateways: int
    target_ms: float
    burst: float = 1.0
    away: int = 0
    """Endpoints that are away from 3 s to 6 s."""
    contexts: int = 0
    """Shared parts of prompts, 0 for plain requests."""
    batch_factor: float = 0.0
    """How much longer a request takes in a full batch than alone."""


@define(eq=False)
class EndpointView:
    """What one gateway knows of an endpoint."""

    in_flight: int = 0
    reported: float | None = None
    reported_at: float = float("-inf")
    answer_s: float = 0.0
    sent_at: list[float] = field(factory=list)


@define(eq=False)
class ReplayedEndpoint:
    """An endpoint that runs requests in its slots, in order."""

    slowness: float
    running: int = 0
    queue: deque = field(factory=deque)


Chooser = Callable[[list[Candidate], dict[str, EndpointView], float, int, str], str]


@define
class PlacementReplay:
    """One run of 10 s, with a burst from 4 s to 7 s; ``times`` are in seconds."""

    load: EndpointLoad
    choose: Chooser
    seed: int = 1
    times: list[float] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
    _events: list = field(factory=list)
    _number: count = field(factory=count)
    _endpoints: dict[str, ReplayedEndpoint] = field(factory=dict)
    _views: dict[tuple[int, str], EndpointView] = field(factory=dict)

    def run(self) -> "PlacementReplay":
        """Run until every request is answered."""
        load, rng = self.load, random.Random(self.seed)
        for number, slowness in enumerate(load.slowness):
            self._endpoints[f"e{number}"] = ReplayedEndpoint(slowness)
        now = 0.0
        while now < 10.0:
            in_burst = 4.0 <= now < 7.0
            now += rng.expovariate(load.rate * (load.burst if in_burst else 1.0))
            context = f"part-{rng.randrange(max(1, load.contexts))}"
            self._push(now, self._place, rng.randrange(load.gateways), context)
        while self._events:
            now, _, act, args = heappop(self._events)
            act(now, *args)
        self.times.sort()
        return self

    def _push(self, at: float, act: Callable, *args) -> None:
        heappush(self._events, (at, next(self._number), act, args))

    def _place(self, now: float, gateway: int, context: str) -> None:
        names = list(self._endpoints)
        if 3.0 <= now < 6.0:
            names = names[self.load.away :]
        views = {
            name: self._views.setdefault((gateway, name), EndpointView())
            for name in names
        }
        known = [view.answer_s for view in views.values() if view.answer_s]
        candidates = [
            Candidate(
                name,
                view.in_flight,
                view.reported if now - view.reported_at < REPORT_TTL_S else None,
                self.load.slots,
                relative_latency=max(1.0, view.answer_s / min(known, default=1.0)),
            )
            for name, view in views.items()
        ]
        name = self.choose(candidates, views, now, self.load.gateways, context)
        self.counts[name] += 1
        views[name].in_flight += 1
        endpoint = self._endpoints[name]
        request = (now, views[name], endpoint)
        if endpoint.running < self.load.slots:
            self._start(now, request)
        else:
            endpoint.queue.append(request)

    def _start(self, now: float, request: tuple) -> None:
        endpoint = request[2]
        batch = 1.0 + self.load.batch_factor * endpoint.running / self.load.slots
        endpoint.running += 1
        work_s = self.load.work_ms / 1000 * endpoint.slowness * batch
        self._push(now + work_s, self._answer, request)

    def _answer(self, now: float, request: tuple) -> None:
        sent_at, view, endpoint = request
        endpoint.running -= 1
        if endpoint.queue:
            self._start(now, endpoint.queue.popleft())
        seconds = now - sent_at
        view.in_flight -= 1
        view.reported = float(endpoint.running + len(endpoint.queue))
        view.reported_at = now
        view.answer_s = update_mean(view.answer_s or seconds, seconds)
        self.times.append(seconds)

    def get_late_share(self) -> float:
        """Return the share of the requests beyond the latency target."""
        target_s = self.load.target_ms / 1000
        return sum(seconds > target_s for seconds in self.times) / len(self.times)
