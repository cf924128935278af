"""An entry's use of context stores: restore before a run, save after it."""

import trio
from attrs import define, frozen

from medlarrail.cluster.follower import Follower
from medlarrail.context.estimator import CostInputs, CostWeights, Estimate, estimate
from medlarrail.core.context import iterate_block_keys
from medlarrail.core.entities import Endpoint, Store
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import rank_nodes
from medlarrail.ownership.path_health import PathHealth
from medlarrail.ownership.permit_client import HeldPermit
from medlarrail.protocol.contexts import (
    LOOKUP_PATH,
    MIRROR_PATH,
    RESTORE_PATH,
    SAVE_CONTEXT_PATH,
    LookupAnswer,
    LookupRequest,
    MirrorRequest,
    RestoreAnswer,
    RestoreRequest,
    SaveContextRequest,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.serving.routing import PromptRun
from medlarrail.transport.client import PeerClient

REPLICA_COUNT = 2
LOOKUP_TIMEOUT_S = 0.15
DISPATCH_MARGIN_S = 0.25
"""Part of the permit's lifetime that a restore leaves for the dispatch."""


@frozen
class StoreLookup:
    """One store's answer to a lookup of a context."""

    store: Store
    answer: LookupAnswer


@define
class StoreContextRestorer:
    """Decides for each prompt whether to restore its stored context."""

    follower: Follower
    peers: PeerClient
    weights: CostWeights
    nursery: trio.Nursery
    health: PathHealth

    def rank_stores(self, first_key: str) -> list[Store]:
        """Return the stores that hold a context's replicas, by rank.

        Stores in data centres that are out of service are used only if there
        are no others.
        """
        catalogue = self.follower.catalogue
        stores = catalogue.stores
        serving = [
            name
            for name, store in stores.items()
            if catalogue.is_data_centre_in_service(store.data_centre)
        ]
        ranked = rank_nodes(serving or stores, first_key)
        return [stores[name] for name in ranked[:REPLICA_COUNT]]

    async def restore(
        self, run: PromptRun, endpoint: Endpoint, held: HeldPermit
    ) -> None:
        """Restore stored blocks to the endpoint if that costs less than prefill."""
        keys = run.list_block_keys(endpoint)
        cached = held.answer.cached_blocks
        if len(keys) <= cached or not self.follower.catalogue.stores:
            return
        account = run.contract.account
        copies = await self._look_up(account, keys, endpoint.name)
        if not copies or copies[0].answer.blocks <= cached:
            get_metrics().count("contexts_missed")
            return
        self._repair_replicas(account, keys, copies)
        best_copy = copies[0]
        result = self._estimate(endpoint, best_copy.answer, cached)
        get_metrics().count("context_choices", choice=result.choice)
        if result.choice == "restore":
            limit_s = held.use_before - run.router.clock() - DISPATCH_MARGIN_S
            limit_s = min(limit_s, 2 * result.recompute_s)
            await self._restore(run, endpoint, best_copy.store, keys, cached, limit_s)

    def _estimate(
        self, endpoint: Endpoint, answer: LookupAnswer, cached: int
    ) -> Estimate:
        missing_blocks = answer.blocks - cached
        cost_inputs = CostInputs(
            text_bytes=missing_blocks * endpoint.block_bytes,
            data_bytes=missing_blocks * answer.block_bytes,
            wait_s=answer.wait_s,
            link_bytes_per_s=answer.rate_bytes_per_s,
            prefill_bytes_per_s=endpoint.prefill_bytes_per_s,
        )
        return estimate(cost_inputs, self.weights)

    async def _look_up(self, account: str, keys, endpoint: str) -> list["StoreLookup"]:
        """Query a context's stores concurrently; return the answers, best first."""
        copies: list[StoreLookup] = []

        async def look_up(store: Store) -> None:
            request = LookupRequest(account, keys, endpoint)
            answer = await self._call(store, LOOKUP_PATH, request, LookupAnswer)
            if answer is not None:
                copies.append(StoreLookup(store, answer))

        async with trio.open_nursery() as nursery:
            for store in self._list_reachable(keys[0]):
                nursery.start_soon(look_up, store)
        copies.sort(key=lambda copy: (-copy.answer.blocks, copy.answer.wait_s))
        return copies

    def _list_reachable(self, first_key: str) -> list[Store]:
        return [
            store
            for store in self.rank_stores(first_key)
            if not self.health.is_suspected(store.name)
        ]

    async def _call(self, store: Store, path: str, request, answer_type):
        """Return a store's answer; on failure suspect the path and return None."""
        try:
            answer = await self.peers.call(
                store.url, path, request, answer_type, LOOKUP_TIMEOUT_S
            )
        except MedlarError as error:
            self.health.record_failure(store.name)
            get_metrics().count("store_failures", type=type(error).__name__)
            return None
        self.health.record_success(store.name)
        return answer

    def _repair_replicas(self, account: str, keys, copies: list["StoreLookup"]) -> None:
        """Make the store with the most blocks copy them to stores with fewer."""
        best_copy = copies[0]
        for replica in copies[1:]:
            if replica.answer.blocks < best_copy.answer.blocks:
                request = MirrorRequest(
                    account, keys[: best_copy.answer.blocks], replica.store.url
                )
                self.nursery.start_soon(
                    self._call, best_copy.store, MIRROR_PATH, request, EmptyMessage
                )

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

    def save_context(self, run: PromptRun, endpoint: Endpoint) -> None:
        """Ask a store to fetch the context, including the answer."""
        text = run.request.prompt + "".join(run.text)
        if not endpoint.block_bytes or not self.follower.catalogue.stores:
            return
        root = run.get_root(endpoint)
        keys = tuple(iterate_block_keys(root, text, endpoint.block_bytes))
        if keys:
            self.nursery.start_soon(self._request_save, run, endpoint, keys)

    async def _request_save(self, run: PromptRun, endpoint: Endpoint, keys) -> None:
        stores = self._list_reachable(keys[0])
        if not stores:
            return
        request = SaveContextRequest(
            account=run.contract.account,
            model=run.request.model,
            weight_version=endpoint.weight_version,
            endpoint=endpoint.name,
            endpoint_url=endpoint.url,
            keys=keys,
            copy_url=stores[1].url if len(stores) > 1 else "",
        )
        await self._call(stores[0], SAVE_CONTEXT_PATH, request, EmptyMessage)
