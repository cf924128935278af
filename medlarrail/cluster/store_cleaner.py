"""Frees stored context that no request may use any more.

Stores evict nothing by themselves, so after a change of weights, or of the isolated
accounts, they would remain full of context that must not be used. A part may be freed
only when no request can be reading it. Once all endpoints have new weights, requests
for the old ones are rejected, and earlier requests have ended. Once a document is in
force, entries use the scopes of the one before until they have heard of it, or for as
long as they use stores without hearing from a leader.
"""

from collections.abc import Callable, Iterator

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.cluster.context_store_client import ContextStoreClient, StoredPart
from medlarrail.core.deployment import Deployment
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.core.scopes import ContextOwners, parse_scope

CHECK_INTERVAL_S = 0.5
DRAIN_WAIT_S = 2.5
"""Time for which all endpoints must have had the new weights: the longest wait of a
transfer before it is abandoned, plus half a second."""
OWNERS_DRAIN_S = 30.0
"""Time for which the owners of context must have been the same: the age of a view up to
which entries use stores, and the time in which a request that was sent ends."""
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
    _deployment: Deployment | None = None
    _owners: frozenset[str] = frozenset()
    _owners_since: float = float("-inf")
    _has_former_owners: bool = False
    """Whether the stores may have context of owners by an earlier document."""

    async def run(self) -> None:
        """Free outdated context after each change until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._update_owners()
            try:
                self.view_server.require_leading()
                for model, version in self._list_due_versions():
                    await self._clean_version(model, version)
                if self._is_owners_cleaning_due():
                    await self._clean_owners()
            except NotLeader:
                self._rolled_out_since.clear()
            except MedlarError as error:
                reason = type(error).__name__
                get_metrics().count("store_cleaning_failures", reason=reason)

    # Context of older weights.

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

    async def _clean_version(self, model: str, version: int) -> None:
        await self._free(
            lambda part: is_outdated(part, model, version),
            reason="weights",
            version=version,
        )
        self.cleaned_versions[model] = version

    # Context of former owners.

    def _update_owners(self) -> None:
        """Note a change of the owners of context, also while another member leads."""
        deployment = self.view_server.member.catalogue.deployment
        if deployment is None or deployment is self._deployment:
            return
        owners = ContextOwners(deployment.accounts).list_all()
        if owners != self._owners:
            self._has_former_owners = self._deployment is not None
            self._owners = owners
            self._owners_since = self.view_server.clock()
        self._deployment = deployment

    def _is_owners_cleaning_due(self) -> bool:
        """Return whether no entry uses the scopes of an earlier document any more."""
        drained_s = self.view_server.clock() - self._owners_since
        return (
            self._has_former_owners
            and drained_s > OWNERS_DRAIN_S
            and self.view_server.is_settled()
            and all(
                record.registered.names_sharers
                for record in self.view_server.entries.values()
            )
        )

    async def _clean_owners(self) -> None:
        owners = self._owners
        await self._free(lambda part: has_former_owner(part, owners), reason="owners")
        self._has_former_owners = False

    async def _free(
        self, is_unused: Callable[[StoredPart], bool], **log_fields: str | int
    ) -> None:
        """Free the parts for which ``is_unused`` is true in all stores."""
        for address in self._iterate_stores():
            listed = await self.store_client.read_list(address)
            unused = [part for part in listed.parts if is_unused(part)]
            for start in range(0, len(unused), MAX_BATCH_PARTS):
                self.view_server.require_leading()
                batch = tuple(unused[start : start + MAX_BATCH_PARTS])
                await self.store_client.free_parts(address, listed.epoch, batch)
            if unused:
                eliot.log_message(
                    "store:cleaned", store=address, parts=len(unused), **log_fields
                )

    def _iterate_stores(self) -> Iterator[str]:
        deployment = self.view_server.member.catalogue.deployment
        for service in deployment.services if deployment is not None else ():
            if service.store is not None:
                yield service.store.address


def is_outdated(part: StoredPart, model: str, version: int) -> bool:
    """Return whether a part was computed with older weights of ``model``."""
    scope = parse_scope(part.scope)
    return scope is not None and scope.model == model and scope.version < version


def has_former_owner(part: StoredPart, owners: frozenset[str]) -> bool:
    """Return whether a part belongs to none of the ``owners`` by the document."""
    scope = parse_scope(part.scope)
    return scope is not None and scope.owner not in owners
