"""Chooses the endpoint for a request, and when to dispatch a long prompt.

The decisions are made in ``policy/``; this module supplies their input from the
entry's state and the request's metadata.
"""

from collections.abc import Iterator
from typing import NamedTuple

import trio
from attrs import define, evolve, field, frozen

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.deployment import ServiceRule
from medlarrail.policy.placement import (
    Candidate,
    choose_by_context,
    choose_least_loaded,
    get_load,
)
from medlarrail.policy.prompt_length import are_all_full, is_long, list_engines
from medlarrail.policy.weight_use import VersionUse, choose_versions
from medlarrail.policy.workload import (
    DispatchAction,
    EngineWorkload,
    Prompt,
    TimeBudget,
    choose_by_workload,
    decide_dispatch,
)
from medlarrail.relay.metadata import RequestMetadata
from medlarrail.relay.workload_tracker import EngineTokens


@frozen
class Choice:
    """The chosen endpoint, or None if none is available, and the action to take.

    ``backlog_ms`` is the endpoint's pending prefill time and ``tokens_per_ms`` its
    prefill speed, ``prefill_ms`` the time to read the prompt there and ``budget`` what
    is left of its time; set for long prompts only.
    """

    endpoint: EndpointView | None = None
    action: DispatchAction = "send"
    backlog_ms: float = 0.0
    tokens_per_ms: float = 0.0
    prefill_ms: float = 0.0
    budget: TimeBudget | None = None


class UsableEndpoint(NamedTuple):
    """An endpoint, and whether it serves older weights than other endpoints."""

    endpoint: EndpointView
    outdated: bool


