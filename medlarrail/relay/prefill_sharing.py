"""Where the largest shared part of one prompt was read, and what follows from it.

Supplies ``policy/prefill_sharing.py`` with the engines that may be used, and tells the
entry that remembers the part where this prompt reads it.
"""

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.context import TransferPlan
from medlarrail.policy.prefill_sharing import (
    MIN_SHARED_TOKENS,
    PREFILL,
    EngineLinks,
    PartReading,
    PrefillSource,
    get_cache_lifetime_s,
    get_preference,
    plan_reading,
)
from medlarrail.policy.workload import EngineWorkload, Prompt, TimeBudget
from medlarrail.relay.metadata import DispatchMetadata
from medlarrail.relay.prefill_memory import (
    RETENTION_S,
    SCOPE_RETENTION_S,
    ReadNotice,
    ReadSite,
    ReadSites,
    ReadState,
    age_sites,
)

VERSION_SETTLE_S = RETENTION_S
"""Time after a change of the desired weights for which no engine fetches from another:
a source checks no version and may still keep what it read with the weights before."""
MAX_VIEW_AGE_S = 2.0
"""Age of the view up to which an engine fetches from another: it takes no longer to
load other weights and to read a part with them."""


@frozen
class PlannedReading:
    """How the chosen engine gets the part, and when it is expected to have it."""

    engine: str
    scope: str
    reading: PartReading
    first_ms: float


