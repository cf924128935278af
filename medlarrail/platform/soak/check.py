"""Checks what callers received against the promise of a stream.

Each event once, in order, of one run or of a continuation at the same software
version, and a regular end only after the last event. The events of an answer are of
runs of its own request, also while others with the same content run.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from pathlib import Path

import orjson
from attrs import define, evolve, field, frozen

from medlarrail.platform.soak.callers import PROMISES, Answer, Call
from medlarrail.platform.soak.engine import BODY_LINES
from medlarrail.platform.soak.events import VERSIONS, Event, build_body, make_text
from medlarrail.platform.soak.site import ROUTES, Site

EARLY_CLOSE = "early end after an early close"
CONTACT_S = 3.0
"""Time after which processes that reach each other know what was acknowledged."""
ISOLATION_LIMIT_S = 4.0
"""Time after the acknowledgement of a configuration from which each gateway keeps to
its isolated accounts: the age of a view up to which accounts share, and a second for
the way of a request that was sent by then."""
WEIGHTS_LIMIT_S = 10.0
"""Time after the acknowledgement of weights from which no request begins on older
ones."""
DRAIN_LIMIT_S = 2.0
"""Time after the acknowledgement of its departure up to which an endpoint may get
requests."""


@frozen
class Violation:
    """One broken promise."""

    kind: str
    request_id: str
    detail: str

    def __str__(self) -> str:
        return f"VIOLATION {self.kind}: {self.request_id} {self.detail}"


@define
class Run:
    """One run, as its endpoint recorded it."""

    request_id: str
    framing: str
    faulty: bool
    """Whether the endpoint sent what the platform does not allow."""
    record: str
    began_at: float
    service: str
    version: str = ""
    account: str = ""
    scope: str = ""
    """Namespace of its cached context, empty if it has none."""
    weights: int = 0
    """Weight version on which it began, 0 if it has none."""
    ended_at: float | None = None
    """None if the endpoint was killed before the end."""
    sent: int = 0
    complete: bool = False
    closed_early: bool = False
    """Whether a living endpoint closed it regularly before its last event."""


@define
class Records:
    """What the endpoints recorded."""

    runs: dict[str, list[Run]] = field(factory=lambda: defaultdict(list))
    """Runs in the order of their begin, by request ID."""
    announcements: dict[str, float] = field(factory=dict)
    """When the first heartbeat of each endpoint was acknowledged, by record."""
    departures: dict[str, float] = field(factory=dict)
    """When it was acknowledged that an endpoint is leaving, by record."""

    def add(self, record: str, entry: dict) -> None:
        """Add one line of an endpoint's record."""
        runs = self.runs[entry["id"]] if entry["id"] else []
        if entry["what"] == "run":
            framing, faulty = entry["framing"], entry["faulty"]
            own = record, entry["t"], entry["service"]
            run = Run(entry["id"], framing, faulty, *own, entry["version"])
            run.closed_early = entry["closed_early"]
            run.account, run.scope = entry.get("account", ""), entry.get("scope", "")
            run.weights = entry.get("weights", 0)
            runs.append(run)
        elif entry["what"] == "end":
            own = (one for one in runs if one.record == record)
            run = next(one for one in own if one.ended_at is None)
            run.ended_at = entry["t"]
            run.sent, run.complete = entry["sent"], entry["complete"]
        elif entry["what"] == "announced":
            self.announcements[record] = entry["t"]
        elif entry["what"] == "leaving":
            self.departures[record] = entry["t"]


def find_version(prompt: str, event: Event) -> str:
    """Return the software version that made an event, empty if none did."""
    texts = ((make_text(prompt, one, event.number), one) for one in VERSIONS)
    return next((version for text, version in texts if text == event.text), "")


def check_stream(call: Call) -> list[Violation]:
    """Return the first violation in the events of a stream, and an early end."""
    violations = []
    last = 0
    origin = ""
    for answer in call.answers:
        for event in answer.events:
            version = find_version(call.prompt, event)
            kind = classify(last, event.number, origin, version)
            if not kind and event.request_id != answer.request_id:
                kind = "event of another request"
            if kind:
                detail = f"{event.number} after {last}, {version or 'unknown'}"
                detail += f" after {origin or 'nothing'}"
                return [Violation(kind, answer.request_id, detail)]
            last, origin = event.number, version
        if answer.complete and last != call.count:
            kind = "early end" if last < call.count else "late end"
            detail = f"after {last} of {call.count}, {answer.framing}"
            violations.append(Violation(kind, answer.request_id, detail))
    return violations


def classify(last: int, number: int, origin: str, version: str) -> str:
    """Return what is wrong with an event after ``last``; empty if nothing is."""
    if not version:
        return "foreign event"
    if origin and version != origin:
        return "joined runs"
    if number == last:
        return "doubled event"
    if number < last:
        return "event that goes back"
    return "" if number == last + 1 else "hole"


