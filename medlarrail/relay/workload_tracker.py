"""Tracks the pending workload of this entry and its peers at each engine.

Each report contains an entry's full state, so a lost or delayed report is superseded
by the next, and an older report never replaces a newer one.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from attrs import define, field, frozen

from medlarrail.core.clock import Clock, get_boottime, get_wall_time

REPORT_TTL_S = 1.5
"""Lifetime of an entry's report: three times the interval between reports."""


@frozen
class EngineTokens:
    """Prompt tokens at one engine: awaiting prefill (``unread``), and in memory."""

    engine: str
    unread: int = 0
    held: int = 0


@frozen
class WorkloadReport:
    """Workload of one entry at all engines.

    ``started_ms`` is the Unix time of the entry's start in milliseconds, and
    ``sequence`` increases with each of its reports.
    """

    entry: str
    started_ms: int
    sequence: int
    engines: tuple[EngineTokens, ...] = ()

    @property
    def sequence_key(self) -> tuple[int, int]:
        """Sort key for the reports of one entry, newer reports being greater."""
        return (self.started_ms, self.sequence)


@define(eq=False)
class TrackedPrompt:
    """A prompt that this entry has sent to an engine and that has not ended.

    ``backlog`` are the tokens that were known to await prefill there when it was sent.
    """

    engine: str
    unread: int
    held: int
    backlog: float = 0.0
    report: "ReadReport | None" = None  # noqa: F821
    """Tells what becomes of the shared part that is read with the prompt."""


@define
class ReceivedReport:
    """A peer's report and its time of receipt."""

    report: WorkloadReport
    received_at: float


@define(eq=False)
class WorkloadTracker:
    """This entry's prompts, and the latest reports of its peers."""

    entry: str
    clock: Clock = get_boottime
    started_ms: int = field(factory=lambda: int(get_wall_time() * 1000))
    on_change: list[Callable[[], None]] = field(factory=list)
    _prompts: set[TrackedPrompt] = field(factory=set)
    _reports: dict[str, ReceivedReport] = field(factory=dict)
    _sequence: int = 0

    def begin(
        self, engine: str, unread: int, held: int, backlog: float = 0.0
    ) -> TrackedPrompt:
        """Record a prompt that is sent to ``engine``."""
        prompt = TrackedPrompt(engine, unread, held, backlog)
        self._prompts.add(prompt)
        self._notify()
        return prompt

    def record_prefilled(self, prompt: TrackedPrompt) -> None:
        """Record the end of a prompt's prefill: its answer has started."""
        if prompt.report is not None:
            prompt.report.record_read()
        if prompt.unread:
            prompt.unread = 0
            self._notify()

    def end(self, prompt: TrackedPrompt) -> None:
        """Remove a finished prompt."""
        if prompt.report is not None:
            prompt.report.record_end()
        self._prompts.discard(prompt)
        self._notify()

    def _notify(self) -> None:
        for notify in self.on_change:
            notify()

    def store_report(self, report: WorkloadReport) -> None:
        """Store a peer's report, unless a newer one has been received."""
        previous = self._reports.get(report.entry)
        is_outdated = (
            previous is not None and previous.report.sequence_key >= report.sequence_key
        )
        if report.entry != self.entry and not is_outdated:
            self._reports[report.entry] = ReceivedReport(report, self.clock())

    def build_report(self, engines: Iterable[EngineTokens]) -> WorkloadReport:
        """Return this entry's next report, of its workload at some ``engines``."""
        self._sequence += 1
        return WorkloadReport(
            self.entry, self.started_ms, self._sequence, tuple(engines)
        )

    def drop_expired(self) -> None:
        """Drop expired reports."""
        now = self.clock()
        self._reports = {
            name: received
            for name, received in self._reports.items()
            if now - received.received_at <= REPORT_TTL_S
        }

    def list_live_peers(self) -> frozenset[str]:
        """Return the entries whose reports have not expired."""
        self.drop_expired()
        return frozenset(self._reports)

    def sum_engines(self, group_size: int) -> dict[str, EngineTokens]:
        """Return the workload of a group of entries at each engine.

        Entries of the group without a current report are assumed to have the average
        workload of the others.
        """
        self.drop_expired()
        totals = self._sum(chain(self._iterate_own(), self._iterate_peers()))
        factor = max(1.0, group_size / (1 + len(self._reports)))
        return {
            name: EngineTokens(
                name, int(tokens.unread * factor), int(tokens.held * factor)
            )
            for name, tokens in totals.items()
        }

    def get_report(self, entry: str) -> WorkloadReport:
        """Return the latest report of a peer; raises ``KeyError`` if there is none."""
        return self._reports[entry].report

    def get_engine(self, name: str) -> EngineTokens:
        """Return the workload at one engine, as far as it was reported to this entry.

        An entry that reports nothing has nothing there.
        """
        self.drop_expired()
        there = [
            tokens
            for tokens in chain(self._iterate_own(), self._iterate_peers())
            if tokens.engine == name
        ]
        return _add_up(name, there)

    def list_own(self) -> list[EngineTokens]:
        """Return this entry's own workload at each engine."""
        return list(self._sum(self._iterate_own()).values())

    def _iterate_peers(self) -> Iterator[EngineTokens]:
        for received in self._reports.values():
            yield from received.report.engines

    def _iterate_own(self) -> Iterator[EngineTokens]:
        for prompt in self._prompts:
            yield EngineTokens(prompt.engine, prompt.unread, prompt.held)

    @staticmethod
    def _sum(engine_tokens: Iterable[EngineTokens]) -> dict[str, EngineTokens]:
        by_engine: dict[str, list[EngineTokens]] = {}
        for tokens in engine_tokens:
            by_engine.setdefault(tokens.engine, []).append(tokens)
        return {name: _add_up(name, there) for name, there in by_engine.items()}


def _add_up(engine: str, there: list[EngineTokens]) -> EngineTokens:
    """Return the sum of the tokens at one engine."""
    return EngineTokens(
        engine,
        sum(tokens.unread for tokens in there),
        sum(tokens.held for tokens in there),
    )
