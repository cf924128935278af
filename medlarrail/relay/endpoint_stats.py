"""Per-endpoint statistics that this entry collects from its own requests."""

from collections import Counter
from collections.abc import Iterator

from attrs import define, field, frozen

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.metrics import get_metrics
from medlarrail.ownership.path_health import PathHealth
from medlarrail.policy.placement import Candidate
from medlarrail.policy.rate_limits import ColdRateLimit
from medlarrail.policy.shares import get_share
from medlarrail.relay.entry_rank import EntryRank
from medlarrail.relay.metadata import EndpointLoad

EWMA_WEIGHT = 0.15
"""Weight of the latest answer in the exponentially weighted moving averages, which
thus cover ten answers or so."""
LOAD_REPORT_TTL_S = 1.0
"""Age up to which a load report is used."""
COLD_RATE_RATIO = 0.6
"""Fraction of the cold rate that the known entries use; the remainder covers entries
that have just joined and delayed messages."""


@frozen
class ColdSend:
    """What this entry knew when it sent a request to a cold endpoint.

    ``remaining_ms`` is the remaining cold start, ``sent`` the number of this entry's
    requests to the endpoint in the last second including this one, and
    ``entry_count`` the number of entries that the cold rate was divided by.
    """

    remaining_ms: float
    sent: int
    entry_count: int


@define
class EndpointRecord:
    """Statistics of one endpoint's answers to this entry; times in seconds."""

    in_flight: int = 0
    answer_s: float = 0.0
    failure_rate: float = 0.0
    load: EndpointLoad | None = None
    load_at: float = float("-inf")
    cold_rate: ColdRateLimit = field(factory=ColdRateLimit)

    def record_answer(self, seconds: float, failed: bool) -> None:
        """Update the moving averages with one answer."""
        self.failure_rate += EWMA_WEIGHT * (float(failed) - self.failure_rate)
        if not failed:
            mean = self.answer_s or seconds
            self.answer_s = mean + EWMA_WEIGHT * (seconds - mean)


@define
class EndpointStats:
    """Endpoint records by name; builds the candidates for a request from them.

    ``entry`` is the name of this entry.
    """

    cluster_view: ClusterView
    data_centre: str
    entry: str
    clock: Clock = get_boottime
    health: PathHealth = field(init=False)
    rank: EntryRank = field(init=False)
    records: dict[str, EndpointRecord] = field(factory=dict)

    def __attrs_post_init__(self):
        self.health = PathHealth(self.clock)
        self.rank = EntryRank(self.cluster_view, self.entry)

    def get_record(self, name: str) -> EndpointRecord:
        """Return the record of an endpoint, creating it if necessary."""
        return self.records.setdefault(name, EndpointRecord())

    def drop_departed(self) -> None:
        """Drop the records of departed endpoints without in-flight requests."""
        for name in list(self.records):
            departed = name not in self.cluster_view.endpoints
            if departed and self.records[name].in_flight == 0:
                del self.records[name]

    def iterate_available(self, service: ServiceRule) -> Iterator[EndpointView]:
        """Yield the endpoints of a service that can accept a request now."""
        for endpoint in self.cluster_view.endpoints.values():
            of_service = endpoint.announced.service == service.name
            if of_service and not self.get_unavailable_reason(endpoint, service):
                yield endpoint

    def get_unavailable_reason(
        self, endpoint: EndpointView, service: ServiceRule
    ) -> str:
        """Return why an endpoint cannot accept a request now, or an empty string."""
        announced = endpoint.announced
        if announced.state != "ready":
            return "leaving"
        if announced.data_centre in self.cluster_view.out_data_centres:
            return "data centre out"
        now = self.clock()
        if endpoint.cold_until > now and service.cold_per_s > 0:
            cold_rate = self.get_record(announced.name).cold_rate
            if not cold_rate.may_send(now, self._get_cold_share(endpoint, service)):
                return "cold"
        return ""

    def _get_cold_share(self, endpoint: EndpointView, service: ServiceRule) -> int:
        """Return this entry's part of the cold rate, in requests per second.

        The parts of all entries add up to at least one request per second. An entry
        that does not know yet how many entries there are has none.
        """
        if not self.cluster_view.entries_settled:
            return 0
        limit = max(1, int(service.cold_per_s * COLD_RATE_RATIO))
        rank = self.rank.get(endpoint.announced.name)
        return get_share(limit, self.cluster_view.entry_count, rank)

    def record_sent(self, endpoint: EndpointView) -> ColdSend | None:
        """Record a request that is sent to an endpoint; returns None if it is warm."""
        now = self.clock()
        cold_rate = self.get_record(endpoint.announced.name).cold_rate
        cold_rate.record_sent(now)
        if endpoint.cold_until <= now:
            return None
        cold_send = ColdSend(
            remaining_ms=round((endpoint.cold_until - now) * 1000, 1),
            sent=cold_rate.count_sent(now),
            entry_count=self.cluster_view.entry_count,
        )
        get_metrics().count("cold_requests", service=endpoint.announced.service)
        return cold_send

    def count_unavailable(self, service: ServiceRule) -> dict[str, int]:
        """Return how many endpoints each reason excludes; the others are ``usable``."""
        return dict(
            Counter(
                self.get_unavailable_reason(endpoint, service) or "usable"
                for endpoint in self.cluster_view.endpoints.values()
                if endpoint.announced.service == service.name
            )
        )

    def build_candidate(self, endpoint: EndpointView, min_answer_s: float) -> Candidate:
        """Return the candidate for an endpoint, with its current statistics."""
        announced = endpoint.announced
        record = self.get_record(announced.name)
        reported = None
        if (
            record.load is not None
            and self.clock() - record.load_at < LOAD_REPORT_TTL_S
        ):
            reported = float(record.load.running + record.load.waiting)
        relative_latency = 1.0
        if min_answer_s > 0 and record.answer_s > 0:
            relative_latency = max(1.0, record.answer_s / min_answer_s)
        return Candidate(
            name=announced.name,
            in_flight=record.in_flight,
            reported=reported,
            slots=announced.slots,
            failure_rate=record.failure_rate,
            relative_latency=relative_latency,
            local=announced.data_centre == self.data_centre,
            suspected=self.health.is_suspected(announced.name),
        )

    def get_min_answer_s(self, endpoints: list[EndpointView]) -> float:
        """Return the lowest average answer time, 0 if none is known."""
        latencies = [
            record.answer_s
            for endpoint in endpoints
            if (record := self.get_record(endpoint.announced.name)).answer_s > 0
        ]
        return min(latencies, default=0.0)
