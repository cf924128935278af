"""Learns how fast the engines of a service prefill prompts.

Handles engines of unknown speed: 48 to 157 prompt tokens per ms on the deployments so
far. With one constant for all of them, each wait, refusal and Retry-After for fast
engines is several times too long, so long prompts wait while engines idle.

Each answer to a long prompt is a sample: the tokens that were read until the first
event, and the time that it took. A sample is too slow if the engine had a queue that
the entry did not know, and too fast if the engine still had a part of the prompt in
memory. Samples are therefore of two kinds. A point was sent to an engine without a
known backlog and read whole; a high quantile of the points is the speed. All others
are lower bounds, which can raise the estimate and never reduce it. So a burst, in which
every prompt queues, leaves the estimate as it was.
"""

from collections import deque
from collections.abc import Collection, Iterable
from typing import Literal

from attrs import define, field, frozen

from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS

MIN_SAMPLES = 5
"""Samples from which a speed is used. An entry gets one or a few a second, over all
engines."""
MAX_ENGINE_SAMPLES = 6
"""Samples kept for each engine and kind."""
MAX_ENGINE_WEIGHT = 2.0
"""Weight of all points of one engine in the speed of its service, so that one engine
with false answers does not decide."""
POINT_QUANTILE = 0.6
"""Above the median, since a queue that is not known only makes answers slower."""
BOUND_QUANTILE = 0.7
SAMPLE_HALF_LIFE_S = 60.0
"""Age at which a sample counts half."""
SPEED_TTL_S = 600.0
"""Age up to which a speed is used without further samples."""
UNCERTAIN_WEIGHT = 0.25
"""Weight of a point of which the engine may have had a part in memory."""
MIN_SAMPLE_TOKENS = 2048
"""Tokens from which the time to the first event is mostly prefill."""
MAX_BACKLOG_RATIO = 0.1
"""Backlog up to which a prompt did not queue, relative to its own tokens."""
MIN_TOKENS_PER_MS = 20.0
MAX_TOKENS_PER_MS = 400.0
"""Bounds on what is believed."""
MAX_ENGINE_RATIO = 4.0
"""Maximum ratio between the speeds of an engine and of its service."""

SampleKind = Literal["point", "uncertain", "bound"]


@frozen
class FirstEvent:
    """The start of an engine's answer to a long prompt.

    ``unread`` are the tokens that were not fetched from a store, ``own`` those of them
    that no other request shares, and ``backlog`` the tokens known to await prefill when
    the prompt was sent. ``saves_parts`` tells that the engine was asked to save the
    shared parts: they were nowhere, so it had to read them.
    """

    engine: str
    started_ms: int
    weight_version: int
    unread: int
    own: int
    backlog: float
    fetched: int
    saves_parts: bool
    first_ms: float


@frozen
class PrefillSample:
    """One answer's evidence of the speed, in tokens per ms."""

    kind: SampleKind
    tokens_per_ms: float
    at: float

    def get_weight(self, now: float) -> float:
        """Return the weight in a quantile: less with age."""
        weight = UNCERTAIN_WEIGHT if self.kind == "uncertain" else 1.0
        return weight * 0.5 ** ((now - self.at) / SAMPLE_HALF_LIFE_S)


def build_sample(event: FirstEvent, now: float) -> PrefillSample | None:
    """Return the sample of an answer, or None if it shows nothing about the speed.

    >>> event = FirstEvent("e1", 1, 1, 17_000, 4_200, 0, 0, True, 340.0)
    >>> build_sample(event, 0.0)
    PrefillSample(kind='point', tokens_per_ms=50.0, at=0.0)
    """
    if event.unread < MIN_SAMPLE_TOKENS or event.first_ms <= 0:
        return None
    is_whole = event.saves_parts or event.own >= event.unread
    has_queued = event.backlog > MAX_BACKLOG_RATIO * event.unread
    # The time of a fetch is not known, so it can only have been shorter without.
    if event.fetched or has_queued:
        tokens = event.unread if is_whole else min(event.own, event.unread)
        return PrefillSample("bound", tokens / event.first_ms, now)
    kind: SampleKind = "point" if is_whole else "uncertain"
    return PrefillSample(kind, event.unread / event.first_ms, now)


def get_quantile(pairs: Iterable[tuple[float, float]], quantile: float) -> float:
    """Return a quantile of ``(value, weight)`` pairs, of which there is at least one.

    >>> get_quantile([(1.0, 1.0), (2.0, 1.0), (9.0, 0.1)], 0.6)
    2.0
    """
    ranked = sorted(pairs)
    left = quantile * sum(weight for _, weight in ranked)
    for value, weight in ranked:
        left -= weight
        if left <= 0:
            return value
    return ranked[-1][0]


