"""Counts what becomes of streams that callers take up, and why others are refused.

Streams of callers that name the first request are counted apart from those of others,
of which a gateway may not know which stream they mean.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

import orjson
from attrs import define, field

from medlarrail.platform.soak.callers import Answer, Call
from medlarrail.platform.soak.check import find_origin_version
from medlarrail.platform.soak.site import ROUTES, Site

REFUSED_STATUS = 503
SPARE_COUNT = 2
"""Endpoints at which a stream can go on while one of them ends."""
NAMED = "named"
UNNAMED = "unnamed"
AMBIGUOUS = "ambiguous"
"""Unnamed, while streams of the same content began at several software versions."""


@define
class TakeUps:
    """Streams that were asked for again after an event, and the tries to do so."""

    streams: int = 0
    gone_on: int = 0
    """Streams of which a later answer brought an event or the end."""
    spared: int = 0
    """Streams that had ``SPARE_COUNT`` endpoints when they were first taken up."""
    spared_gone_on: int = 0
    share: float = 0.0
    """Share of the spared ones that went on."""
    tries: int = 0
    answered: int = 0
    """Tries that brought an event or the end."""
    refused: int = 0
    reasons: Counter = field(factory=Counter)
    """Refused tries by what the gateways logged."""

    def add(self, call: Call, is_spared: bool) -> None:
        """Count a stream that was taken up."""
        tries = list_tries(call)
        answered = sum(is_answered(one) for one in tries)
        self.streams += 1
        self.gone_on += answered > 0
        self.spared += is_spared
        self.spared_gone_on += is_spared and answered > 0
        self.share = round(self.spared_gone_on / max(1, self.spared), 2)
        self.tries += len(tries)
        self.answered += answered
        self.refused += sum(one.status == REFUSED_STATUS for one in tries)


def list_tries(call: Call) -> list[Answer]:
    """Return the answers that were to go on with a stream."""
    return [one for one in call.answers if one.last_event_id]


def is_answered(answer: Answer) -> bool:
    """Return whether an answer brought an event or the end of the stream."""
    return bool(answer.events) or answer.complete


def count_endpoints(
    site: Site, call: Call, at: float, announcements: dict[str, float]
) -> int:
    """Return how many endpoints that were heard of could go on with a stream."""
    service, version = ROUTES[call.kind][1], find_origin_version(call)
    return sum(
        one.service == service
        and one.version == version
        and announcements.get(one.record, float("inf")) <= at
        and (one.ended_at is None or one.ended_at > at)
        for one in (*site.engines, *site.ended_engines)
    )


def read_reasons(folder: Path, gateways: dict[str, str]) -> dict[str, str]:
    """Return why requests were refused, by their ID, without the data of the errors.

    ``gateways`` has the gateway that each request was sent to, by the request's ID.
    """
    reasons = {}
    for path in folder.glob("edge-*.log"):
        for line in path.read_bytes().splitlines():
            # A killed process may have written a part of its last line.
            if b'"request:refused"' in line and line.endswith(b"}"):
                entry = orjson.loads(line)
                is_own = gateways.get(entry["request"]) == path.stem
                if is_own and entry["status"] == REFUSED_STATUS:
                    reasons[entry["request"]] = entry["reason"].partition(" (")[0]
    return reasons


def find_ambiguous(calls: Iterable[Call]) -> set[tuple[str, str]]:
    """Return the kinds and prompts of streams that began at several versions."""
    versions = defaultdict(set)
    for call in calls:
        if call.is_stream and (version := find_origin_version(call)):
            versions[call.kind, call.prompt].add(version)
    return {content for content, found in versions.items() if len(found) > 1}


def count_take_ups(
    site: Site, calls: list[Call], announcements: dict[str, float]
) -> dict[str, TakeUps]:
    """Return the counts of the streams that were taken up, by what the caller tells."""
    counts = {name: TakeUps() for name in (NAMED, UNNAMED, AMBIGUOUS)}
    ambiguous = find_ambiguous(calls)
    taken_up = [call for call in calls if call.is_stream and list_tries(call)]
    sent = [one for call in taken_up for one in list_tries(call)]
    reasons = read_reasons(site.folder, {one.request_id: one.gateway for one in sent})
    for call in taken_up:
        tries = list_tries(call)
        is_ambiguous = (call.kind, call.prompt) in ambiguous
        name = AMBIGUOUS if is_ambiguous else UNNAMED
        own = counts[NAMED if call.is_named else name]
        count = count_endpoints(site, call, tries[0].sent_at, announcements)
        own.add(call, count >= SPARE_COUNT)
        own.reasons.update(
            reasons[one.request_id] for one in tries if one.request_id in reasons
        )
    return counts
