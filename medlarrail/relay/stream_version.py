"""Keeps one stream at the software version that began it, over all its attempts."""

from secrets import token_hex

import eliot
import trio
from attrs import define, evolve

from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import MedlarError, StreamVersionUnknown, UnknownRoute
from medlarrail.policy.stream_versions import TELL_INTERVAL_S, choose_stream_version
from medlarrail.relay.incarnations import ANNOUNCEMENT_TIMEOUT_S
from medlarrail.relay.outbound_connection import OutboundConnection
from medlarrail.relay.stream_origins import NO_REPLY, BeginConnection, FoundOrigin

TOLD_AT_ONCE = 20
"""Streams of which state members are told again without a pause."""
UNKNOWN_PROCESS = "process unknown"
"""Reason in logs: nobody has heard of the process that began the stream."""


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
    ``announced`` of the endpoint, or the only one that is ``listed``. By
    ``content`` it is that of all streams of the same request, if a caller does not name
    its own."""
    told_keepers: tuple[str, ...] = ()
    """State members that were told of the stream."""
    _recorded_id: str = ""
    """ID by which the stream is recorded: a random one if its request has none."""

    @property
    def _is_unnamed(self) -> bool:
        """Whether a caller takes the stream up without naming its first request."""
        metadata = self.relayed.metadata
        return bool(metadata.last_event_id) and not metadata.resumes

    @property
    def named_id(self) -> str:
        """ID by which another entry finds a stream that goes on, empty if by none."""
        is_known = self.told_keepers or not self._is_unnamed
        return self.relayed.origin_id if is_known else ""

    def allows(self, announced: Announcement) -> bool:
        """Return whether the stream may begin or go on at an endpoint."""
        return self.version is None or announced.software_version == self.version

    async def resolve(self) -> None:
        """Find the version of a stream that goes on.

        Raises ``StreamVersionUnknown`` if several may have begun it.
        """
        relayed = self.relayed
        is_stream = relayed.admission.route.kind == "stream"
        if self.version is None and relayed.last_event_id and is_stream:
            if self._is_unnamed:
                await self._find_by_content()
            else:
                await self._find_recorded()
        await self._prove()

    async def _find_by_content(self) -> None:
        """Find the version of all streams that may be the one that a caller takes up.

        They are those with the same content. Several of one version are as good as one.
        """
        relayed = self.relayed
        view = relayed.relay.cluster_view
        service = relayed.service.name
        content = relayed.evidence.fingerprint.digest
        origins = relayed.relay.origins
        candidates, reason, members = await origins.list_candidates(content)
        versions: set[str | None] = set()
        may_be_untold = view.may_have_untold_contents()
        if not reason and any(one.origin.service != service for one in candidates):
            reason = "other service"
        if not reason:
            versions = await self._prove_all(candidates)
            if may_be_untold and (candidates or view.may_have_untold_streams()):
                # Entries of the version before tell contents to nobody.
                versions |= view.list_stream_versions(service)
            reason = _explain_versions(versions)
        eliot.log_message(
            "stream:resumed-unnamed",
            request=relayed.metadata.request_id,
            content=content,
            service=service,
            candidates=[
                (one.origin.stream, one.origin.software_version) for one in candidates
            ],
            versions=sorted(str(version) for version in versions),
            members=members,
            reason=reason,
        )
        if reason:
            may_change = reason in (NO_REPLY, UNKNOWN_PROCESS)
            raise StreamVersionUnknown(
                service=service,
                retry_after_s=None if may_change else relayed.get_remaining_s(),
            )
        (self.version,) = versions
        self._proven = bool(candidates) and not may_be_untold
        self.evidence = "content" if self._proven else "listed"

    async def _prove_all(self, candidates: list[FoundOrigin]) -> set[str | None]:
        """Return the versions that began streams, with None for one that is unknown."""
        versions: set[str | None] = set()

        async def prove(connection: BeginConnection) -> None:
            found, _ = await self._find_incarnation(connection)
            versions.add(found.software_version if found is not None else None)

        async with trio.open_nursery() as nursery:
            for one in candidates:
                if one.origin.proven:
                    versions.add(one.origin.software_version)
                elif one.connection is None:
                    versions.add(None)
                else:
                    nursery.start_soon(prove, one.connection)
        return versions

    async def _find_recorded(self) -> None:
        """Find the version that is recorded of a stream that a caller names."""
        relayed = self.relayed
        relay = relayed.relay
        view = relay.cluster_view
        service = relayed.service.name
        found = await relay.origins.find(relayed.origin_id)
        versions = view.list_stream_versions(service)
        # If each entry tells of all streams, what was told of this one is lost.
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
            raise StreamVersionUnknown(service=service)
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
        if not found.keepers_replied:
            return NO_REPLY
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
        connection, announced = self._connection, self.version
        found, reason = await self._find_incarnation(connection)
        if found is not None:
            self.version = found.software_version
            self._proven = True
            self.evidence = "announcements"
        self._log_proof(announced, connection, found, reason)
        if not self._proven:
            raise StreamVersionUnknown(service=relayed.service.name)

    async def _find_incarnation(
        self, connection: BeginConnection
    ) -> tuple["HeardIncarnation | None", str]:  # noqa: F821
        """Return the process that had a connection, or None and why it is unknown."""
        relayed = self.relayed
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
            return None, "leader of an older version"
        except MedlarError:
            return None, "leader unanswered"
        return found, "" if found is not None else UNKNOWN_PROCESS

    def _update_connection(self) -> None:
        """Use what later answers of the process have shown since the first event."""
        span = self.relayed.relay.pool.processes.find_span(self._own_connection)
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
            span = self.relayed.relay.pool.processes.find_span(attempt.connection)
            self._connection = BeginConnection(announced.name, span.since, span.until)
            # The process has told its start in a report, so its announcement is known.
            self._proven = 0 != span.started_ms == announced.started_ms
            self.evidence = "report" if self._proven else "announced"
        is_listed_only = self._connection is None and not self._proven
        if not is_listed_only:
            self._record()

    def _record(self) -> None:
        relayed = self.relayed
        resumable = relayed.admission.route.resumable
        self._recorded_id = self._recorded_id or relayed.origin_id or token_hex(8)
        self.told_keepers = relayed.relay.origins.record(
            self._recorded_id,
            relayed.service.name,
            self.version,
            self._connection,
            self._proven,
            resumable,
            relayed.evidence.fingerprint.digest if resumable else "",
        )

    def tell_again(self) -> None:
        """Tell state members again of a stream that goes on, so that they keep it."""
        if self.told_keepers:
            self._record()


def _explain_versions(versions: set[str | None]) -> str:
    """Return why these do not tell the version of a stream, empty if they do."""
    if not versions:
        return "not recorded"
    if None in versions:
        return UNKNOWN_PROCESS
    return "several versions" if len(versions) > 1 else ""


async def tell_running_streams(relay: "RequestRelay") -> None:  # noqa: F821
    """Tell state members again of all streams that callers may take up.

    They are told over the whole interval, since what does not fit in the members'
    sockets at once is lost.
    """
    while True:
        active = list(relay.shutdown.active)
        batches = range(0, max(1, len(active)), TOLD_AT_ONCE)
        for first in batches:
            for relayed in active[first : first + TOLD_AT_ONCE]:
                relayed.stream_version.tell_again()
            await trio.sleep(TELL_INTERVAL_S / len(batches))