def check_buffered(call: Call) -> list[Violation]:
    """Return the violations of an answer that is no stream."""
    bodies = [build_body(call.prompt, version, BODY_LINES) for version in VERSIONS]
    return [
        Violation("incomplete body", answer.request_id, f"{len(answer.body)} bytes")
        for answer in call.answers
        if answer.complete and answer.body not in bodies
    ]


def check_call(call: Call) -> list[Violation]:
    """Return the violations that the answers to one call show."""
    return check_stream(call) if call.is_stream else check_buffered(call)


def check_runs(calls: list[Call], runs: dict[str, list[Run]]) -> list[Violation]:
    """Return requests that ran too often, at another service or against a denial."""
    violations = []
    for call in calls:
        for answer in call.answers:
            own = runs.get(answer.request_id, [])
            count = len(own)
            if count > 1 and not call.repeatable:
                violations.append(
                    Violation("run twice", answer.request_id, f"{count} runs")
                )
            if count and answer.status in PROMISES:
                detail = f"status {answer.status}"
                violations.append(Violation("run denied", answer.request_id, detail))
            violations += [
                Violation("foreign run", answer.request_id, f"at {run.record}")
                for run in own
                if run.service != ROUTES[call.kind][1]
            ]
    return violations


def check_departures(
    site: Site, calls: list[Call], records: Records, carriers: dict[str, set[str]]
) -> Iterator[Violation]:
    """Yield the runs that began long after their endpoint was told that it may leave.

    The gateways and all state members were in touch from ``CONTACT_S`` before the
    request was sent until the run began.
    """
    members = {state.record for state in (*site.states, *site.later_states)}
    for answer in (answer for call in calls for answer in call.answers):
        passed = {answer.gateway, *carriers.get(answer.request_id, ()), *members}
        for run in records.runs.get(answer.request_id, ()):
            left_at = records.departures.get(run.record, float("inf"))
            since = answer.sent_at - CONTACT_S
            if run.began_at <= left_at + DRAIN_LIMIT_S:
                continue
            if not is_disturbed(site, {*passed, run.record}, since, run.began_at):
                detail = f"{run.began_at - left_at:.1f} s after {run.record} left"
                yield Violation("run after departure", answer.request_id, detail)


def check_isolation(site: Site, runs: list[Run]) -> Iterator[Violation]:
    """Yield the runs in a scope in which another account ran before, if one of the two
    is isolated by each configuration that may be in force.

    A gateway knows of a configuration after ``ISOLATION_LIMIT_S``, whatever happens to
    it.
    """
    accounts: dict[str, set[str]] = defaultdict(set)
    for run in sorted(runs, key=lambda run: run.began_at):
        if not run.scope:
            continue
        others = accounts[run.scope] - {run.account}
        isolated = find_isolated(site, run.began_at) if others else frozenset()
        if others and (run.account in isolated or others & isolated):
            detail = f"{run.account} in {run.scope} of {', '.join(sorted(others))}"
            yield Violation("context of another account", run.request_id, detail)
        accounts[run.scope].add(run.account)


def find_isolated(site: Site, at: float) -> frozenset[str]:
    """Return the accounts that all configurations isolate that may be in force."""
    known = [one for one in site.isolations if one.sent_at <= at]
    latest = max(
        (
            number
            for number, one in enumerate(known)
            if one.acknowledged_at <= at - ISOLATION_LIMIT_S
        ),
        default=None,
    )
    if latest is None:
        return frozenset()
    return frozenset.intersection(*(one.names for one in known[latest:]))


def check_weights(
    site: Site, calls: list[Call], records: Records, carriers: dict[str, set[str]]
) -> Iterator[Violation]:
    """Yield the runs that began on weights that had been replaced long before.

    The time counts while the state members and the gateways are in touch.
    """
    members = {state.record for state in (*site.states, *site.later_states)}
    for answer in (answer for call in calls for answer in call.answers):
        passed = {answer.gateway, *carriers.get(answer.request_id, ())}
        for run in records.runs.get(answer.request_id, ()):
            replaced_at = min(
                (
                    one.acknowledged_at
                    for one in site.named_weights
                    if one.version > run.weights > 0
                ),
                default=float("inf"),
            )
            since = run.began_at - WEIGHTS_LIMIT_S - CONTACT_S
            if run.began_at - replaced_at <= WEIGHTS_LIMIT_S:
                continue
            is_stable = not is_disturbed(site, members, since, run.began_at)
            since = answer.sent_at - CONTACT_S
            if is_stable and not is_disturbed(site, passed, since, run.began_at):
                detail = f"{run.weights}, {run.began_at - replaced_at:.1f} s after"
                yield Violation("replaced weights", answer.request_id, detail)


def is_disturbed(site: Site, records: set[str], since: float, until: float) -> bool:
    """Return whether one of these processes was disturbed within a time."""
    return any(
        one.record in records and one.since < until and one.until > since
        for one in site.disturbances
    )


