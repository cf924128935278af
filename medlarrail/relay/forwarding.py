"""Lets other entries carry requests while this one is partitioned from endpoints.

A forwarded request is the caller's own with its deadline reduced by the time spent, and
with a header that proves which entry sent it. The entry that receives it treats it as
a caller's, but never forwards it again. Answers that it generates itself are marked,
so that a refusal can lead to another entry.
"""

import hmac
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from contextlib import contextmanager
from random import Random

import eliot
import trio
from attrs import define, evolve, field

from medlarrail.cluster.cluster_view import ClusterView, EndpointView
from medlarrail.core.announcements import Announcement
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.errors import (
    AnswerTruncated,
    ConnectionsUsedUp,
    DeploymentUnknown,
    Draining,
    EndpointUnreachable,
    NoEndpoint,
    PeerRefused,
    PictureOutdated,
    ServiceUnreachable,
    TooManyCarried,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_end import EndEvidence
from medlarrail.policy.peer_choice import Peer, choose_peer
from medlarrail.policy.reachability import PROBE_INTERVAL_S, Reachability
from medlarrail.relay.attempt import Attempt
from medlarrail.relay.buffered_answer import relay_buffered
from medlarrail.relay.fingerprint import hash_fields
from medlarrail.relay.headers import (
    FORWARDED_BY,
    OWN_ANSWER,
    get_header,
    iterate_end_to_end,
)
from medlarrail.relay.metadata import AnswerMetadata, Header, InboundRequest
from medlarrail.relay.outbound import OutboundPool
from medlarrail.relay.outbound_connection import AnswerHead, OutboundConnection

SIGNATURE_BYTES = 24
UNAVAILABLE_S = 1.0
"""Time for which an entry that refused or did not answer is not asked again."""
MAX_PEERS = 3
"""Entries that one request is offered to."""
MAX_CARRIED = 200
"""Maximum requests of other entries at a time, so that their number does not crowd out
this entry's own callers."""
REFUSAL_STATUSES = (429, 503)
UNAVAILABLE_REASONS = frozenset(
    error.__name__
    for error in (
        DeploymentUnknown,
        Draining,
        EndpointUnreachable,
        NoEndpoint,
        PictureOutdated,
        ServiceUnreachable,
        TooManyCarried,
    )
)
"""Refusals by which another entry says that it cannot carry requests now."""
MAX_RETRY_AFTER_S = 60.0


def sign_request(
    secret: bytes,
    entry: str,
    method: bytes,
    target: bytes,
    headers: Iterable[Header],
    body: bytes,
) -> str:
    """Return the keyed hash of a request that ``entry`` forwards."""
    lines = [name.lower() + b":" + value for name, value in headers]
    fields = (entry.encode("latin1"), method, target, b"\n".join(lines), body)
    return hash_fields(secret, fields, SIGNATURE_BYTES, b"forwarded")


@define(eq=False)
class Forwarder:
    """The reachability of each service, and the entries that may carry requests.

    ``entry`` is the name of this entry; ``secret`` is the same at all entries, and
    without one nothing is forwarded or carried.
    """

    cluster_view: ClusterView
    entry: str
    data_centre: str
    endpoint_pool: OutboundPool
    secret: bytes = field(default=b"", repr=False)
    clock: Clock = get_boottime
    random: Random = field(factory=Random)
    pool: OutboundPool = field(factory=OutboundPool)
    """Connections to other entries."""
    carried: int = 0
    """Requests of other entries in progress here."""
    _reachability: dict[str, Reachability] = field(factory=dict)
    _in_flight: Counter[str] = field(factory=Counter)
    _unavailable_until: dict[str, float] = field(factory=dict)
    _partition_suspected: trio.Event = field(factory=trio.Event)

    # Reachability of the endpoints.

    def is_partitioned(self, service: str) -> bool:
        """Return whether no endpoint of ``service`` can be reached from here."""
        reachability = self._reachability.get(service)
        return reachability is not None and reachability.is_partitioned

    def record_unreachable(self, announced: Announcement) -> None:
        """Record that a connection to an endpoint failed."""
        service = announced.service
        reachability = self._reachability.setdefault(service, Reachability())
        was_partitioned = reachability.is_partitioned
        count = sum(1 for _ in self._iterate_endpoints(service))
        reachability.record_failed(announced.name, count, self.clock())
        if reachability.is_partitioned and not was_partitioned:
            get_metrics().count("partitions_suspected", service=service)
            eliot.log_message("service:unreachable", service=service, endpoints=count)
            self._partition_suspected.set()

    def record_connected(self, service: str) -> None:
        """Record that a connection to an endpoint of ``service`` was made."""
        reachability = self._reachability.get(service)
        if reachability is None:
            return
        was_partitioned = reachability.is_partitioned
        reachability.record_connected()
        if was_partitioned and not reachability.is_partitioned:
            eliot.log_message("service:reachable", service=service)

    def record_outage(self, service: str) -> None:
        """Record that the other entries that were asked do not reach ``service``."""
        reachability = self._reachability.get(service)
        if reachability is not None:
            reachability.record_outage(self.clock())

    def record_carried(self, service: str) -> None:
        """Record that another entry reaches ``service``."""
        reachability = self._reachability.get(service)
        if reachability is not None:
            reachability.record_carried()

    def is_outage(self, service: str) -> bool:
        """Return whether neither this entry nor the others reach a service."""
        reachability = self._reachability.get(service)
        return reachability is not None and reachability.is_outage(self.clock())

    def _iterate_endpoints(self, service: str) -> Iterator[EndpointView]:
        for endpoint in self.cluster_view.endpoints.values():
            if endpoint.announced.service == service:
                yield endpoint

    async def run(self) -> None:
        """Probe the endpoints of unreachable services until cancelled."""
        while True:
            await self._partition_suspected.wait()
            self._partition_suspected = trio.Event()
            while services := self._list_partitioned():
                for service in services:
                    await self._probe(service)
                await trio.sleep(PROBE_INTERVAL_S)

    def _list_partitioned(self) -> list[str]:
        return [name for name in self._reachability if self.is_partitioned(name)]

    async def _probe(self, service: str) -> None:
        endpoints = [
            endpoint.announced
            for endpoint in self._iterate_endpoints(service)
            if endpoint.announced.state == "ready"
        ]
        if not endpoints:
            del self._reachability[service]
            return
        announced = self.random.choice(endpoints)
        open_count = self.endpoint_pool.count_open(announced.address)
        try:
            connection = await self.endpoint_pool.acquire(
                announced.address, new_connection=True, limit=max(1, open_count)
            )
        except EndpointUnreachable:
            self.record_unreachable(announced)
        except ConnectionsUsedUp:
            get_metrics().count("probes_skipped", service=service)
        else:
            self.endpoint_pool.discard(connection)
            self.record_connected(service)

    # Other entries.

    def list_peers(self) -> list[Peer]:
        """Return the other entries that serve callers."""
        now = self.clock()
        return [
            Peer(
                entry.name,
                entry.address,
                entry.data_centre,
                self._in_flight[entry.name],
                self._unavailable_until.get(entry.name, now) <= now,
            )
            for entry in self.cluster_view.entries
            if entry.name != self.entry
        ]

    def iterate_choices(self, names: Collection[str] = ()) -> Iterator[Peer]:
        """Yield entries to offer a request to, of ``names`` or of all."""
        tried_data_centres: list[str] = []
        for _ in range(MAX_PEERS if self.secret else 0):
            peers = [
                peer for peer in self.list_peers() if not names or peer.name in names
            ]
            peer = choose_peer(peers, self.data_centre, tried_data_centres, self.random)
            if peer is None:
                return
            yield peer
            tried_data_centres.append(peer.data_centre)

    def record_unavailable(self, peer: Peer) -> None:
        """Record that an entry refused a request or did not answer."""
        now = self.clock()
        self._unavailable_until[peer.name] = now + UNAVAILABLE_S
        listed = {entry.name for entry in self.cluster_view.entries}
        for name in set(self._unavailable_until) - listed:
            del self._unavailable_until[name]

    @contextmanager
    def count_in_flight(self, peer: Peer) -> Iterator[None]:
        """Count one request as carried by ``peer`` until the block ends."""
        self._in_flight[peer.name] += 1
        try:
            yield
        finally:
            self._in_flight[peer.name] -= 1
            if not self._in_flight[peer.name]:
                del self._in_flight[peer.name]

    # Forwarded requests.

    def build_headers(
        self, request: InboundRequest, headers: list[Header]
    ) -> list[Header]:
        """Return ``headers`` of a request with the proof of this entry."""
        signature = sign_request(
            self.secret,
            self.entry,
            request.method,
            request.target,
            headers,
            request.body,
        )
        proof = f"{self.entry} {signature}".encode("latin1")
        return [*headers, (FORWARDED_BY, proof)]

    def take_proof(self, request: InboundRequest) -> InboundRequest:
        """Return a request without the header that only entries may set.

        ``forwarded_by`` is set if the header proves that another entry sent it.
        """
        proof = get_header(request.headers, FORWARDED_BY)
        if proof is None:
            return request
        headers = tuple(
            header for header in request.headers if header[0].lower() != FORWARDED_BY
        )
        entry, _, signature = proof.decode("latin1").partition(" ")
        expected = sign_request(
            self.secret,
            entry,
            request.method,
            request.target,
            iterate_end_to_end(headers),
            request.body,
        )
        if not self.secret or not hmac.compare_digest(
            signature.encode("latin1"), expected.encode()
        ):
            get_metrics().count("forwarding_unproven")
            return evolve(request, headers=headers)
        return evolve(request, headers=headers, forwarded_by=entry)


@define(eq=False)
class ForwardedAttempt(Attempt):
    """One attempt to let another entry run the request, and relay its answer.

    Raises ``EndpointUnreachable`` if nothing was sent, ``PeerRefused`` if the entry
    states that nothing ran, and a ``RunFailure`` if the request may have run.
    """

    def get_failure_status(self) -> int | None:
        """The entry has made the attempts that the route allows."""
        return None

    def record_stream_begun(self) -> None:
        """The other entry knows the endpoint, and records it."""

    def _start_standby(self, nursery: trio.Nursery) -> None:
        """The other entry proves the end of its answer."""

    async def _check_end(self, connection: OutboundConnection) -> EndEvidence:
        """Entries pass on complete answers in a framing that proves the end.

        Those of the version before don't.
        """
        return EndEvidence.PEER

    async def run(self) -> None:
        """Send the request and relay the answer to the caller."""
        relayed = self.relayed
        forwarder = relayed.relay.forwarder
        route = relayed.admission.route
        connection = await forwarder.pool.acquire(
            self.endpoint.announced.address, new_connection=not route.repeatable
        )
        try:
            relayed.may_be_running = True
            if route.kind == "once":
                relayed.exchange.detached = True
            request = relayed.exchange.request
            headers = relayed.relay.header_codec.write_forwarded(
                request.headers,
                max(1, int(relayed.get_remaining_s() * 1000)),
                relayed.last_event_id,
                relayed.stream_version.named_id if relayed.last_event_id else "",
            )
            self._started_at = trio.current_time()
            failure = await self._exchange(
                connection, forwarder.build_headers(request, headers)
            )
            if failure is not None:
                raise failure
        finally:
            forwarder.pool.release(connection, None)

    async def _relay_answer(self, connection: OutboundConnection) -> None:
        head = await connection.read_head()
        self.status, self.framing = head.status, head.framing
        reason = get_header(head.headers, OWN_ANSWER)
        if reason is None:
            self._check_answer(head)
            await self._relay_body(connection, head)
            return
        if head.status in REFUSAL_STATUSES:
            await self._handle_refusal(connection, head, reason.decode("latin1"))
        await relay_buffered(self, connection, head)

    def _check_answer(self, head: AnswerHead) -> None:
        """Raise unless an endpoint vouches that it answered this request."""
        metadata = self.relayed.relay.header_codec.read_answer(
            head.status, head.headers
        )
        self._require_own_answer(metadata)
        if not metadata.verified:
            raise AnswerTruncated(endpoint=self.endpoint.announced.name)
        self._record_leaving_endpoint(metadata)
        self.relayed.relay.endpoint_stats.room.record_carried_statement(
            self.relayed.service.name, metadata.max_rejections_per_s
        )

    def _record_leaving_endpoint(self, metadata: AnswerMetadata) -> None:
        """Record the endpoint behind the other entry, which says that it is leaving."""
        relay = self.relayed.relay
        view = relay.cluster_view.endpoints.get(metadata.endpoint)
        if metadata.leaving and view is not None:
            relay.endpoint_stats.leaving.record(view.announced)

    async def _handle_refusal(
        self, connection: OutboundConnection, head: AnswerHead, reason: str
    ) -> None:
        await self._skip_body(connection)
        raise PeerRefused(
            entry=self.endpoint.announced.name,
            reason=reason,
            answered=head.status,
            retry_after_s=_parse_seconds(get_header(head.headers, b"retry-after")),
        )


def _parse_seconds(value: bytes | None) -> float | None:
    """Return the seconds in a header of another entry, None if there are none."""
    try:
        seconds = float(value or b"")
    except ValueError:
        return None
    return seconds if 0 <= seconds <= MAX_RETRY_AFTER_S else None
