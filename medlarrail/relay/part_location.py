"""Where the stores hold the parts of one prompt."""

from attrs import define, evolve

from medlarrail.policy.context import TransferPlan
from medlarrail.relay.context_index import SAVE_TIMEOUT_S
from medlarrail.relay.part_directory import LOCATION_TTL_S, LocatedParts

CLAIM_TTL_S = SAVE_TIMEOUT_S / 2
"""Age up to which a prompt that waits may still save what it was asked to save: the
rest of the time is for reading them."""


@define(eq=False)
class PartLocation:
    """What the other entries said of the shared parts of ``relayed``."""

    relayed: "RelayedRequest"  # noqa: F821
    _located: LocatedParts | None = None
    _claimed: LocatedParts | None = None
    """The first reply that asked this prompt to save a part."""

    async def run(self) -> None:
        """Find the shared parts of the prompt for the newest weights in the stores.

        Done before the endpoint is chosen, since nothing may be awaited between the
        choice and the reservation.
        """
        directory = self.relayed.relay.parts
        parts = self.relayed.metadata.shared_parts
        if directory is None or self.relayed.service.engine is None or not parts:
            return
        if not directory.is_needed() or not self.relayed.allows_sharing():
            return
        version = self.get_newest_version()
        scope = self.relayed.get_scope(version)
        if version and not self.find(scope):
            located = await directory.locate(scope, parts)
            self._located = self._keep_claims(located)

    def _keep_claims(self, located: LocatedParts) -> LocatedParts:
        """Return the reply with the saves that this prompt was asked for before.

        While it waits for dispatch, others are told that these parts are being saved,
        and so is the prompt itself when it asks again.
        """
        claimed = self._claimed
        if (
            claimed is None
            or claimed.scope != located.scope
            or located.located_at - claimed.located_at > CLAIM_TTL_S
        ):
            self._claimed = located if any(located.plan.save) else None
            return located
        saves = zip(
            located.plan.fetch, located.plan.save, claimed.plan.save, strict=True
        )
        save = tuple("" if fetch else new or old for fetch, new, old in saves)
        plan = TransferPlan(located.plan.fetch, save)
        return evolve(located, plan=plan)

    def get_newest_version(self) -> int:
        """Return the newest weights of the prompt's model at any engine."""
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
        self._located = self._claimed = None
        return located
