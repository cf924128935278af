"""What this entry has learned of the prefill speed of each service's engines."""

from attrs import define, field

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.clock import Clock
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.endpoint_model import FirstEvent, PrefillSpeeds
from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS
from medlarrail.relay.metadata import DispatchMetadata, RequestMetadata


def build_first_event(
    endpoint: EndpointView,
    metadata: RequestMetadata,
    dispatch: DispatchMetadata,
    backlog: float,
    seconds: float,
) -> FirstEvent:
    """Return the start of an answer, as the endpoint model reads it."""
    shared = metadata.shared_parts
    fetch = dispatch.fetch or ("",) * len(shared)
    save = dispatch.save or ("",) * len(shared)
    transfers = list(zip(shared, fetch, save, strict=False))
    fetched = sum(part.tokens for part, source, _ in transfers if source)
    return FirstEvent(
        engine=endpoint.announced.name,
        started_ms=endpoint.announced.started_ms,
        weight_version=dispatch.weight_version,
        unread=max(0, metadata.prompt_tokens - fetched),
        own=metadata.own_tokens,
        backlog=backlog,
        fetched=fetched,
        saves_parts=all(source or target for _, source, target in transfers),
        first_ms=1000 * seconds,
    )


@define(eq=False)
class ServiceSpeeds:
    """The learned speeds by service; lost with the process."""

    clock: Clock
    _services: dict[str, PrefillSpeeds] = field(factory=dict)

    def record(self, service: str, event: FirstEvent) -> None:
        """Record the start of an answer to a long prompt."""
        speeds = self._services.setdefault(service, PrefillSpeeds())
        kind = speeds.record(event, self.clock())
        get_metrics().count("prefill_samples", service=service, kind=kind or "ignored")

    def get_tokens_per_ms(self, service: str, engine: str = "") -> float:
        """Return the speed of an engine, or of the service's engines."""
        speeds = self._services.get(service)
        if speeds is None:
            return PREFILL_TOKENS_PER_MS
        return speeds.get_tokens_per_ms(self.clock(), engine)

    def drop_departed(self, present: dict[str, EndpointView]) -> None:
        """Drop the samples of endpoints that are not listed any more."""
        for speeds in self._services.values():
            speeds.drop_departed(present)
