"""An entry's use of the stores: restores before a run, keeping after it."""

import trio
from attrs import define, frozen

from medlarrail.cluster.follower import Follower
from medlarrail.context.estimator import Estimate, Offer, Weights, estimate
from medlarrail.core.context import iterate_block_keys
from medlarrail.core.entities import Endpoint, Store
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import rank_nodes
from medlarrail.ownership.health import PairHealth
from medlarrail.ownership.permit_client import HeldPermit
from medlarrail.protocol.contexts import (
    KEEP_PATH,
    LOOKUP_PATH,
    MIRROR_PATH,
    RESTORE_PATH,
    KeepRequest,
    LookupAnswer,
    LookupRequest,
    MirrorRequest,
    RestoreAnswer,
    RestoreRequest,
)
from medlarrail.protocol.control import Nothing
from medlarrail.serving.routing import PromptRun
from medlarrail.transport.client import Peers

COPIES = 2
LOOKUP_TIMEOUT_S = 0.15
DISPATCH_MARGIN_S = 0.25
"""Time that a restore leaves of the permit's life for the dispatch."""


@frozen
class KeptCopy:
    """What one store said of a context."""

    store: Store
    answer: LookupAnswer


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
        account = run.contract.account
        copies = await self._look_up(account, keys, endpoint.name)
        if not copies or copies[0].answer.blocks <= cached:
            get_metrics().count("contexts_missed")
            return
        self._repair(account, keys, copies)
        best = copies[0]
        chosen = self._estimate(endpoint, best.answer, cached)
        get_metrics().count("context_choices", choice=chosen.choice)
        if chosen.choice == "restore":
            limit_s = held.use_before - run.router.clock() - DISPATCH_MARGIN_S
            limit_s = min(limit_s, 2 * chosen.recompute_s)
            await self._restore(run, endpoint, best.store, keys, cached, limit_s)

    def _estimate(
        self, endpoint: Endpoint, answer: LookupAnswer, cached: int
    ) -> Estimate:
        missing = answer.blocks - cached
        offer = Offer(
            text_bytes=missing * endpoint.block_bytes,
            data_bytes=missing * answer.block_bytes,
            wait_s=answer.wait_s,
            link_bytes_per_s=answer.rate_bytes_per_s,
            prefill_bytes_per_s=endpoint.prefill_bytes_per_s,
        )
        return estimate(offer, self.weights)

    async def _look_up(self, account: str, keys, endpoint: str) -> list["KeptCopy"]:
        """Ask the stores of a context at once; return what they hold, best first."""
        copies: list[KeptCopy] = []

        async def ask(store: Store) -> None:
            request = LookupRequest(account, keys, endpoint)
            answer = await self._call(store, LOOKUP_PATH, request, LookupAnswer)
            if answer is not None:
                copies.append(KeptCopy(store, answer))

        async with trio.open_nursery() as nursery:
            for store in self._list_reachable(keys[0]):
                nursery.start_soon(ask, store)
        copies.sort(key=lambda one: (-one.answer.blocks, one.answer.wait_s))
        return copies

    def _list_reachable(self, first_key: str) -> list[Store]:
        return [
            one
            for one in self.rank_stores(first_key)
            if not self.health.is_suspected(one.name)
        ]

    async def _call(self, store: Store, path: str, request, answer_type):
        """Return a store's answer, or None and suspect the path to it."""
        try:
            answer = await self.peers.call(
                store.url, path, request, answer_type, LOOKUP_TIMEOUT_S
            )
        except MedlarError as error:
            self.health.note_failure(store.name)
            get_metrics().count("store_failures", type=type(error).__name__)
            return None
        self.health.note_success(store.name)
        return answer

    def _repair(self, account: str, keys, copies: list["KeptCopy"]) -> None:
        """Let the store that holds most copy it to one that lost it."""
        best = copies[0]
        for other in copies[1:]:
            if other.answer.blocks < best.answer.blocks:
                request = MirrorRequest(
                    account, keys[: best.answer.blocks], other.store.url
                )
                self.nursery.start_soon(
                    self._call, best.store, MIRROR_PATH, request, Nothing
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
        stores = self._list_reachable(keys[0])
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
        await self._call(stores[0], KEEP_PATH, request, Nothing)
