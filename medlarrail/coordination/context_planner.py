"""An entry's use of the stores: restores before a run, keeping after it."""

import trio
from attrs import define

from medlarrail.coordination.estimator import Offer, Weights, estimate
from medlarrail.coordination.follower import Follower
from medlarrail.coordination.health import PairHealth
from medlarrail.coordination.permit_client import HeldPermit
from medlarrail.coordination.routing import PromptRun
from medlarrail.core.context import iterate_block_keys
from medlarrail.core.entities import Endpoint, Store
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import rank_nodes
from medlarrail.protocol.contexts import (
    KEEP_PATH,
    LOOKUP_PATH,
    RESTORE_PATH,
    KeepRequest,
    LookupAnswer,
    LookupRequest,
    RestoreAnswer,
    RestoreRequest,
)
from medlarrail.protocol.control import Nothing
from medlarrail.transport.client import Peers

COPIES = 2
LOOKUP_TIMEOUT_S = 0.15
DISPATCH_MARGIN_S = 0.25
"""Time that a restore leaves of the permit's life for the dispatch."""


@define
class StorePlanner:
    """Decides for each prompt whether its kept context is worth bringing."""

    follower: Follower
    peers: Peers
    weights: Weights
    nursery: trio.Nursery
    health: PairHealth

    def rank_stores(self, first_key: str) -> list[Store]:
        """Return the stores that keep a context, those in service first."""
        catalogue = self.follower.catalogue
        stores = catalogue.stores
        serving = [
            name
            for name, store in stores.items()
            if catalogue.is_data_centre_in(store.data_centre)
        ]
        ranked = rank_nodes(serving or stores, first_key)
        return [stores[name] for name in ranked[:COPIES]]

    async def restore(
        self, run: PromptRun, endpoint: Endpoint, held: HeldPermit
    ) -> None:
        """Bring kept blocks to the endpoint if that beats computing them."""
        keys = run.list_block_keys(endpoint)
        cached = held.answer.cached_blocks
        if len(keys) <= cached or not self.follower.catalogue.stores:
            return
        for store in self.rank_stores(keys[0]):
            if self.health.is_suspected(store.name):
                continue
            try:
                await self._try_store(run, endpoint, held, store, keys, cached)
                return
            except MedlarError as error:
                self.health.note_failure(store.name)
                get_metrics().count("restore_failures", type=type(error).__name__)

    async def _try_store(self, run, endpoint, held, store, keys, cached) -> None:
        account = run.contract.account
        answer = await self.peers.call(
            store.url,
            LOOKUP_PATH,
            LookupRequest(account, keys, endpoint.name),
            LookupAnswer,
            LOOKUP_TIMEOUT_S,
        )
        self.health.note_success(store.name)
        missing = answer.blocks - cached
        if missing <= 0:
            get_metrics().count("contexts_missed")
            return
        offer = Offer(
            text_bytes=missing * endpoint.block_bytes,
            data_bytes=missing * answer.block_bytes,
            wait_s=answer.wait_s,
            link_bytes_per_s=answer.rate_bytes_per_s,
            prefill_bytes_per_s=endpoint.prefill_bytes_per_s,
        )
        chosen = estimate(offer, self.weights)
        get_metrics().count("context_choices", choice=chosen.choice)
        if chosen.choice == "restore":
            limit_s = held.use_before - run.router.clock() - DISPATCH_MARGIN_S
            limit_s = min(limit_s, 2 * chosen.recompute_s)
            await self._restore(run, endpoint, store, keys, cached, limit_s)

    async def _restore(self, run, endpoint, store, keys, cached, limit_s) -> None:
        if limit_s <= 0:
            return
        request = RestoreRequest(
            account=run.contract.account,
            weight_version=endpoint.weight_version,
            endpoint=endpoint.name,
            endpoint_url=endpoint.url,
            keys=keys,
            skip=cached,
            limit_s=limit_s,
        )
        with trio.move_on_after(limit_s):
            answer = await self.peers.call(
                store.url, RESTORE_PATH, request, RestoreAnswer, 2 * limit_s
            )
            get_metrics().count("blocks_brought", answer.taken)

    def note_finished(self, run: PromptRun, endpoint: Endpoint) -> None:
        """Ask a store to fetch the context, the answer included."""
        text = run.request.prompt + "".join(run.text)
        if not endpoint.block_bytes or not self.follower.catalogue.stores:
            return
        root = run.get_root(endpoint)
        keys = tuple(iterate_block_keys(root, text, endpoint.block_bytes))
        if keys:
            self.nursery.start_soon(self._keep, run, endpoint, keys)

    async def _keep(self, run: PromptRun, endpoint: Endpoint, keys) -> None:
        stores = [
            one
            for one in self.rank_stores(keys[0])
            if not self.health.is_suspected(one.name)
        ]
        if not stores:
            return
        request = KeepRequest(
            account=run.contract.account,
            model=run.request.model,
            weight_version=endpoint.weight_version,
            endpoint=endpoint.name,
            endpoint_url=endpoint.url,
            keys=keys,
            copy_url=stores[1].url if len(stores) > 1 else "",
        )
        try:
            await self.peers.call(
                stores[0].url, KEEP_PATH, request, Nothing, 4 * LOOKUP_TIMEOUT_S
            )
        except MedlarError as error:
            self.health.note_failure(stores[0].name)
            get_metrics().count("keep_failures", type=type(error).__name__)