def name_early_closes(
    violations: list[Violation], runs: dict[str, list[Run]]
) -> list[Violation]:
    """Return the violations, with a kind of their own for early ends of such runs.

    They stay violations: nothing in the bytes tells such an answer from a whole one.
    """
    return [
        evolve(one, kind=EARLY_CLOSE)
        if one.kind == "early end"
        and any(run.closed_early for run in runs.get(one.request_id, ())[-1:])
        else one
        for one in violations
    ]


def read_records(folder: Path) -> Records:
    """Return what the endpoints recorded."""
    records = Records()
    for path in sorted(folder.glob("*.runs")):
        for line in path.read_bytes().splitlines():
            records.add(path.stem, orjson.loads(line))
    for entries in records.runs.values():
        entries.sort(key=lambda run: run.began_at)
    return records


def read_carriers(folder: Path) -> dict[str, set[str]]:
    """Return the gateways to which others forwarded requests, by request ID."""
    carriers: dict[str, set[str]] = defaultdict(set)
    for path in folder.glob("edge-*.log"):
        for line in path.read_bytes().splitlines():
            # A killed process may have written a part of its last line.
            if b'"request:forwarded"' in line and line.endswith(b"}"):
                entry = orjson.loads(line)
                carriers[entry["request"]].add(entry["entry"])
    return carriers


@define
class Counts:
    """What a soak counts."""

    calls: Counter = field(factory=Counter)
    """Calls by kind."""
    framings: Counter = field(factory=Counter)
    """Runs of streams by the framing of the endpoint's answer."""
    answers: Counter = field(factory=Counter)
    """Answers to streams by what became of them."""
    streams: int = 0
    complete: int = 0
    """Streams whose caller has all events."""
    closed_early: int = 0
    """Runs that a living endpoint closed regularly before their last event."""
    cut: int = 0
    """Answers of streams that broke off visibly."""
    cut_sound: list[Answer] = field(factory=list)
    """Answers of streams that were cut though their run was sound."""
    cut_unannounced: int = 0
    """The same, if a run began before its process was heard of."""

    @property
    def cut_sound_per_1000(self) -> float:
        """Cut though sound, per 1,000 streams."""
        return round(1000 * len(self.cut_sound) / max(1, self.streams), 2)


def count_calls(site: Site, calls: list[Call], records: Records) -> Counts:
    """Return the counts of a soak."""
    counts = Counts()
    ends = {program.record: program.ended_at for program in site.ended_engines}
    carriers = read_carriers(site.folder)
    for call in calls:
        counts.calls[call.kind] += 1
        if not call.is_stream:
            continue
        counts.streams += 1
        counts.complete += call.answers[-1].complete
        for answer in call.answers:
            outcome = answer.ending if answer.status == 200 else str(answer.status)
            counts.answers[outcome] += 1
            own = records.runs.get(answer.request_id, [])
            counts.framings.update(run.framing for run in own)
            counts.closed_early += sum(run.closed_early for run in own)
            counts.cut += answer.status == 200 and answer.ending == "broken"
            if not own or not is_cut(answer):
                continue
            gateways = {answer.gateway, *carriers.get(answer.request_id, ())}
            origin = find_origin_version(call)
            if not is_sound(site, answer, own, ends, gateways, origin):
                continue
            if all(is_announced(run, records.announcements) for run in own):
                counts.cut_sound.append(answer)
            else:
                counts.cut_unannounced += 1
    return counts


def find_origin_version(call: Call) -> str:
    """Return the software version that began a stream, empty before its first event."""
    return next((find_version(call.prompt, one) for one in call.list_events()), "")


def is_announced(run: Run, announcements: dict[str, float]) -> bool:
    """Return whether the process of a run had announced itself before it."""
    return announcements.get(run.record, float("inf")) <= run.began_at


def is_cut(answer: Answer) -> bool:
    """Return whether a run was withheld from its caller, in part or wholly."""
    is_broken = answer.status == 200 and answer.ending == "broken"
    return is_broken or answer.status in (502, 504)


def is_sound(
    site: Site,
    answer: Answer,
    runs: list[Run],
    ends: dict[str, float | None],
    gateways: set[str],
    origin: str = "",
) -> bool:
    """Return whether no endpoint, link, gateway or deadline gave a reason for a cut.

    ``gateways`` are those that the answer passed through. ``origin`` is the software
    version that began the stream, if it is known: a run of another one must not go on.
    """
    run = runs[-1]
    ended_at = ends.get(run.record)
    is_alive = ended_at is None or ended_at > answer.ended_at
    passed = {*gateways, *(one.record for one in runs)}
    has_disturbance = is_disturbed(site, passed, answer.sent_at, answer.ended_at)
    is_faulty = any(one.faulty for one in runs)
    is_late = answer.ended_at - answer.sent_at >= answer.deadline_ms / 1000
    is_other_version = origin not in ("", run.version)
    if is_faulty or has_disturbance or is_late or is_other_version:
        return False
    return run.complete or is_alive
