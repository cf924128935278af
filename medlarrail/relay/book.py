"""What this entry learnt of each endpoint from its own requests."""

from collections import Counter
from collections.abc import Iterator

from attrs import define, field

from medlarrail.cluster.picture import Picture, PicturedEndpoint
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.deployment import ServiceRule
from medlarrail.ownership.health import PairHealth
from medlarrail.policy.placement import Candidate
from medlarrail.policy.rates import ColdRateLimit
from medlarrail.relay.calls import EndpointLoad

LEARNING_RATE = 0.15
"""Weight of the latest answer in the moving averages: ten answers or so count."""
REPORT_LIFE_S = 1.0
"""Age up to which a reported load still says something."""
COLD_SHARE = 0.6
"""Part of the cold rate that entries use by themselves; the rest is room for
entries that just came and for messages that lag."""


@define
class EndpointRecord:
    """One endpoint's answers to this entry; times in seconds."""

    in_flight: int = 0
    answer_s: float = 0.0
    failure_rate: float = 0.0
    load: EndpointLoad | None = None
    load_at: float = float("-inf")
    cold: ColdRateLimit = field(factory=ColdRateLimit)

    def note_answer(self, seconds: float, failed: bool) -> None:
        """Learn from one answer."""
        self.failure_rate += LEARNING_RATE * (float(failed) - self.failure_rate)
        if not failed:
            before = self.answer_s or seconds
            self.answer_s = before + LEARNING_RATE * (seconds - before)


@define
class EndpointBook:
    """Records of endpoints by name, and the candidates for a request."""

    picture: Picture
    data_centre: str
    clock: Clock = get_boottime
    health: PairHealth = field(init=False)
    records: dict[str, EndpointRecord] = field(factory=dict)

    def __attrs_post_init__(self):
        self.health = PairHealth(self.clock)

    def get_record(self, name: str) -> EndpointRecord:
        """Return the record of an endpoint, a new one if need be."""
        return self.records.setdefault(name, EndpointRecord())

    def forget_departed(self) -> None:
        """Drop the records of endpoints that are gone."""
        for name in list(self.records):
            gone = name not in self.picture.endpoints
            if gone and self.records[name].in_flight == 0:
                del self.records[name]

    def iterate_usable(self, service: ServiceRule) -> Iterator[PicturedEndpoint]:
        """Yield the endpoints of a service that may be sent a request now."""
        for endpoint in self.picture.endpoints.values():
            of_service = endpoint.announced.service == service.name
            if of_service and not self.find_obstacle(endpoint, service):
                yield endpoint

    def find_obstacle(self, endpoint: PicturedEndpoint, service: ServiceRule) -> str:
        """Return why an endpoint may be sent nothing now, or an empty text."""
        announced = endpoint.announced
        if announced.state != "ready":
            return "leaving"
        if announced.data_centre in self.picture.out_data_centres:
            return "data centre out"
        now = self.clock()
        if endpoint.cold_until > now and service.cold_per_s > 0:
            cold = self.get_record(announced.name).cold
            per_s = service.cold_per_s * COLD_SHARE
            if not cold.may_send(now, per_s, self.picture.entry_count):
                return "cold"
        return ""

    def count_obstacles(self, service: ServiceRule) -> dict[str, int]:
        """Return how many endpoints of a service each obstacle concerns."""
        return dict(
            Counter(
                self.find_obstacle(one, service) or "usable"
                for one in self.picture.endpoints.values()
                if one.announced.service == service.name
            )
        )

    def describe(self, endpoint: PicturedEndpoint, best_s: float) -> Candidate:
        """Return an endpoint as the choice sees it."""
        announced = endpoint.announced
        record = self.get_record(announced.name)
        reported = None
        if record.load is not None and self.clock() - record.load_at < REPORT_LIFE_S:
            reported = float(record.load.running + record.load.waiting)
        relative_latency = 1.0
        if best_s > 0 and record.answer_s > 0:
            relative_latency = max(1.0, record.answer_s / best_s)
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

    def get_best_answer_s(self, endpoints: list[PicturedEndpoint]) -> float:
        """Return the shortest usual time to an answer, 0 where none is known."""
        known = [
            record.answer_s
            for one in endpoints
            if (record := self.get_record(one.announced.name)).answer_s > 0
        ]
        return min(known, default=0.0)
