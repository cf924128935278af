"""What an endpoint says of itself in the headers of an answer."""

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.relay.metadata import AnswerMetadata


def record_statements(
    relay: "RequestRelay",  # noqa: F821
    endpoint: EndpointView,
    metadata: AnswerMetadata,
) -> None:
    """Record what ``endpoint`` says in ``metadata`` for the requests that follow.

    A late copy of an answer, or one by the next process at the address, may name
    another endpoint; what says nothing of this one is left out.
    """
    _record_named_rate(relay, endpoint, metadata)
    _record_rejection_limit(relay, endpoint, metadata)
    _record_retry_after(relay, endpoint, metadata)
    _record_leaving(relay, endpoint, metadata)


def _record_named_rate(
    relay: "RequestRelay",  # noqa: F821
    endpoint: EndpointView,
    metadata: AnswerMetadata,
) -> None:
    """Record the rate that the answer names; only a run proves that it ended."""
    per_s = metadata.limit_per_s
    is_run = metadata.verified and not metadata.not_run
    if metadata.misdirected or (per_s is None and not is_run):
        return
    relay.endpoint_stats.record_named_rate(endpoint, per_s)
    relay.limits.record(endpoint, per_s)


def _record_rejection_limit(
    relay: "RequestRelay",  # noqa: F821
    endpoint: EndpointView,
    metadata: AnswerMetadata,
) -> None:
    """Record how many rejections the endpoint bears; it says so in each answer."""
    per_s = metadata.max_rejections_per_s
    is_own = metadata.verified or metadata.not_run
    if metadata.misdirected or (per_s is None and not is_own):
        return
    relay.endpoint_stats.room.record_statement(
        endpoint.announced, per_s, metadata.not_run
    )


def _record_retry_after(
    relay: "RequestRelay",  # noqa: F821
    endpoint: EndpointView,
    metadata: AnswerMetadata,
) -> None:
    """Record whether the answer asks for a time without requests."""
    announced = endpoint.announced
    stats = relay.endpoint_stats
    now = stats.clock()
    if metadata.retry_after_s:
        if metadata.endpoint in ("", announced.name):
            stats.back_offs.record_requested(announced, metadata.retry_after_s, now)
    elif not metadata.not_run and not metadata.misdirected:
        stats.back_offs.record_accepted(announced, now)


def _record_leaving(
    relay: "RequestRelay",  # noqa: F821
    endpoint: EndpointView,
    metadata: AnswerMetadata,
) -> None:
    """Record that the endpoint is leaving, unless another one has answered."""
    announced = endpoint.announced
    if metadata.leaving and metadata.endpoint in ("", announced.name):
        relay.endpoint_stats.leaving.record(announced)
