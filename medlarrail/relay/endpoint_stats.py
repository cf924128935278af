"""Per-endpoint statistics that this entry collects from its own requests."""

from collections import Counter
from collections.abc import Iterator

from attrs import define, field, frozen

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.metrics import get_metrics
from medlarrail.core.moving_average import update_mean
from medlarrail.ownership.path_health import PathHealth
from medlarrail.policy.back_off import BackOffPolicy
from medlarrail.policy.placement import Candidate
from medlarrail.policy.rate_limits import (
    LONG_WINDOW_S,
    SendLimit,
    SendRate,
    get_named_limit,
)
from medlarrail.policy.shares import get_share
from medlarrail.relay.back_offs import BackOffs
from medlarrail.relay.divided_room import DividedRoom
from medlarrail.relay.entry_rank import EntryRank
from medlarrail.relay.leaving_endpoints import LeavingEndpoints
from medlarrail.relay.metadata import EndpointLoad

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


@frozen
class NamedRate:
    """The rate that an incarnation of an endpoint named to this entry, None for none,
    and when."""

    per_s: float | None
    started_ms: int
    named_at: float


@define
class EndpointRecord:
    """Statistics of one endpoint's answers to this entry; times in seconds."""

    in_flight: int = 0
    unanswered: int = 0
    """Requests in flight whose answers have not begun."""
    answer_s: float = 0.0
    failure_rate: float = 0.0
    load: EndpointLoad | None = None
    load_at: float = float("-inf")
    named_rate: NamedRate | None = None
    send_rate: SendRate = field(factory=SendRate)

    def record_answer(self, seconds: float, failed: bool) -> None:
        """Update the moving averages with one answer."""
        self.failure_rate = update_mean(self.failure_rate, float(failed))
        if not failed:
            self.answer_s = update_mean(self.answer_s or seconds, seconds)


@define
class EndpointStats:
    """Endpoint records by name; builds the candidates for a request from them.

    ``entry`` is the name of this entry.
    """

    cluster_view: ClusterView
    data_centre: str
    entry: str
    clock: Clock = get_boottime
    back_off_policy: BackOffPolicy = field(factory=BackOffPolicy)
    back_offs: BackOffs = field(init=False)
    health: PathHealth = field(init=False)
    rank: EntryRank = field(init=False)
    room: DividedRoom = field(init=False)
    leaving: LeavingEndpoints = field(init=False)
    records: dict[str, EndpointRecord] = field(factory=dict)

    def __attrs_post_init__(self):
        self.health = PathHealth(self.clock)
        self.rank = EntryRank(self.cluster_view, self.entry)
        self.leaving = LeavingEndpoints(lambda: self.clock())
        self.room = DividedRoom(self.cluster_view, self.rank, lambda: self.clock())
        self.back_offs = BackOffs(self.cluster_view, self.rank, self.back_off_policy)

    def get_record(self, name: str) -> EndpointRecord:
        """Return the record of an endpoint, creating it if necessary."""
        record = self.records.get(name)
        if record is None:
            record = self.records[name] = EndpointRecord()
        return record

    def drop_departed(self) -> list[str]:
        """Drop the records of departed endpoints without in-flight requests.

        Returns their names.
        """
        self.back_offs.drop_ended(self.clock())
        self.leaving.drop_departed(self.cluster_view.endpoints)
        dropped = [
            name
            for name, record in self.records.items()
            if name not in self.cluster_view.endpoints and record.in_flight == 0
        ]
        for name in dropped:
            del self.records[name]
            self.room.drop(name)
        return dropped

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
        if announced.state != "ready" or self.leaving.has(announced):
            return "leaving"
        if announced.data_centre in self.cluster_view.out_data_centres:
            return "data centre out"
        now = self.clock()
        record = self.get_record(announced.name)
        reason = self.back_offs.get_unavailable_reason(
            announced, record.unanswered, now
        )
        if reason:
            return reason
        if endpoint.cold_until > now and service.cold_per_s > 0:
            share = self._get_cold_share(endpoint, service)
            if not record.send_rate.may_send(now, SendLimit(share)):
                return "cold"
        limit = self._get_named_limit(endpoint)
        if limit is not None and not record.send_rate.may_send(now, limit):
            return "limited"
        if not self.room.may_send(announced, record.in_flight, now):
            return "no room"
        return ""

    def record_named_rate(self, endpoint: EndpointView, per_s: float | None) -> None:
        """Record the rate in an answer of an endpoint, None if it named none."""
        announced = endpoint.announced
        self.get_record(announced.name).named_rate = NamedRate(
            per_s, announced.started_ms, self.clock()
        )

    def _get_named_limit(self, endpoint: EndpointView) -> SendLimit | None:
        """Return this entry's part of the rate that an endpoint named, if it did.

        The latest statement holds: that of an answer to this entry, or the one that the
        leader listed.
        """
        named = self.get_record(endpoint.announced.name).named_rate
        per_s = endpoint.limit_per_s
        if (
            named is not None
            and named.started_ms == endpoint.announced.started_ms
            and named.named_at >= endpoint.limit_changed_at
        ):
            per_s = named.per_s
        if per_s is None:
            return None
        if not self.cluster_view.entries_settled:
            return SendLimit(0, LONG_WINDOW_S)
        rank = self.rank.get(endpoint.announced.name)
        return get_named_limit(per_s, self.cluster_view.entry_count, rank)

    def get_wait_s(self, service: ServiceRule) -> float | None:
        """Return the time until the first endpoint may get another request.

        Counts the endpoints of the service that are limited by the rate they named or
        wanted no requests for some time; returns None if there are none.
        """
        return min(self._iterate_waits(service), default=None)

    def _iterate_waits(self, service: ServiceRule) -> Iterator[float]:
        now = self.clock()
        for endpoint in self.cluster_view.endpoints.values():
            if endpoint.announced.service != service.name:
                continue
            reason = self.get_unavailable_reason(endpoint, service)
            if reason in ("backing off", "returning"):
                yield self.back_offs.get(endpoint.announced).get_wait_s(now)
            elif reason == "limited":
                send_rate = self.get_record(endpoint.announced.name).send_rate
                yield send_rate.get_wait_s(now, self._get_named_limit(endpoint))

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
        send_rate = self.get_record(endpoint.announced.name).send_rate
        send_rate.record_sent(now)
        if endpoint.cold_until <= now:
            return None
        cold_send = ColdSend(
            remaining_ms=round((endpoint.cold_until - now) * 1000, 1),
            sent=send_rate.count_sent(now),
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

    def build_candidate(
        self, endpoint: EndpointView, min_answer_s: float, outdated: bool = False
    ) -> Candidate:
        """Return the candidate for an endpoint, with its current statistics.

        ``outdated`` tells whether it serves older weights than other endpoints.
        """
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
            outdated=outdated,
        )

    def get_min_answer_s(self, endpoints: list[EndpointView]) -> float:
        """Return the lowest average answer time, 0 if none is known."""
        latencies = [
            record.answer_s
            for endpoint in endpoints
            if (record := self.get_record(endpoint.announced.name)).answer_s > 0
        ]
        return min(latencies, default=0.0)
