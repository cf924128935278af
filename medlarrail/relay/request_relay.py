"""Admits callers' requests under the active deployment document and answers them."""

from collections.abc import Sequence

import eliot
import trio
from attrs import define, field, frozen

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.deployment import Deployment, ServiceRule
from medlarrail.core.errors import (
    DeploymentUnknown,
    Draining,
    MalformedRequest,
    MedlarError,
    PictureOutdated,
    TooManyCarried,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import SoftwareRolloutPolicy
from medlarrail.policy.answer_memory import AnswerMemory
from medlarrail.policy.isolation import IsolationPolicy
from medlarrail.policy.prompt_length import PromptMix
from medlarrail.policy.prompt_turns import PromptTurns
from medlarrail.policy.rate_limits import RetryBudget
from medlarrail.policy.shares import get_share
from medlarrail.protocol.stream_origins import REPLY_PREFIX as ORIGIN_REPLY_PREFIX
from medlarrail.relay.blocked_prompts import BlockedPrompts
from medlarrail.relay.context_index import ContextIndex
from medlarrail.relay.crash_reporter import CrashReporter
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.forwarding import MAX_CARRIED, Forwarder
from medlarrail.relay.headers import OWN_ANSWER
from medlarrail.relay.inbound import ServerExchange
from medlarrail.relay.incarnations import IncarnationLookup
from medlarrail.relay.limit_reporter import LimitReporter
from medlarrail.relay.metadata import HeaderCodec, RequestMetadata
from medlarrail.relay.outbound import OutboundPool
from medlarrail.relay.part_directory import (
    NOTICE_PREFIX,
    QUERY_PREFIX,
    REPLY_PREFIX,
    PartDirectory,
)
from medlarrail.relay.prefill_memory import PrefillMemory
from medlarrail.relay.prefill_speeds import ServiceSpeeds
from medlarrail.relay.relayed_request import RelayedRequest
from medlarrail.relay.room_queue import RoomQueue
from medlarrail.relay.shutdown import Shutdown
from medlarrail.relay.startup_hold import DEFAULT_LEFT_S, StartupHold
from medlarrail.relay.stream_origins import StreamOriginDirectory
from medlarrail.relay.stream_version import tell_running_streams
from medlarrail.relay.suspected_requests import SuspectedRequests
from medlarrail.relay.table import Admission, RouteTable
from medlarrail.relay.workload_directory import WorkloadDirectory
from medlarrail.relay.workload_reporter import WorkloadReporter
from medlarrail.relay.workload_tracker import WorkloadTracker

CONNECTION_LIMIT_RATIO = 0.9
"""Fraction of an endpoint's connection limit that all entries together use."""
NO_CONNECTION_LIMIT = 1 << 40
"""Stands for the limit of endpoints that take any number of connections."""
MAINTENANCE_INTERVAL_S = 1.0
"""Pause between two checks of idle connections: a quarter of their idle limit."""


@frozen
class RetryPolicy:
    """Retry budget that all gateways share.

    Within ``window_s`` seconds, the retries to a service may amount to ``ratio`` of
    its requests plus ``slack``.
    """

    window_s: float = 10.0
    ratio: float = 0.2
    slack: float = 10.0


@define(eq=False)
class RequestRelay:
    """Answers callers' requests using this entry's view of the cluster."""

    cluster_view: ClusterView
    header_codec: HeaderCodec
    endpoint_stats: EndpointStats
    retries: RetryPolicy = field(factory=RetryPolicy)
    isolation: IsolationPolicy = field(factory=IsolationPolicy)
    pool: OutboundPool = field(factory=OutboundPool)
    context: ContextIndex | None = None
    parts: PartDirectory | None = None
    prefills: PrefillMemory = field(factory=PrefillMemory)
    workload: WorkloadTracker = field(factory=lambda: WorkloadTracker(""))
    reporter: WorkloadReporter | None = None
    workloads: WorkloadDirectory | None = None
    draining: bool = False
    shutdown: Shutdown = field(factory=Shutdown)
    incarnations: IncarnationLookup = field(factory=IncarnationLookup)
    answer_memory: AnswerMemory = field(factory=AnswerMemory)
    startup: StartupHold | None = None
    """Set while the entry runs as a process that may have to wait for a leader."""
    secret: bytes = field(default=b"", repr=False)
    """Key of the fingerprints and proofs of requests, the same at all entries."""
    table: RouteTable | None = None
    prompt_mix: PromptMix = field(factory=PromptMix)
    standbys: "StandbyConnections | None" = None  # noqa: F821
    """None until an answer ends with its connection."""
    rollouts: "RolloutTraffic | None" = None  # noqa: F821
    """None in a deployment without software rollouts."""
    rollout_reporter: "RolloutReporter | None" = None  # noqa: F821
    crashes: CrashReporter = field(init=False)
    blocked_prompts: BlockedPrompts = field(init=False)
    suspected_requests: SuspectedRequests = field(init=False)
    limits: LimitReporter = field(init=False)
    forwarder: Forwarder = field(init=False)
    origins: StreamOriginDirectory = field(init=False)
    speeds: ServiceSpeeds = field(init=False)
    _budgets: dict[str, RetryBudget] = field(factory=dict)
    _room_queues: dict[str, RoomQueue] = field(factory=dict)
    _prompt_turns: dict[str, PromptTurns] = field(factory=dict)

    def __attrs_post_init__(self):
        entry = self.endpoint_stats.entry
        self.speeds = ServiceSpeeds(lambda: self.endpoint_stats.clock())
        self.crashes = CrashReporter(self.cluster_view, self.pool, entry)
        self.blocked_prompts = BlockedPrompts(self.cluster_view, entry)
        self.suspected_requests = SuspectedRequests(self.cluster_view, entry)
        self.limits = LimitReporter(entry, self.cluster_view.clock)
        self.forwarder = Forwarder(
            self.cluster_view,
            entry,
            self.endpoint_stats.data_centre,
            self.pool,
            self.secret,
        )
        self.crashes.forwarder = self.forwarder
        self.origins = StreamOriginDirectory(self.cluster_view, self.cluster_view.clock)
        self.cluster_view.deployment_listeners.append(self._update_route_table)

    def _update_route_table(self, deployment: Deployment) -> None:
        self.table = RouteTable(deployment)

    def get_budget(self, service: str) -> RetryBudget:
        """Return this entry's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            policy = self.retries
            budget = RetryBudget(policy.window_s, policy.ratio, policy.slack)
            self._budgets[service] = budget
        return budget

    def get_room_queue(self, service: str) -> RoomQueue:
        """Return the requests that wait for room at the endpoints of a service."""
        queue = self._room_queues.get(service)
        if queue is None:
            queue = self._room_queues[service] = RoomQueue()
        return queue

    def get_prompt_turns(self, service: str) -> PromptTurns:
        """Return the long prompts that wait for the engines of a service."""
        return self._prompt_turns.setdefault(service, PromptTurns())

    def record_unframed(self, service: ServiceRule) -> None:
        """Record that an answer has begun that ends with its connection."""
        if self.standbys is None:
            # Imported here because few services send such answers, and each class with
            # generated methods adds half a millisecond to a start.
            from medlarrail.relay.standby import StandbyConnections

            self.standbys = StandbyConnections(self.pool, self.header_codec)
        self.standbys.record_unframed(service)

    async def answer(self, exchange: ServerExchange) -> None:
        """Answer one request, with an error answer if it fails."""
        exchange.request = self.forwarder.take_proof(exchange.request)
        if not exchange.request.forwarded_by:
            await self._answer(exchange)
            return
        get_metrics().count("requests_carried")
        self.forwarder.carried += 1
        try:
            await self._answer(exchange)
        finally:
            self.forwarder.carried -= 1

    async def _answer(self, exchange: ServerExchange) -> None:
        metadata = None
        relayed = None
        try:
            metadata = self.header_codec.read_request(exchange.request.headers)
            await self._wait_for_deployment(metadata)
            admission = self._admit(exchange, metadata)
            relayed = RelayedRequest(self, exchange, metadata, admission)
            await relayed.run()
        except MedlarError as error:
            fallback_answer = relayed.fallback_answer if relayed is not None else None
            if fallback_answer is not None and not exchange.started:
                await fallback_answer.send(exchange)
            else:
                tried = relayed.tried if relayed is not None else ()
                await self.answer_error(exchange, error, metadata, tried)

    async def _wait_for_deployment(self, metadata: RequestMetadata) -> None:
        """Wait a moment for the first deployment document, if this entry is new."""
        if self.table is not None or self.startup is None or self.draining:
            return
        left_s = DEFAULT_LEFT_S
        if metadata.deadline_ms is not None:
            left_s = metadata.deadline_ms / 1000
        await self.startup.wait(lambda: self.table is not None, left_s)

    def _admit(self, exchange: ServerExchange, metadata: RequestMetadata) -> Admission:
        if self.table is None:
            raise DeploymentUnknown()
        if self.draining:
            raise Draining()
        if exchange.request.forwarded_by and self.forwarder.carried > MAX_CARRIED:
            raise TooManyCarried(entry=self.forwarder.entry)
        self.require_confirmed()
        request = exchange.request
        if not request.target.startswith(b"/"):
            raise MalformedRequest(problem="request target is not an absolute path")
        return self.table.admit(request.host, request.path, metadata.key)

    def require_confirmed(self) -> None:
        """Raise ``PictureOutdated`` if the cluster state is too old to use."""
        age_s = self.cluster_view.get_age_s()
        if not self.isolation.allows(age_s):
            raise PictureOutdated(age_s=round(age_s, 3))

    async def answer_error(
        self,
        exchange: ServerExchange,
        error: MedlarError,
        metadata: RequestMetadata | None = None,
        tried: Sequence[str] = (),
    ) -> None:
        """Send the error answer for ``error``.

        ``tried`` lists the endpoints that the request was sent to.
        """
        refusal = self.header_codec.build_refusal(error)
        get_metrics().count("refusals", reason=type(error).__name__)
        eliot.log_message(
            "request:refused",
            request=metadata.request_id if metadata else "",
            path=exchange.request.path,
            status=refusal.status,
            retry_after_s=refusal.retry_after_s,
            reason=str(error),
            tried=list(tried),
            version=self.cluster_view.get_version(),
            picture_age_s=round(self.cluster_view.get_age_s(), 3),
        )
        if exchange.started:
            exchange.abort()
            return
        headers, body = self.header_codec.write_refusal(refusal, metadata)
        if exchange.request.forwarded_by:
            headers.append((OWN_ANSWER, type(error).__name__.encode()))
        await exchange.send_whole(refusal.status, headers, body)

    def count_reporting_entries(self) -> int:
        """Return the number of entries that report their workload to this one.

        Without reports, all others are assumed to have as much as this entry.
        """
        if self.reporter is None:
            return self.cluster_view.entry_count
        return self.reporter.count_reporting_entries()

    def connect_part_directory(self, work_address: str) -> None:
        """Find parts in stores that others follow, over the socket of the reports."""
        self.parts = PartDirectory(
            self.cluster_view,
            self.context,
            self.reporter.datagram_socket,
            work_address,
            prefills=self.prefills,
        )
        self.reporter.handlers[QUERY_PREFIX] = self.parts.handle_query
        self.reporter.handlers[NOTICE_PREFIX] = self.parts.handle_notice
        self.reporter.handlers[REPLY_PREFIX] = self.parts.queries.handle_reply

    def connect_stream_origins(self, work_address: str) -> None:
        """Tell and ask state members of streams, over the socket of the reports."""
        self.origins.connect(self.reporter.datagram_socket, work_address)
        self.reporter.handlers[ORIGIN_REPLY_PREFIX] = self.origins.handle_reply

    def enable_rollouts(self, policy: SoftwareRolloutPolicy) -> None:
        """Apply software rollouts, and report what this entry sees of them."""
        # Imported here because most deployments don't use them, and each class with
        # generated methods adds half a millisecond to a start.
        from medlarrail.relay.rollout_reporter import RolloutReporter
        from medlarrail.relay.rollout_traffic import RolloutTraffic

        self.rollouts = RolloutTraffic(policy, self.endpoint_stats)
        self.rollout_reporter = RolloutReporter(self.rollouts, self.crashes.state)

    def connect_state(self, state: StateClient) -> None:
        """Set the client for reports to the leading state member."""
        self.crashes.state = self.blocked_prompts.state = state
        self.suspected_requests.state = self.limits.state = state
        self.incarnations.state = state
        if self.rollout_reporter is not None:
            self.rollout_reporter.state = state

    async def run_reporters(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Report crashes and named rates, and probe endpoints, until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.crashes.run)
            nursery.start_soon(self.limits.run)
            nursery.start_soon(self.forwarder.run)
            nursery.start_soon(tell_running_streams, self)
            if self.rollout_reporter is not None:
                nursery.start_soon(self.rollout_reporter.run)
            task_status.started()

    async def maintain(self) -> None:
        """Close stale connections and drop departed endpoints until cancelled."""
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            self.pool.close_expired()
            self.forwarder.pool.close_expired()
            for name in self.endpoint_stats.drop_departed():
                self.limits.drop(name)
            self.speeds.drop_departed(self.cluster_view.endpoints)
            present = {
                endpoint.announced.address
                for endpoint in self.cluster_view.endpoints.values()
            }
            for address in set(self.pool.idle) - present:
                self.pool.close_address(address)

    def get_connection_limit(self, service: ServiceRule, endpoint: str) -> int:
        """Return the maximum number of connections from this entry to ``endpoint``.

        The limits of all entries add up to at most ``max_connections``. Where that is
        too little for every entry, some may not use the endpoint.
        """
        total = _get_total_connections(service)
        rank = self.endpoint_stats.rank.get(endpoint)
        return get_share(total, self.cluster_view.entry_count, rank)

    def has_free_connection(self, service: ServiceRule, endpoint: str) -> bool:
        """Return whether this entry may open another connection to ``endpoint``."""
        in_flight = self.endpoint_stats.get_record(endpoint).in_flight
        # The part of every entry is at least the rounded-down quotient.
        least = _get_total_connections(service) // self.cluster_view.entry_count
        return in_flight < least or (
            in_flight < self.get_connection_limit(service, endpoint)
        )


def _get_total_connections(service: ServiceRule) -> int:
    """Return the maximum number of connections from all entries to an endpoint."""
    if not service.max_connections:
        return NO_CONNECTION_LIMIT
    return max(1, int(service.max_connections * CONNECTION_LIMIT_RATIO))
