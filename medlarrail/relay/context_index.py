"""Index of the complete prompt parts in each store, maintained from store events.

Events may be delayed or lost, and a store is empty after a restart. A part must not
be read while it is being written, so a store is read only while its index is fresh,
and written only once every entry has had time to detect its latest restart.
"""

from collections.abc import Sequence
from typing import Literal

import eliot
import trio
from attrs import define, field, frozen

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.context_store_client import (
    ContextStoreClient,
    StoreEventBatch,
    StoreListing,
)
from medlarrail.core.announcements import RegisteredEntry
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.deployment import Deployment, StoreSpec
from medlarrail.core.errors import MedlarError
from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import rank_nodes
from medlarrail.policy.context import (
    PartView,
    StoreView,
    TransferPlan,
    can_save,
    plan_transfers,
)
from medlarrail.policy.prompt_length import PREFILL_TOKENS_PER_MS
from medlarrail.relay.metadata import PromptPart

LONG_POLL_MS = 1000
"""Maximum time for which a store holds an event call open without a change."""
INDEX_TTL_S = 1.6
"""Age up to which an index is considered fresh: one long poll and its pauses."""
SAVE_DELAY_S = 3.5
"""Time after detecting a store's restart before anything is saved there: twice the
age up to which another entry may rely on its earlier index."""
POLL_PAUSE_S = 0.25
"""Pause between two calls, so that events are received in batches."""
RETRY_PAUSE_S = 0.5
FULL_LIST_INTERVAL_S = 8.0
"""Time between two full lists, which recover from lost events."""
SAVE_TIMEOUT_S = 3.0
"""Time for which a requested save is not requested again."""
MAX_FOLLOWERS = 4
"""Followers of a store that not all entries can follow. The others ask one of them for
each part, so more of them would only repeat the calls; one that restarts leaves a
quarter of the parts unknown until it has read the list."""
RESERVED_CALLS = 2
"""Open event calls of a store that entries leave to other clients."""
CALL_TIMEOUT_MARGIN_S = 0.8
"""Time allowed for a call in addition to its long poll."""


ClaimStatus = Literal["held", "saving", "save", "full", "absent", "unknown"]
"""Whether a store holds a part, is getting it, may get it now, has no room, or does not
hold it and was only asked for that; unknown if its contents are not known here."""


@frozen
class PendingSave:
    """A requested save of so many tokens, which is not known to be complete."""

    requested_at: float
    tokens: int

    def is_expired(self, now: float) -> bool:
        """Return whether the save may be requested again."""
        return now - self.requested_at >= SAVE_TIMEOUT_S


@define(eq=False)
class StoreIndex:
    """Content of one store, as known from its lists and events."""

    spec: StoreSpec
    epoch: str = ""
    epoch_seen_at: float = float("-inf")
    next_event: int = 0
    synced_at: float = float("-inf")
    listed_at: float = float("-inf")
    partial_tokens: int = 0
    held: dict[tuple[str, str], int] = field(factory=dict)
    pending_saves: dict[tuple[str, str], PendingSave] = field(factory=dict)
    reachable: bool = False
    _held_tokens: int = 0

    def count_used_tokens(self) -> int:
        """Return the number of tokens in use or reserved by requested saves."""
        pending = sum(save.tokens for save in self.pending_saves.values())
        return self._held_tokens + self.partial_tokens + pending

    def is_saving(self, key: tuple[str, str], now: float) -> bool:
        """Return whether a requested save of a part may be in progress."""
        save = self.pending_saves.get(key)
        return save is not None and not save.is_expired(now)

    def drop_expired_saves(self, now: float) -> None:
        """Drop the requested saves that were lost."""
        expired = [
            key for key, save in self.pending_saves.items() if save.is_expired(now)
        ]
        for key in expired:
            del self.pending_saves[key]

    def is_fresh(self, now: float) -> bool:
        """Return whether the index is recent enough to use."""
        return now - self.synced_at < INDEX_TTL_S

    def holds(self, scope: str, part: PromptPart) -> bool:
        """Return whether the store holds all of ``part``, according to the index."""
        return self.held.get((scope, part.identity), 0) >= part.tokens

    def apply_list(self, listed: StoreListing, now: float) -> None:
        """Replace the index with a full list."""
        self._set_epoch(listed.epoch, now)
        self.held = {(part.scope, part.identity): part.tokens for part in listed.parts}
        self._held_tokens = sum(self.held.values())
        self.partial_tokens = listed.partial_tokens
        self.next_event = listed.next_event
        self.listed_at = self.synced_at = now

    def apply_events(self, batch: StoreEventBatch, now: float) -> None:
        """Apply events; a restart or a gap invalidates the index until a full list."""
        if batch.epoch != self.epoch or batch.gap:
            self.invalidate()
            self._set_epoch(batch.epoch, now)
            return
        for event in batch.events:
            key = (event.part.scope, event.part.identity)
            self.pending_saves.pop(key, None)
            self._held_tokens -= self.held.pop(key, 0)
            if event.added and event.part.tokens > 0:
                self.held[key] = event.part.tokens
                self._held_tokens += event.part.tokens
        self.next_event = batch.next_event
        self.synced_at = now

    def _set_epoch(self, epoch: str, now: float) -> None:
        if epoch != self.epoch:
            if self.epoch:
                eliot.log_message("store:restarted", store=self.spec.address)
            self.epoch = epoch
            self.epoch_seen_at = now

    def invalidate(self) -> None:
        """Discard the index until the next full list."""
        self.synced_at = self.listed_at = float("-inf")
        self.held.clear()
        self._held_tokens = 0


