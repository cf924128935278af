"""Where the stores hold the parts of one prompt."""

from attrs import define

from medlarrail.relay.part_directory import LOCATION_TTL_S, LocatedParts


@define(eq=False)
class PartLocation:
    """What the other entries said of the shared parts of ``relayed``."""

    relayed: "RelayedRequest"  # noqa: F821
    _located: LocatedParts | None = None

    async def run(self) -> None:
        """Find the shared parts of the prompt for the newest weights in the stores.

        Done before the endpoint is chosen, since nothing may be awaited between the
        choice and the reservation.
        """
        directory = self.relayed.relay.parts
        parts = self.relayed.metadata.shared_parts
        if directory is None or self.relayed.service.engine is None or not parts:
            return
        if not directory.is_needed():
            return
        version = self._get_newest_version()
        scope = self.relayed.get_scope(version)
        if version and not self.find(scope):
            self._located = await directory.locate(scope, parts)

    def _get_newest_version(self) -> int:
        return max(
            (
                endpoint.announced.get_version(self.relayed.metadata.model)
                for endpoint in self.relayed.relay.cluster_view.endpoints.values()
                if endpoint.announced.service == self.relayed.service.name
            ),
            default=0,
        )

    def find(self, scope: str) -> LocatedParts | None:
        """Return where the parts were found, unless that is too old."""
        located = self._located
        if located is None or located.scope != scope:
            return None
        age_s = self.relayed.relay.parts.clock() - located.located_at
        return located if age_s <= LOCATION_TTL_S else None

    def take(self, scope: str) -> LocatedParts | None:
        """Return where the parts were found, for one attempt only."""
        located = self.find(scope)
        self._located = None
        return located
