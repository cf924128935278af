"""Frees stored context of weight versions that no endpoint uses any more.

Stores evict nothing by themselves, so after a change of weights they would remain
full of context that must not be used. A part may be freed only when no request can be
reading it: once all endpoints have the new weights, requests for the old ones are
rejected, and earlier requests have ended.
"""

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.context_store_client import ContextStoreClient, StoredPart
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.core.scopes import parse_scope

CHECK_INTERVAL_S = 0.5
DRAIN_WAIT_S = 2.5
"""Time for which all endpoints must have had the new weights: the longest wait of a
transfer before it is abandoned, plus half a second."""
MAX_BATCH_PARTS = 500
"""Maximum parts freed by one call."""


@define(eq=False)
class StoreCleaner:
    """Frees outdated context in the stores while its member leads."""

    view_server: ClusterViewServer
    store_client: ContextStoreClient
    cleaned_versions: dict[str, int] = field(factory=dict)
    """By model, the weight version below which all context was freed."""
    _rolled_out_since: dict[str, float] = field(factory=dict)

    async def run(self) -> None:
        """Free outdated context after each change of weights until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            try:
                self.view_server.require_leading()
                for model, version in self._list_due_versions():
                    await self._clean(model, version)
                    self.cleaned_versions[model] = version
            except NotLeader:
                self._rolled_out_since.clear()
            except MedlarError as error:
                reason = type(error).__name__
                get_metrics().count("store_cleaning_failures", reason=reason)

    def _list_due_versions(self) -> list[tuple[str, int]]:
        now = self.view_server.clock()
        due = []
        for model, desired in self.view_server.member.catalogue.desired.items():
            version = desired.ordinal
            if (
                version <= self.cleaned_versions.get(model, 1)
                or not self.view_server.is_settled()
            ):
                continue
            if not self._is_rolled_out(model, version):
                self._rolled_out_since.pop(model, None)
                continue
            if now - self._rolled_out_since.setdefault(model, now) > DRAIN_WAIT_S:
                due.append((model, version))
        return due

    def _is_rolled_out(self, model: str, version: int) -> bool:
        """Return whether every known endpoint has at least this version."""
        return all(
            weights.version >= version
            for record in self.view_server.registry.endpoints.values()
            for weights in record.announced.models
            if weights.model == model
        )

    async def _clean(self, model: str, version: int) -> None:
        deployment = self.view_server.member.catalogue.deployment
        services = deployment.services if deployment is not None else ()
        for service in services:
            if service.store is None:
                continue
            address = service.store.address
            listed = await self.store_client.read_list(address)
            outdated = [
                part for part in listed.parts if is_outdated(part, model, version)
            ]
            for start in range(0, len(outdated), MAX_BATCH_PARTS):
                self.view_server.require_leading()
                batch = tuple(outdated[start : start + MAX_BATCH_PARTS])
                await self.store_client.free_parts(address, listed.epoch, batch)
            if outdated:
                eliot.log_message(
                    "store:cleaned", store=address, parts=len(outdated), version=version
                )


def is_outdated(part: StoredPart, model: str, version: int) -> bool:
    """Return whether a part was computed with older weights of ``model``."""
    scope = parse_scope(part.scope)
    return scope is not None and scope.model == model and scope.version < version
