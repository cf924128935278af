"""Keeps one stream at the software version that began it, over all its attempts."""

import eliot
from attrs import define

from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import StreamVersionUnknown, UnknownRoute
from medlarrail.policy.stream_versions import (
    choose_stream_version,
    is_version_certain,
)
from medlarrail.relay.incarnations import ANNOUNCEMENT_TIMEOUT_S


@define(eq=False)
class StreamVersion:
    """The software version at which the stream ``relayed`` has to go on."""

    relayed: "RelayedRequest"  # noqa: F821
    version: str | None = None
    """None before the first event: the stream may begin at any version."""
    _first_attempt: "Attempt | None" = None  # noqa: F821
    """The attempt that began the stream, until its endpoint's version is certain."""

    def allows(self, announced: Announcement) -> bool:
        """Return whether the stream may begin or go on at an endpoint."""
        return self.version is None or announced.software_version == self.version

    async def resolve(self) -> None:
        """Find the version of a stream that goes on.

        Raises ``StreamVersionUnknown`` if several may have begun it.
        """
        relayed = self.relayed
        is_stream = relayed.admission.route.kind == "stream"
        if self._first_attempt is not None:
            await self._check_first_attempt(self._first_attempt)
        if self.version is not None or not relayed.last_event_id or not is_stream:
            return
        relay = relayed.relay
        service = relayed.service.name
        found = await relay.origins.find(relayed.origin_id)
        versions = relay.cluster_view.list_stream_versions(service)
        view_age_s = relay.cluster_view.get_age_s()
        if found.origin is not None and found.origin.service != service:
            version = None
        else:
            version = choose_stream_version(
                found.origin.software_version if found.origin else None,
                versions,
                found.keepers_replied,
                view_age_s,
            )
        eliot.log_message(
            "stream:resumed",
            request=relayed.metadata.request_id,
            began_as=relayed.origin_id,
            service=service,
            version=version,
            recorded=found.origin is not None,
            keepers_replied=found.keepers_replied,
            versions=sorted(versions),
            picture_age_s=round(view_age_s, 3),
        )
        if version is None:
            raise StreamVersionUnknown(service=service)
        self.version = version

    async def _check_first_attempt(self, attempt: "Attempt") -> None:  # noqa: F821
        """Find the version of the process that began the stream.

        Raises ``StreamVersionUnknown`` if it may be another one than was announced.
        """
        relayed = self.relayed
        view = relayed.relay.cluster_view
        service = relayed.service.name
        versions = view.list_stream_versions(service)
        if is_version_certain(self.version, versions, view.get_age_s()):
            return
        try:
            found = await relayed.relay.incarnations.find(
                attempt.endpoint.announced.name,
                attempt.connection.opened_at,
                attempt.connection.seen_open_at,
                ANNOUNCEMENT_TIMEOUT_S,
            )
        except UnknownRoute:
            return
        if found is None:
            raise StreamVersionUnknown(service=service)
        self.version = found.software_version
        self._first_attempt = None

    def record_begun(self, attempt: "Attempt") -> None:  # noqa: F821
        """Record that events of an attempt are about to be sent to the caller."""
        if self.version is None:
            self.version = attempt.endpoint.announced.software_version
            self._first_attempt = attempt
        relayed = self.relayed
        if relayed.origin_id:
            relayed.relay.origins.record(
                relayed.origin_id, relayed.service.name, self.version
            )
