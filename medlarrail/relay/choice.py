"""Chooses the endpoint for a request, and when a long prompt goes there.

The decisions are those of ``policy/``; this module gives them what the entry knows
and the request says.
"""

import trio
from attrs import define, evolve, field, frozen

from medlarrail.cluster.picture import PicturedEndpoint
from medlarrail.core.deployment import ServiceRule
from medlarrail.policy.placement import (
    Candidate,
    choose_by_context,
    choose_least_loaded,
    get_load,
)
from medlarrail.policy.sizes import (
    PREFILL_TOKENS_PER_MS,
    are_all_full,
    is_long,
    list_engines,
)
from medlarrail.policy.weights import VersionUse, choose_versions
from medlarrail.policy.work import (
    DispatchAction,
    EngineWorkload,
    Prompt,
    TimeBudget,
    choose_by_workload,
    decide_dispatch,
)
from medlarrail.relay.calls import CallFacts
from medlarrail.relay.work_tally import EngineTally


@frozen
class Choice:
    """The best endpoint, or None where there is none, and what to do now.

    ``backlog_ms`` is the work before it, where the prompt is a long one.
    """

    endpoint: PicturedEndpoint | None = None
    action: DispatchAction = "send"
    backlog_ms: float = 0.0


@define(eq=False)
class EndpointChooser:
    """Chooses among the endpoints of the service that ``relayed`` goes to."""

    relayed: "RelayedRequest"  # noqa: F821
    front: "RelayFront" = field(init=False)  # noqa: F821
    service: ServiceRule = field(init=False)
    facts: CallFacts = field(init=False)
    is_long: bool = field(init=False)

    def __attrs_post_init__(self):
        self.front = self.relayed.front
        self.service = self.relayed.service
        self.facts = self.relayed.facts
        self.is_long = is_long(self.facts.own_tokens)

    def choose(self) -> Choice:
        """Return the choice for the next attempt."""
        usable = self._list_usable()
        candidates = self._describe(usable)
        entry_count = self.front.picture.entry_count
        if not self.facts.parts:
            best = choose_least_loaded(candidates, entry_count, self.facts.request_id)
            return self._find(best, usable)
        candidates = self._keep_size_class(candidates)
        part = self.facts.largest_shared_part
        context = self.relayed.get_scope(0) + part.identity
        if self.is_long and self.service.engine is not None:
            return self._choose_by_work(candidates, context, usable)
        return self._find(choose_by_context(candidates, entry_count, context), usable)

    @staticmethod
    def _find(
        best: Candidate | EngineWorkload | None, usable: list[PicturedEndpoint]
    ) -> Choice:
        if best is None:
            return Choice()
        return Choice(next(one for one in usable if one.announced.name == best.name))

    def _list_usable(self) -> list[PicturedEndpoint]:
        """Return the endpoints that are left, those that load only if need be."""
        book = self.front.book
        limit = self.front.get_connection_limit(self.service)
        usable = [
            one
            for one in book.iterate_usable(self.service)
            if one.announced.name not in self.relayed.tried
            and book.get_record(one.announced.name).in_flight < limit
        ]
        return [one for one in usable if not one.loading] or usable

    def _describe(self, usable: list[PicturedEndpoint]) -> list[Candidate]:
        """Return the endpoints whose weights this request may use."""
        book = self.front.book
        best_s = book.get_best_answer_s(usable)
        return [
            evolve(book.describe(one, best_s), outdated=use == "outdated")
            for one, use in zip(usable, self._choose_versions(usable), strict=True)
            if use != "avoid"
        ]

    def _choose_versions(self, usable: list[PicturedEndpoint]) -> list[VersionUse]:
        """Return for each endpoint how this request may use its weights."""
        picture = self.front.picture
        desired = picture.desired.get(self.facts.model)
        if desired is None or not desired.ordinal:
            return ["use"] * len(usable)
        model = self.facts.model
        versions = [one.announced.get_version(model) for one in usable]
        named_s = picture.clock() - picture.desired_at[model]
        return choose_versions(versions, desired.ordinal, named_s)

    def _keep_size_class(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the engines for prompts of this length, if any of them answers."""
        front = self.front
        names = list_engines(
            [one.name for one in candidates],
            self.service.name,
            self.is_long,
            front.mix.get_long_share(front.book.clock()),
        )
        kept = [one for one in candidates if one.name in names]
        if not self.is_long and self._has_no_place(kept):
            return candidates
        return kept if any(not one.suspected for one in kept) else candidates

    def _has_no_place(self, candidates: list[Candidate]) -> bool:
        entry_count = self.front.picture.entry_count
        loads = [get_load(one, entry_count) for one in candidates]
        return are_all_full(loads, [one.slots for one in candidates])

    def _choose_by_work(
        self,
        candidates: list[Candidate],
        context: str,
        usable: list[PicturedEndpoint],
    ) -> Choice:
        """Return the engine that can read this long prompt first."""
        prompt = self._describe_prompt(candidates)
        best = choose_by_workload(self._describe_work(candidates), prompt, context)
        found = self._find(best, usable)
        if best is None or self.relayed.exchange.started:
            return found
        return evolve(
            found,
            action=decide_dispatch(best, prompt, self._get_patience()),
            backlog_ms=best.unread / PREFILL_TOKENS_PER_MS,
        )

    def _describe_work(self, candidates: list[Candidate]) -> list[EngineWorkload]:
        """Return what this entry's part of the engines has before it."""
        group = self.front.find_group()
        names = group.list_engines([one.name for one in candidates], self.service.name)
        tallies = self.front.work.sum_engines(len(group.entries))
        works = []
        for one in candidates:
            if one.name in names:
                tally = tallies.get(one.name, EngineTally(one.name))
                works.append(
                    EngineWorkload(
                        one.name,
                        unread=tally.unread,
                        held=tally.held,
                        memory_tokens=self.service.engine.memory_tokens,
                        outdated=one.outdated,
                        failure_rate=one.failure_rate,
                        relative_latency=one.relative_latency,
                        suspected=one.suspected,
                    )
                )
        return works

    def _describe_prompt(self, candidates: list[Candidate]) -> Prompt:
        """Return this prompt as the choice sees it.

        What a store holds for the newest weights need not be read.
        """
        tokens = self.facts.prompt_tokens
        context = self.front.context
        endpoints = self.front.picture.endpoints
        if context is None or len(self.facts.parts) < 2 or not candidates:
            return Prompt(tokens, tokens)
        version = max(
            endpoints[one.name].announced.get_version(self.facts.model)
            for one in candidates
        )
        part = self.facts.largest_shared_part
        held = context.is_held(self.relayed.get_scope(version), part)
        return Prompt(tokens, max(0, tokens - part.tokens) if held else tokens)

    def _get_patience(self) -> TimeBudget:
        """Return the time that this request has left."""
        route = self.relayed.admitted.route
        passed_ms = 1000 * (
            trio.current_time() - self.relayed.exchange.request.received_at
        )
        rest_ms = 1000 * self.relayed.get_rest_s()
        left_ms = min(rest_ms, (route.patience_ms or rest_ms) - passed_ms)
        aim_ms = route.target_ms or left_ms + passed_ms
        return TimeBudget(aim_ms - passed_ms, left_ms, aim_ms)