@define(eq=False)
class EndpointChooser:
    """Chooses among the endpoints of the service that handles ``relayed``."""

    relayed: "RelayedRequest"  # noqa: F821
    relay: "RequestRelay" = field(init=False)  # noqa: F821
    service: ServiceRule = field(init=False)
    metadata: RequestMetadata = field(init=False)
    is_long: bool = field(init=False)
    backlog_tokens: float = 0.0
    """Tokens that await prefill at the chosen engine, set for long prompts only."""

    def __attrs_post_init__(self):
        self.relay = self.relayed.relay
        self.service = self.relayed.service
        self.metadata = self.relayed.metadata
        self.is_long = is_long(self.metadata.own_tokens)

    @property
    def is_scheduled(self) -> bool:
        """Whether this is a long prompt: scheduled by the workload of the engines."""
        return self.is_long and self.service.engine is not None

    @property
    def context(self) -> str:
        """The key by which all entries prefer the same engine for a shared part."""
        part = self.metadata.largest_shared_part
        return self.relayed.get_scope(0) + part.identity

    def list_engine_names(self) -> list[str]:
        """Return the names of the engines that this prompt may go to."""
        candidates = self._build_prompt_candidates(self._list_available())
        return [candidate.name for candidate in candidates]

    def has_choice(self) -> bool:
        """Return whether an endpoint is left that was not tried.

        Unlike ``choose``, it neither draws a software version nor takes back what is
        reserved for the request.
        """
        version_choice = self.relayed.version_choice
        return any(
            version_choice is None or version_choice.may_wait_for(endpoint.announced)
            for endpoint in self._list_untried()
        )

    def choose(self) -> Choice:
        """Return the choice for the next attempt."""
        available = self._list_available()
        entry_count = self.relay.cluster_view.entry_count
        if not self.metadata.parts:
            candidate = choose_least_loaded(
                self._build_candidates(available, self._list_usable(available)),
                entry_count,
                self.metadata.request_id,
            )
            return self._build_choice(candidate, available)
        candidates = self._build_prompt_candidates(available)
        if self.is_scheduled:
            return self._choose_by_workload(candidates, available)
        return self._build_choice(
            choose_by_context(candidates, entry_count, self.context), available
        )

    @staticmethod
    def _build_choice(
        candidate: Candidate | EngineWorkload | None, available: list[EndpointView]
    ) -> Choice:
        if candidate is None:
            return Choice()
        return Choice(
            next(
                endpoint
                for endpoint in available
                if endpoint.announced.name == candidate.name
            )
        )

    def _list_available(self) -> list[EndpointView]:
        """Return the untried endpoints; loading ones only if there are no others.

        During a software rollout these are those of the versions for this request.
        """
        available = self._list_untried()
        available = [
            endpoint for endpoint in available if not endpoint.loading
        ] or available
        if self.relayed.version_choice is None:
            return available
        return self.relayed.version_choice.select(available)

    def _list_untried(self) -> list[EndpointView]:
        """Return the available endpoints that were not tried.

        Those whose weights were replaced too long ago are left out.
        """
        stats = self.relay.endpoint_stats
        untried = [
            endpoint
            for endpoint in stats.iterate_available(self.service)
            if endpoint.announced.name not in self.relayed.tried
            and self.relayed.stream_version.allows(endpoint.announced)
            and self.relay.has_free_connection(self.service, endpoint.announced.name)
        ]
        uses = self._choose_versions(untried)
        return [
            endpoint
            for endpoint, use in zip(untried, uses, strict=True)
            if use != "avoid"
        ]

    def _list_usable(self, available: list[EndpointView]) -> list[UsableEndpoint]:
        """Return the endpoints whose weights this request may use."""
        return [
            UsableEndpoint(endpoint, use == "outdated")
            for endpoint, use in zip(
                available, self._choose_versions(available), strict=True
            )
        ]

    def _build_candidates(
        self, available: list[EndpointView], usable: list[UsableEndpoint]
    ) -> list[Candidate]:
        """Return candidates for ``usable`` endpoints, a part of the available ones."""
        stats = self.relay.endpoint_stats
        min_answer_s = stats.get_min_answer_s(available)
        return [
            stats.build_candidate(item.endpoint, min_answer_s, item.outdated)
            for item in usable
        ]

    def _choose_versions(self, available: list[EndpointView]) -> list[VersionUse]:
        """Return how this request may use each endpoint's weights."""
        model = self.metadata.model
        ages = self.relay.cluster_view.weight_versions.get_ages(model)
        versions = [endpoint.announced.get_version(model) for endpoint in available]
        if not ages or min(versions, default=0) >= max(ages):
            return ["use"] * len(available)
        return choose_versions(versions, ages, self._iterate_known_versions())

    def _iterate_known_versions(self) -> Iterator[int]:
        """Yield the weight versions of the service's endpoints that are not leaving."""
        for endpoint in self.relay.cluster_view.endpoints.values():
            announced = endpoint.announced
            if announced.service == self.service.name and announced.state == "ready":
                yield announced.get_version(self.metadata.model)

    def _build_prompt_candidates(
        self, available: list[EndpointView]
    ) -> list[Candidate]:
        """Return the engines for prompts of this length.

        Returns all candidates if all of these engines are suspected, or if the prompt
        is short and they are full.
        """
        relay = self.relay
        usable = self._list_usable(available)
        names = frozenset(
            list_engines(
                [item.endpoint.announced.name for item in usable],
                self.service.name,
                self.is_long,
                relay.prompt_mix.get_long_share(relay.endpoint_stats.clock()),
            )
        )
        selected = self._build_candidates(
            available,
            [item for item in usable if item.endpoint.announced.name in names],
        )
        is_overflow = not self.is_long and self._are_all_full(selected)
        if is_overflow or all(candidate.suspected for candidate in selected):
            return self._build_candidates(available, usable)
        return selected

    def _are_all_full(self, candidates: list[Candidate]) -> bool:
        entry_count = self.relay.cluster_view.entry_count
        loads = [get_load(candidate, entry_count) for candidate in candidates]
        return are_all_full(loads, [candidate.slots for candidate in candidates])

    def _choose_by_workload(
        self,
        candidates: list[Candidate],
        available: list[EndpointView],
    ) -> Choice:
        """Return the engine that can prefill this long prompt first."""
        prompt = self._build_prompt(candidates)
        budget = self._get_time_budget()
        sharing = self.relayed.prefill_sharing
        sharing.find(len(candidates), self._get_newest_version(candidates), prompt)
        engines = [
            sharing.add_reading(engine, prompt, budget)
            for engine in self._build_workloads(candidates)
        ]
        engine = choose_by_workload(engines, prompt, self.context)
        choice = self._build_choice(engine, available)
        self.backlog_tokens = 0.0 if engine is None else engine.unread
        if engine is None or self.relayed.exchange.started:
            return choice
        action = decide_dispatch(
            engine,
            prompt,
            budget,
            self.relayed.prompt_wait.get_wait_ms(),
            self.relay.cluster_view.entry_count,
        )
        if sharing.choose(engine, prompt) and action == "send":
            action = "wait"
        return evolve(
            choice,
            action=action,
            backlog_ms=engine.unread / engine.tokens_per_ms,
            tokens_per_ms=engine.tokens_per_ms,
            prefill_ms=engine.count_unread(prompt) / engine.tokens_per_ms,
            budget=budget,
        )

    def _build_workloads(self, candidates: list[Candidate]) -> list[EngineWorkload]:
        """Return the pending workload of the engines to choose from.

        These are the engines that were looked up, or all if none of them is available.
        """
        engines = self.relayed.workload_lookup.get_engines()
        known = [c for c in candidates if c.name in engines] if engines else []
        if not known:
            count = self.relay.count_reporting_entries()
            engines = self.relay.workload.sum_engines(count)
        return [
            self._build_workload(
                candidate, engines.get(candidate.name, EngineTokens(candidate.name))
            )
            for candidate in known or candidates
        ]

    def _build_workload(
        self, candidate: Candidate, tokens: EngineTokens
    ) -> EngineWorkload:
        return EngineWorkload(
            candidate.name,
            unread=tokens.unread,
            held=tokens.held,
            memory_tokens=self.service.engine.memory_tokens,
            tokens_per_ms=self.relay.speeds.get_tokens_per_ms(
                self.service.name, candidate.name
            ),
            outdated=candidate.outdated,
            failure_rate=candidate.failure_rate,
            relative_latency=candidate.relative_latency,
            suspected=candidate.suspected,
        )

    def _get_newest_version(self, candidates: list[Candidate]) -> int:
        """Return the newest weights of the prompt's model at the candidates."""
        endpoints = self.relay.cluster_view.endpoints
        return max(
            (
                endpoints[candidate.name].announced.get_version(self.metadata.model)
                for candidate in candidates
            ),
            default=0,
        )

    def _build_prompt(self, candidates: list[Candidate]) -> Prompt:
        """Return the token counts of this prompt for scheduling.

        A part that a store holds for the newest weights needs no prefill.
        """
        tokens = self.metadata.prompt_tokens
        context = self.relayed.find_stores()
        if context is None or len(self.metadata.parts) < 2 or not candidates:
            return Prompt(tokens, tokens)
        version = self._get_newest_version(candidates)
        part = self.metadata.largest_shared_part
        scope = self.relayed.get_scope(version)
        located = self.relayed.part_location.find(scope)
        if located is not None:
            index = self.metadata.shared_parts.index(part)
            held = bool(located.plan.fetch[index])
        else:
            held = context.is_held(scope, part)
        return Prompt(tokens, max(0, tokens - part.tokens) if held else tokens)

    def _get_time_budget(self) -> TimeBudget:
        """Return the remaining time budget of this request."""
        route = self.relayed.admission.route
        elapsed_ms = 1000 * (
            trio.current_time() - self.relayed.exchange.request.received_at
        )
        remaining_ms = 1000 * self.relayed.get_remaining_s()
        left_ms = min(remaining_ms, (route.patience_ms or remaining_ms) - elapsed_ms)
        target_ms = route.target_ms or left_ms + elapsed_ms
        return TimeBudget(target_ms - elapsed_ms, left_ms, target_ms)
