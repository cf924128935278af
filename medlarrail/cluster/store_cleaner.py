"""Frees what stores keep for weights that no endpoint has any more.

Stores free nothing by themselves, so after a change of weights they would stay
full of context that must not be used. A part may be freed only when nobody can be
reading it: once all endpoints have the new weights, requests for the old ones are
rejected, and those that ran before have ended.
"""

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.context_feed import ContextFeed, HeldPart
from medlarrail.cluster.picture_desk import PictureDesk
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.core.scopes import parse_scope

LOOK_INTERVAL_S = 0.5
QUIET_S = 2.5
"""Time for which all endpoints must have had the new weights: the longest that a
transfer waits before it is given up, and half a second."""
LARGEST_BATCH = 500
"""Parts that one call frees."""


@define(eq=False)
class StoreCleaner:
    """Cleans the stores while its member leads."""

    desk: PictureDesk
    feed: ContextFeed
    cleaned: dict[str, int] = field(factory=dict)
    """The weight version that the stores were cleaned up to, by model."""
    _complete_since: dict[str, float] = field(factory=dict)

    async def run(self) -> None:
        """Clean after each change of weights until cancelled."""
        while True:
            await trio.sleep(LOOK_INTERVAL_S)
            try:
                self.desk.require_leading()
                for model, version in self._list_due():
                    await self._clean(model, version)
                    self.cleaned[model] = version
            except NotLeader:
                self._complete_since.clear()
            except MedlarError as error:
                reason = type(error).__name__
                get_metrics().count("store_cleaning_failures", reason=reason)

    def _list_due(self) -> list[tuple[str, int]]:
        now = self.desk.clock()
        due = []
        for model, wanted in self.desk.member.catalogue.desired.items():
            version = wanted.ordinal
            if version <= self.cleaned.get(model, 1) or not self.desk.is_settled():
                continue
            if not self._is_complete(model, version):
                self._complete_since.pop(model, None)
                continue
            if now - self._complete_since.setdefault(model, now) > QUIET_S:
                due.append((model, version))
        return due

    def _is_complete(self, model: str, version: int) -> bool:
        """Return whether every known endpoint has the version."""
        return all(
            weights.version >= version
            for known in self.desk.registry.known.values()
            for weights in known.announced.models
            if weights.model == model
        )

    async def _clean(self, model: str, version: int) -> None:
        deployment = self.desk.member.catalogue.deployment
        services = deployment.services if deployment is not None else ()
        for service in services:
            if service.store is None:
                continue
            address = service.store.address
            listed = await self.feed.read_list(address)
            old = [one for one in listed.parts if is_outdated(one, model, version)]
            for start in range(0, len(old), LARGEST_BATCH):
                self.desk.require_leading()
                batch = tuple(old[start : start + LARGEST_BATCH])
                await self.feed.free_parts(address, listed.epoch, batch)
            if old:
                eliot.log_message(
                    "store:cleaned", store=address, parts=len(old), version=version
                )


def is_outdated(part: HeldPart, model: str, version: int) -> bool:
    """Return whether a part was made by older weights of ``model``."""
    scope = parse_scope(part.scope)
    return scope is not None and scope.model == model and scope.version < version