def _build_window() -> deque[PrefillSample]:
    return deque(maxlen=MAX_ENGINE_SAMPLES)


@define
class EngineSamples:
    """The samples of one incarnation and weight version of an engine."""

    started_ms: int
    weight_version: int
    points: deque[PrefillSample] = field(factory=_build_window)
    bounds: deque[PrefillSample] = field(factory=_build_window)

    def iterate_weighted(
        self, samples: Collection[PrefillSample], now: float
    ) -> Iterable[tuple[float, float]]:
        """Yield values with weights that add up to at most ``MAX_ENGINE_WEIGHT``."""
        factor = min(1.0, MAX_ENGINE_WEIGHT / max(1, len(samples)))
        for sample in samples:
            yield sample.tokens_per_ms, factor * sample.get_weight(now)


@frozen
class LearnedSpeed:
    """A speed in tokens per ms, and when the latest sample changed it."""

    tokens_per_ms: float
    at: float

    def is_current(self, now: float) -> bool:
        """Return whether the speed may still be used."""
        return now - self.at <= SPEED_TTL_S


@define
class PrefillSpeeds:
    """The speeds of a service's engines, as learned from answers to one entry.

    A speed stays in use without further samples for ``SPEED_TTL_S``, also after its
    engines have started again or changed their weights: the next five answers replace
    it.
    """

    _engines: dict[str, EngineSamples] = field(factory=dict)
    _engine_speeds: dict[str, LearnedSpeed] = field(factory=dict)
    _service_speed: LearnedSpeed | None = None

    def record(self, event: FirstEvent, now: float) -> SampleKind | None:
        """Record an answer; returns the kind of its sample, None if it was ignored."""
        samples = self._get_samples(event)
        sample = build_sample(event, now)
        if samples is None or sample is None:
            return None
        window = samples.bounds if sample.kind == "bound" else samples.points
        window.append(sample)
        self._update_service(now)
        self._update_engine(event.engine, samples, now)
        return sample.kind

    def _get_samples(self, event: FirstEvent) -> EngineSamples | None:
        """Return the engine's samples, None if it has started again since the send."""
        samples = self._engines.get(event.engine)
        if samples is not None:
            if event.started_ms < samples.started_ms:
                return None
            key = (samples.started_ms, samples.weight_version)
            if key == (event.started_ms, event.weight_version):
                return samples
            self._engine_speeds.pop(event.engine, None)
        samples = EngineSamples(event.started_ms, event.weight_version)
        self._engines[event.engine] = samples
        return samples

    def _update_service(self, now: float) -> None:
        points: list[tuple[float, float]] = []
        bounds: list[tuple[float, float]] = []
        for samples in self._engines.values():
            points.extend(samples.iterate_weighted(samples.points, now))
            bounds.extend(samples.iterate_weighted(samples.bounds, now))
        previous = self._get_service_speed(now)
        learned = None
        if len(points) >= MIN_SAMPLES:
            learned = get_quantile(points, POINT_QUANTILE)
        if len(bounds) >= MIN_SAMPLES:
            bound = get_quantile(bounds, BOUND_QUANTILE)
            if bound > (previous if learned is None else learned):
                learned = bound
        if learned is not None:
            self._service_speed = LearnedSpeed(_limit(learned), now)

    def _update_engine(self, engine: str, samples: EngineSamples, now: float) -> None:
        if len(samples.points) < MIN_SAMPLES:
            return
        points = samples.iterate_weighted(samples.points, now)
        service = self._get_service_speed(now)
        speed = get_quantile(points, POINT_QUANTILE)
        speed = min(service * MAX_ENGINE_RATIO, max(service / MAX_ENGINE_RATIO, speed))
        self._engine_speeds[engine] = LearnedSpeed(_limit(speed), now)

    def _get_service_speed(self, now: float) -> float:
        learned = self._service_speed
        if learned is None or not learned.is_current(now):
            return PREFILL_TOKENS_PER_MS
        return learned.tokens_per_ms

    def get_tokens_per_ms(self, now: float, engine: str = "") -> float:
        """Return the speed of an engine, or of its service if too little is known."""
        learned = self._engine_speeds.get(engine)
        if learned is not None and now - learned.at <= SAMPLE_HALF_LIFE_S:
            return learned.tokens_per_ms
        return self._get_service_speed(now)

    def drop_departed(self, present: Collection[str]) -> None:
        """Drop the samples of engines that are not ``present``."""
        for name in [name for name in self._engines if name not in present]:
            del self._engines[name]
            self._engine_speeds.pop(name, None)


def _limit(tokens_per_ms: float) -> float:
    return min(MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, tokens_per_ms))
