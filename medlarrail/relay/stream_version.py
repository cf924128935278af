"""Keeps one stream at the software version that began it, over all its attempts."""

import eliot
from attrs import define, evolve

from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import MedlarError, StreamVersionUnknown, UnknownRoute
from medlarrail.policy.stream_versions import choose_stream_version
from medlarrail.relay.incarnations import ANNOUNCEMENT_TIMEOUT_S
from medlarrail.relay.outbound import OutboundConnection
from medlarrail.relay.stream_origins import BeginConnection, FoundOrigin


@define(eq=False)
class StreamVersion:
    """The software version at which the stream ``relayed`` has to go on."""

    relayed: "RelayedRequest"  # noqa: F821
    version: str | None = None
    """None before the first event: the stream may begin at any version."""
    _connection: BeginConnection | None = None
    """The connection of the first event, if it is known."""
    _own_connection: OutboundConnection | None = None
    """The same, if this entry sent the first event in this request."""
    _proven: bool = False
    """Whether the process that began the stream is known to have this version."""
    evidence: str = ""
    """What tells the version, for the log: ``report`` and ``announcements`` of the
    process, a proven ``origin``, or without a proof one that is ``recorded``,
    ``announced`` of the endpoint, or the only one that is ``listed``."""
    told_keepers: tuple[str, ...] = ()
    """State members that were told of the stream."""

    @property
    def _is_unnamed(self) -> bool:
        """Whether a caller takes the stream up without naming its first request.

        Nobody can find such a stream, now or later.
        """
        metadata = self.relayed.metadata
        return bool(metadata.last_event_id) and not metadata.resumes

    def allows(self, announced: Announcement) -> bool:
        """Return whether the stream may begin or go on at an endpoint."""
        return self.version is None or announced.software_version == self.version

    async def resolve(self) -> None:
        """Find the version of a stream that goes on.

        Raises ``StreamVersionUnknown`` if several may have begun it.
        """
        await self._find_recorded()
        await self._prove()

    async def _find_recorded(self) -> None:
        """Find the version that is recorded of a stream that a caller takes up."""
        relayed = self.relayed
        is_stream = relayed.admission.route.kind == "stream"
        if self.version is not None or not relayed.last_event_id or not is_stream:
            return
        relay = relayed.relay
        view = relay.cluster_view
        service = relayed.service.name
        if self._is_unnamed and not view.may_have_untold_streams():
            found = FoundOrigin(None)
        else:
            found = await relay.origins.find(relayed.origin_id)
        versions = view.list_stream_versions(service)
        # If each entry tells of all streams, what was told of this one is lost, or its
        # caller has not named it.
        never_told = found.never_told and view.may_have_untold_streams()
        if found.origin is not None and found.origin.service != service:
            version = None
        else:
            version = choose_stream_version(
                found.origin.software_version if found.origin else None,
                versions,
                never_told,
            )
        eliot.log_message(
            "stream:resumed",
            request=relayed.metadata.request_id,
            began_as=relayed.origin_id,
            service=service,
            version=version,
            recorded=found.origin is not None,
            endpoint=found.connection.endpoint if found.connection else None,
            proven=found.origin is not None and found.origin.proven,
            keepers_replied=found.keepers_replied,
            keepers=found.keepers,
            reason=self._explain_unknown(found) if version is None else "",
            never_told=never_told,
            versions=sorted(versions),
            picture_age_s=round(view.get_age_s(), 3),
        )
        if version is None:
            retry_after_s = relayed.get_remaining_s() if self._is_unnamed else None
            raise StreamVersionUnknown(service=service, retry_after_s=retry_after_s)
        self.version = version
        self._connection = found.connection
        self._proven = found.origin is not None and found.origin.proven
        if found.origin is None:
            self.evidence = "listed"
        else:
            self.evidence = "origin" if self._proven else "recorded"

    def _explain_unknown(self, found: FoundOrigin) -> str:
        """Return why the version of a stream that a caller takes up is not known."""
        if found.origin is not None:
            return "other service"
        if self._is_unnamed:
            return "not named"
        if not found.keepers_replied:
            return "no keeper replied"
        return "not recorded" if found.never_told else "forgotten"

    async def _prove(self) -> None:
        """Find the version of the process that began the stream.

        The listed versions prove nothing: a process may send events before anybody
        has heard of it. Raises ``StreamVersionUnknown`` if nothing tells the version.
        """
        relayed = self.relayed
        if self._proven or self._connection is None:
            return
        if self._own_connection is not None:
            self._update_connection()
        connection = self._connection
        announced, found, reason = self.version, None, ""
        try:
            found = await relayed.relay.incarnations.find(
                connection.endpoint,
                connection.opened_at,
                connection.closed_at,
                ANNOUNCEMENT_TIMEOUT_S,
                self._own_connection.address if self._own_connection else "",
                relayed.metadata.request_id,
            )
        except UnknownRoute:
            reason = "leader of an older version"
        except MedlarError:
            reason = "leader unanswered"
        if found is not None:
            self.version = found.software_version
            self._proven = True
            self.evidence = "announcements"
        else:
            reason = reason or "process unknown"
        self._log_proof(announced, connection, found, reason)
        if not self._proven:
            raise StreamVersionUnknown(service=relayed.service.name)

    def _update_connection(self) -> None:
        """Use what later answers of the process have shown since the first event."""
        span = self.relayed.relay.pool.find_span(self._own_connection)
        self._connection = evolve(
            self._connection, opened_at=span.since, closed_at=span.until
        )

    def _log_proof(
        self,
        announced: str,
        connection: BeginConnection,
        found: "HeardIncarnation | None",  # noqa: F821
        reason: str,
    ) -> None:
        relayed = self.relayed
        eliot.log_message(
            "stream:version",
            request=relayed.metadata.request_id,
            began_as=relayed.origin_id,
            service=relayed.service.name,
            endpoint=connection.endpoint,
            proven=self._proven,
            announced=announced,
            version=self.version if self._proven else None,
            started_ms=found.started_ms if found else None,
            reason=reason,
            is_own=self._own_connection is not None,
            known_for_s=round(connection.closed_at - connection.opened_at, 3),
            versions=sorted(
                relayed.relay.cluster_view.list_stream_versions(relayed.service.name)
            ),
        )

    def record_begun(self, attempt: "Attempt") -> None:  # noqa: F821
        """Record that events of an attempt are about to be sent to the caller."""
        if self.version is None:
            self.version = attempt.endpoint.announced.software_version
            self._own_connection = attempt.connection
            # What the endpoint sent was sent after its request. The connection may have
            # ended long before the end arrives here, so that proves no more.
            announced = attempt.endpoint.announced
            span = self.relayed.relay.pool.find_span(attempt.connection)
            self._connection = BeginConnection(announced.name, span.since, span.until)
            # The process has told its start in a report, so its announcement is known.
            self._proven = 0 != span.started_ms == announced.started_ms
            self.evidence = "report" if self._proven else "announced"
        relayed = self.relayed
        is_listed_only = self._connection is None and not self._proven
        if relayed.origin_id and not is_listed_only:
            self.told_keepers = relayed.relay.origins.record(
                relayed.origin_id,
                relayed.service.name,
                self.version,
                self._connection,
                self._proven,
                relayed.admission.route.resumable,
            )
