"""Keeps the software versions that may have begun streams, on the leading state member.

They are in the replicated log, so that a process that has just started knows them. A
version is added before an endpoint of it is listed, and removed once the streams of its
last endpoint have ended.
"""

import trio
from attrs import define, field

from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import BadField
from medlarrail.policy.stream_versions import STREAM_RETENTION_S
from medlarrail.state.operations import AddSoftwareVersion, RemoveSoftwareVersion

MAX_SOFTWARE_VERSIONS = 16
"""Maximum software versions of one service."""


@define(eq=False)
class SoftwareVersions:
    """Adds and removes versions for ``view_server``, which leads."""

    view_server: "ClusterViewServer"  # noqa: F821
    _lock: trio.Lock = field(factory=trio.Lock)
    _unused_since: dict[tuple[str, str], float] = field(factory=dict)
    """Since when no endpoint has a software version, by service and version."""

    def clear(self) -> None:
        """Forget what was seen in an earlier leadership."""
        self._unused_since.clear()

    def _list(self, service: str) -> tuple[str, ...]:
        return self.view_server.member.catalogue.software_versions.get(service, ())

    async def add(self, announced: Announcement) -> None:
        """Add an endpoint's version; raises ``BadField`` if there are too many."""
        service, version = announced.service, announced.software_version
        if not version or version in self._list(service):
            return
        async with self._lock:
            versions = self._list(service)
            if version in versions:
                return
            if len(versions) >= MAX_SOFTWARE_VERSIONS:
                raise BadField(place="$.version", problem="is one of too many")
            await self.view_server.commit(AddSoftwareVersion(service, version))

    async def remove_unused(self) -> None:
        """Remove the versions whose streams have all ended."""
        if not self.view_server.is_settled():
            return
        now = self.view_server.clock()
        used = {
            (record.announced.service, record.announced.software_version)
            for record in self.view_server.registry.endpoints.values()
        }
        for item in self.view_server.member.catalogue.list_software_versions():
            for version in item.versions:
                key = (item.service, version)
                if key in used:
                    self._unused_since.pop(key, None)
                elif now - self._unused_since.setdefault(key, now) > STREAM_RETENTION_S:
                    del self._unused_since[key]
                    await self.view_server.commit(RemoveSoftwareVersion(*key))