@define(eq=False)
class PrefillSharing:
    """Uses what is remembered of the largest shared part of ``relayed``."""

    relayed: "RelayedRequest"  # noqa: F821
    _sources: list[PrefillSource] = field(factory=list)
    """Engines that have the part, for the choice in progress."""
    _scope: str = ""
    _planned: PlannedReading | None = None
    _sites: dict[str, ReadSite] = field(factory=dict)
    """By the address of the engine, for the choice in progress."""
    _found: ReadSites = field(factory=ReadSites)
    _reader: str | None = None
    """The entry that remembers the part, once it is known."""

    def is_enabled(self) -> bool:
        """Return whether the service and the prompt call for it."""
        engine = self.relayed.service.engine
        metadata = self.relayed.metadata
        return (
            engine is not None
            and engine.link_mbps > 0
            and engine.token_bytes > 0
            and self.relayed.relay.context is not None
            and self.relayed.chooser.is_scheduled
            and bool(metadata.shared_parts)
            and metadata.largest_shared_part.tokens >= MIN_SHARED_TOKENS
        )

    def list_engines(self, names: Iterable[str]) -> list[str]:
        """Return those of the engines ``names`` that have the part, latest first."""
        if not self.is_enabled():
            return []
        version = self.relayed.part_location.get_newest_version()
        if not version:
            return []
        allowed = set(names)
        found = self._find(self.relayed.get_scope(version))
        sources = self._list_sources(found, version, len(allowed))
        return [source.engine for source in sources if source.engine in allowed]

    def find(self, engine_count: int, version: int, prompt: Prompt) -> None:
        """Find the engines that have the part, for the next choice.

        ``engine_count`` is the number of engines that get long prompts, and ``version``
        that of the weights in the scope. A part that a store holds is fetched from
        there.
        """
        is_held = prompt.unread < prompt.tokens
        self._sources = []
        self._planned = None
        if is_held or not version or not self.is_enabled():
            return
        self._scope = self.relayed.get_scope(version)
        self._found = self._find(self._scope)
        self._sources = self._list_sources(self._found, version, engine_count)

    def _plan_reading(self, name: str) -> PartReading:
        """Return how an engine would get the part."""
        if not self._sources:
            return PREFILL
        endpoint = self.relayed.relay.cluster_view.endpoints[name]
        if self.relayed.get_scope(self._get_version(endpoint)) != self._scope:
            return PREFILL
        part = self.relayed.metadata.largest_shared_part
        data_centre = endpoint.announced.data_centre
        links = self._get_links(name)
        return plan_reading(name, data_centre, part.tokens, self._sources, links)

    def add_reading(
        self, engine: EngineWorkload, prompt: Prompt, budget: TimeBudget
    ) -> EngineWorkload:
        """Return the workload of an engine with what the prompt saves there."""
        reading = self._plan_reading(engine.name)
        if not reading.avoids_prefill:
            return engine
        part = self.relayed.metadata.largest_shared_part
        engine = evolve(engine, saved=int(reading.saved_tokens))
        preferred = get_preference(
            reading,
            part.tokens,
            self._get_first_ms(engine, prompt),
            budget.target_left_ms,
        )
        if reading.wait_ms > 0 and not preferred:
            return evolve(engine, saved=0)
        return evolve(engine, preferred=preferred)

    def choose(self, engine: EngineWorkload, prompt: Prompt) -> bool:
        """Record the chosen engine; return whether the prompt waits for the part."""
        reading = self._plan_reading(engine.name)
        waits = reading.wait_ms > 0 and engine.preferred > 0
        if reading.wait_ms > 0:
            # Sent now, the engine would fetch before the source has the part.
            reading = PREFILL
        first_ms = self._get_first_ms(engine, prompt)
        self._planned = PlannedReading(engine.name, self._scope, reading, first_ms)
        if waits:
            get_metrics().count("prefills_shared", how="wait")
        return waits

    def _get_first_ms(self, engine: EngineWorkload, prompt: Prompt) -> float:
        """Return the expected time until an engine has read the prompt."""
        tokens = engine.unread + engine.count_unread(prompt)
        return self._get_links(engine.name).get_prefill_ms(tokens)

    def get_planned(self, endpoint: EndpointView) -> PartReading:
        """Return how an endpoint gets the part, if it is the chosen one."""
        planned = self._planned
        if planned is None or planned.engine != endpoint.announced.name:
            return PREFILL
        scope = self.relayed.get_scope(self._get_version(endpoint))
        return planned.reading if planned.scope == scope else PREFILL

    def add_source(self, plan: TransferPlan, endpoint: EndpointView) -> TransferPlan:
        """Return ``plan`` with the engine that the part is fetched from, if any.

        A store that holds the part goes first.
        """
        source = self.get_planned(endpoint).source
        if not source or not self._may_still_fetch(source, endpoint):
            return plan
        metadata = self.relayed.metadata
        count = len(metadata.parts)
        fetch = list(plan.fetch) or [""] * count
        index = metadata.shared_parts.index(metadata.largest_shared_part)
        fetch[index] = fetch[index] or source
        return TransferPlan(tuple(fetch), plan.save or ("",) * count)

    def count_cached_tokens(
        self, endpoint: EndpointView, dispatch: DispatchMetadata
    ) -> int:
        """Return the tokens that the endpoint itself keeps of a dispatched prompt."""
        reading = self.get_planned(endpoint)
        if not reading.is_cached or self._is_fetched(dispatch):
            return 0
        return int(reading.saved_tokens)

    # Notices.

    def record_sent(
        self, endpoint: EndpointView, dispatch: DispatchMetadata
    ) -> "ReadReport | None":
        """Tell that the endpoint reads the part; return who tells the end of it.

        None for a part that a store holds. A prompt that finds the part in the engine's
        cache says so once it has been read.
        """
        if not dispatch.weight_version or not self.is_enabled():
            return None
        reading = self.get_planned(endpoint)
        source = reading.source if self._is_fetched(dispatch, reading.source) else ""
        if self._is_fetched(dispatch) and not source:
            return None
        report = ReadReport(self, endpoint, dispatch.cache_scope)
        how = "fetch" if source else "cached" if reading.is_cached else "prefill"
        get_metrics().count("prefills_shared", how=how)
        if reading.is_cached:
            return report
        planned = self._planned
        if planned is not None and planned.engine == endpoint.announced.name:
            first_ms = planned.first_ms
        else:
            tokens = self.relayed.metadata.prompt_tokens
            links = self._get_links(endpoint.announced.name)
            first_ms = links.get_prefill_ms(tokens)
        report.notify(
            "reading",
            remaining_ms=round(first_ms),
            source=self._sites[source].engine if source in self._sites else "",
            transfer_ms=round(reading.transfer_ms) if source else 0,
        )
        return report

    def send(self, notice: ReadNotice) -> None:
        """Send a notice to the entry that remembers the part, maybe this one."""
        relay = self.relayed.relay
        if relay.parts is None or not relay.parts.is_needed():
            relay.prefills.record(notice)
            return
        if self._reader is None:
            part = self.relayed.metadata.largest_shared_part
            self._reader = relay.parts.find_reader(part)
        relay.parts.send_notice(self._reader, notice)

    def _is_fetched(self, dispatch: DispatchMetadata, source: str = "") -> bool:
        """Return whether the part is fetched, from ``source`` if that is given."""
        metadata = self.relayed.metadata
        index = metadata.shared_parts.index(metadata.largest_shared_part)
        address = dispatch.fetch[index] if dispatch.fetch else ""
        return bool(address) and (not source or address == source)

    # Engines that may be used.

    def _find(self, scope: str) -> ReadSites:
        relay = self.relayed.relay
        if relay.parts is None or not relay.parts.is_needed():
            identity = self.relayed.metadata.largest_shared_part.identity
            # What other entries were asked for is not known here.
            return evolve(relay.prefills.find(scope, identity), sole_scope=False)
        located = self.relayed.part_location.find(scope)
        if located is None:
            return ReadSites()
        return age_sites(located.sites, relay.parts.clock() - located.located_at)

    def _list_sources(
        self, found: ReadSites, version: int, engine_count: int
    ) -> list[PrefillSource]:
        """Return the engines that have the part, latest first.

        ``engine_count`` is the number of engines that get long prompts.
        """
        if not found.sites:
            return []
        may_fetch = self._may_fetch(found, version)
        lifetime_ms = 1000 * self._get_cache_lifetime_s(engine_count)
        sources = [
            PrefillSource(
                site.engine,
                endpoint.announced.address,
                endpoint.announced.data_centre,
                site.remaining_ms,
                site.busy_ms,
                may_fetch and self._is_reachable(endpoint),
            )
            for site in found.sites
            if site.age_ms <= lifetime_ms
            and (endpoint := self._get_endpoint(site, version)) is not None
        ]
        addresses = {source.engine: source.address for source in sources}
        self._sites = {
            addresses[site.engine]: site
            for site in found.sites
            if site.engine in addresses
        }
        return sources

    def _may_still_fetch(self, source: str, endpoint: EndpointView) -> bool:
        """Return whether a source may be used now that a connection is open."""
        site = self._sites.get(source)
        version = self._get_version(endpoint)
        current = None if site is None else self._get_endpoint(site, version)
        return (
            current is not None
            and current.announced.address == source
            and self._is_reachable(current)
            and self._may_fetch(self._found, version)
        )

    def _get_endpoint(self, site: ReadSite, version: int) -> EndpointView | None:
        """Return a site's engine if it is the same incarnation with these weights."""
        relay = self.relayed.relay
        endpoint = relay.cluster_view.endpoints.get(site.engine)
        if (
            endpoint is None
            or endpoint.announced.service != self.relayed.service.name
            or endpoint.announced.started_ms != site.started_ms
            or endpoint.loading
            or self._get_version(endpoint) != version
        ):
            return None
        return endpoint

    def _is_reachable(self, endpoint: EndpointView) -> bool:
        """Return whether others may fetch from an engine."""
        stats = self.relayed.relay.endpoint_stats
        announced = endpoint.announced
        return not (
            announced.state != "ready"
            or stats.leaving.has(announced)
            or announced.data_centre in stats.cluster_view.out_data_centres
            or stats.health.is_suspected(announced.name)
            or stats.back_offs.is_active(announced, stats.clock())
        )

    def _may_fetch(self, found: ReadSites, version: int) -> bool:
        """Return whether engines may fetch the part from each other.

        A source checks neither account nor version, so it must not be able to have the
        part in another scope.
        """
        relay = self.relayed.relay
        view = relay.cluster_view
        model = self.relayed.metadata.model
        if not relay.table.owners.shares(self.relayed.account_name):
            return False
        if view.get_age_s() > MAX_VIEW_AGE_S:
            return False
        desired = view.desired.get(model)
        if desired is not None and desired.ordinal:
            elapsed_s = view.clock() - view.desired_received_at[model]
            if desired.ordinal != version or elapsed_s < VERSION_SETTLE_S:
                return False
        return found.sole_scope or self._is_only_scope()

    def _is_only_scope(self) -> bool:
        """Return whether engines can have parts in no other scope.

        There is one model, and no account has been isolated for as long as engines keep
        parts.
        """
        engine = self.relayed.service.engine
        ago_s = self.relayed.relay.cluster_view.isolation_times.get_ago_s()
        return len(engine.models) <= 1 and (ago_s is None or ago_s > SCOPE_RETENTION_S)

    def _get_cache_lifetime_s(self, engine_count: int) -> float:
        """Return the expected time for which an engine keeps the part.

        Estimated from the long prompts of this entry, as all get similar ones.
        """
        relay = self.relayed.relay
        now = relay.endpoint_stats.clock()
        own_per_s = relay.prompt_mix.get_long_tokens_per_s(now)
        per_s = own_per_s * relay.cluster_view.entry_count / max(1, engine_count)
        memory_tokens = self.relayed.service.engine.memory_tokens
        return get_cache_lifetime_s(memory_tokens, per_s, RETENTION_S)

    def _get_links(self, name: str) -> EngineLinks:
        """Return what transfers to the engine ``name``, and prefills there, take."""
        service = self.relayed.service
        speed = self.relayed.relay.speeds.get_tokens_per_ms(service.name, name)
        return EngineLinks(speed, service.engine.link_mbps, service.engine.token_bytes)

    def _get_version(self, endpoint: EndpointView) -> int:
        return endpoint.announced.get_version(self.relayed.metadata.model)


@define(eq=False)
class ReadReport:
    """Tells what becomes of a part that is read at ``endpoint``."""

    sharing: PrefillSharing
    endpoint: EndpointView
    scope: str
    _is_read: bool = False

    def record_read(self) -> None:
        """Tell that the part has been read: the first event has come."""
        if not self._is_read:
            self._is_read = True
            self.notify("read")

    def record_end(self) -> None:
        """Tell that the prompt failed if it ends before its first event."""
        if not self._is_read:
            self._is_read = True
            self.notify("failed")

    def notify(self, state: ReadState, **changes: int | str) -> None:
        """Send a notice."""
        announced = self.endpoint.announced
        part = self.sharing.relayed.metadata.largest_shared_part
        notice = ReadNotice(
            self.scope, part.identity, announced.name, announced.started_ms, state
        )
        self.sharing.send(evolve(notice, **changes))