@define(eq=False)
class ContextIndex:
    """The indexes of all stores of the deployment."""

    cluster_view: ClusterView
    store_client: ContextStoreClient
    name: str
    clock: Clock = get_boottime
    stores: dict[str, StoreIndex] = field(factory=dict)
    _scopes: dict[str, trio.CancelScope] = field(factory=dict)
    _ranked_entries: tuple[RegisteredEntry, ...] | None = None
    _followers: dict[str, list[str]] = field(factory=dict)
    """By the address of the store, for ``_ranked_entries``."""
    _changed: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        self.cluster_view.deployment_listeners.append(self._signal_change)

    def _signal_change(self, deployment: Deployment) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def run(self) -> None:
        """Follow the stores of the deployment until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._changed
                self._update_followers(nursery)
                await changed.wait()

    def _update_followers(self, nursery: trio.Nursery) -> None:
        deployment = self.cluster_view.deployment
        services = deployment.services if deployment is not None else ()
        listed = {
            service.store.address: service.store
            for service in services
            if service.store
        }
        for address in set(self.stores) - set(listed):
            self._scopes.pop(address).cancel()
            del self.stores[address]
        for address, spec in listed.items():
            existing = self.stores.get(address)
            if existing is not None:
                existing.spec = spec
                continue
            index = self.stores[address] = StoreIndex(spec)
            scope = self._scopes[address] = trio.CancelScope()
            nursery.start_soon(self._follow, index, scope)

    async def _follow(self, index: StoreIndex, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                if not self.may_follow(index):
                    index.invalidate()
                    await trio.sleep(RETRY_PAUSE_S)
                    continue
                try:
                    await self._poll(index)
                    self._set_reachable(index, "")
                    await trio.sleep(POLL_PAUSE_S)
                except MedlarError as error:
                    index.invalidate()
                    self._set_reachable(index, str(error))
                    await trio.sleep(RETRY_PAUSE_S)

    def may_follow(self, index: StoreIndex) -> bool:
        """Return whether the store's open-call limit allows this entry to follow it."""
        return self.name in self.list_followers(index.spec)

    def list_followers(self, spec: StoreSpec) -> list[str]:
        """Return the entries that may follow the events of a store."""
        if self.cluster_view.entries is not self._ranked_entries:
            self._ranked_entries = self.cluster_view.entries
            self._followers.clear()
        followers = self._followers.get(spec.address)
        if followers is None:
            names = {entry.name for entry in self.cluster_view.entries} | {self.name}
            followers = rank_nodes(names, spec.address)
            calls = max(1, spec.event_calls - RESERVED_CALLS)
            if len(followers) > calls:
                followers = followers[: min(calls, MAX_FOLLOWERS)]
            self._followers[spec.address] = followers
        return followers

    async def _poll(self, index: StoreIndex) -> None:
        address = index.spec.address
        if self.clock() - index.listed_at > FULL_LIST_INTERVAL_S:
            index.apply_list(await self.store_client.read_list(address), self.clock())
            return
        sent_at = self.clock()
        timeout_s = LONG_POLL_MS / 1000 + CALL_TIMEOUT_MARGIN_S
        batch = await self.store_client.read_events(
            address, index.next_event, LONG_POLL_MS, timeout_s
        )
        if self.clock() - sent_at > timeout_s + CALL_TIMEOUT_MARGIN_S:
            # The process was suspended: the answer may be older than it appears.
            index.invalidate()
            return
        index.apply_events(batch, self.clock())

    def _set_reachable(self, index: StoreIndex, reason: str) -> None:
        reachable = not reason
        if reachable != index.reachable:
            index.reachable = reachable
            name = "store:reachable" if reachable else "store:unreachable"
            eliot.log_message(name, store=index.spec.address, reason=reason)

    # Planning.

    def plan(
        self,
        scope: str,
        parts: Sequence[PromptPart],
        data_centre: str,
        tokens_per_ms: float = PREFILL_TOKENS_PER_MS,
    ) -> TransferPlan:
        """Return the transfers for the shared parts of a prompt.

        ``tokens_per_ms`` is the prefill speed of the engine that the prompt goes to.
        Planned saves are recorded as pending, so that later requests do not repeat
        them.
        """
        now = self.clock()
        views = [self._build_part_view(scope, part, now) for part in parts]
        stores = [self._build_store_view(index, now) for index in self.stores.values()]
        plan = plan_transfers(views, stores, data_centre, tokens_per_ms)
        for part, target in zip(parts, plan.save, strict=True):
            if target:
                self.stores[target].pending_saves[scope, part.identity] = PendingSave(
                    now, part.tokens
                )
                get_metrics().count("parts_saved")
        fetched = sum(bool(source) for source in plan.fetch)
        get_metrics().count("parts_fetched", fetched)
        return plan

    def is_held(self, scope: str, part: PromptPart) -> bool:
        """Return whether a store with a fresh index holds all of ``part``."""
        now = self.clock()
        return any(
            index.holds(scope, part) and index.is_fresh(now)
            for index in self.stores.values()
        )

    def list_homes(self) -> list[StoreView]:
        """Return all stores as empty ones, followed here or not."""
        return [
            StoreView(
                spec.address,
                spec.data_centre,
                spec.capacity_tokens,
                spec.capacity_tokens,
                spec.first_ms,
            )
            for spec in (index.spec for index in self.stores.values())
        ]

    def claim(
        self, address: str, scope: str, part: PromptPart, may_save: bool = True
    ) -> ClaimStatus:
        """Return whether a store holds a part; ``save`` asks the caller to save it."""
        now = self.clock()
        index = self.stores.get(address)
        if index is None or not index.is_fresh(now):
            return "unknown"
        if index.holds(scope, part):
            return "held"
        key = (scope, part.identity)
        if index.is_saving(key, now):
            return "saving"
        if not may_save:
            return "absent"
        view = self._build_store_view(index, now)
        if not can_save(part.tokens, view):
            return "full"
        index.pending_saves[key] = PendingSave(now, part.tokens)
        get_metrics().count("parts_saved")
        return "save"

    def _build_part_view(self, scope: str, part: PromptPart, now: float) -> PartView:
        key = (scope, part.identity)
        held_at = tuple(
            address
            for address, index in self.stores.items()
            if index.holds(scope, part)
        )
        saving = any(index.is_saving(key, now) for index in self.stores.values())
        return PartView(part.identity, part.tokens, held_at, saving)

    def _build_store_view(self, index: StoreIndex, now: float) -> StoreView:
        spec = index.spec
        fresh = index.is_fresh(now)
        index.drop_expired_saves(now)
        free = spec.capacity_tokens - index.count_used_tokens()
        return StoreView(
            address=spec.address,
            data_centre=spec.data_centre,
            capacity_tokens=spec.capacity_tokens,
            free_tokens=free,
            first_ms=spec.first_ms,
            fetchable=fresh,
            savable=fresh and now - index.epoch_seen_at > SAVE_DELAY_S,
        )
