"""One service's rollout at this entry: which versions may get requests, and counts."""

from collections import Counter
from collections.abc import Collection
from typing import Literal

import eliot
from attrs import define, evolve, field

from medlarrail.core.metrics import get_metrics
from medlarrail.core.placement import rank_nodes
from medlarrail.core.software_rollouts import SoftwareRollout, SoftwareRolloutPolicy
from medlarrail.policy import software_rollout
from medlarrail.policy.software_rollout import MAX_VIEW_AGE_S, TargetTraffic
from medlarrail.relay.endpoint_stats import EndpointStats
from medlarrail.relay.rollout_counts import AnswerCounts

TargetUse = Literal[
    "unknown", "trial", "full", "old view", "bad", "rolled_back", "completed"
]
CHECK_INTERVAL_S = 0.1
"""Pause between two looks at this entry's own counts: a tenth of a second of requests
to a bad target is few, and each answer would otherwise be judged."""
MAX_LOGGED_CHANGES = 20
"""Changes that are logged for each rollout: an entry with a bad path to the state
members may change with every poll."""
MAX_REPEAT_RESERVE = 2
"""Requests to the target that are kept from new draws for requests that may not go
elsewhere, once there were such requests."""
NO_SHARE = 1 << 30
"""Entry count and rank that give an entry no part of the exposure slack."""


@define(eq=False)
class ServiceRollout:
    """What this entry does and has seen of the rollout ``record``."""

    record: SoftwareRollout
    policy: SoftwareRolloutPolicy
    stats: EndpointStats
    epoch: int
    """Start of this process in Unix milliseconds."""
    counts: AnswerCounts = field(factory=AnswerCounts)
    sent: int = 0
    """Requests to the service, including those that are reserved."""
    sent_to_target: int = 0
    _sent_by_route: Counter[str] = field(factory=Counter)
    _target_by_route: Counter[str] = field(factory=Counter)
    """Requests to the target by route, including those that are reserved."""
    _repeats: int = 0
    """Requests to the target that could not go to another version."""
    _is_bad: bool = False
    """Whether this entry's own counts show that the target is bad."""
    _is_unchecked: bool = False
    """Whether there are counts that were not judged yet."""
    _checked_at: float = float("-inf")
    _use: TargetUse = "unknown"
    _logged_changes: int = 0

    @property
    def is_running(self) -> bool:
        """Whether no verdict has been reached."""
        return self.record.is_running

    @property
    def named_versions(self) -> tuple[str, ...]:
        """The versions that the rollout names."""
        return (self.record.target, *self.record.replaced)

    def is_target(self, version: str) -> bool:
        """Return whether this is the target version."""
        return version == self.record.target

    def may_send(self, version: str) -> bool:
        """Return whether endpoints of a version may get any request now."""
        if self.record.excludes(version):
            return False
        is_on_trial = self.is_running and self.is_target(version)
        return not is_on_trial or self.is_target_open()

    def is_target_open(self) -> bool:
        """Return whether the target of a running rollout may get requests now."""
        return self.update_use() in ("trial", "full")

    def update_use(self) -> TargetUse:
        """Return what this entry does with the target, and log it if it is new."""
        use = self._find_use()
        if use != self._use:
            self._log_change(use)
            self._use = use
        return use

    def _find_use(self) -> TargetUse:
        if not self.is_running:
            return self.record.state
        if self._is_found_bad():
            return "bad"
        if self.stats.cluster_view.get_age_s() > MAX_VIEW_AGE_S:
            return "old view"
        return self.record.stage

    def _is_found_bad(self) -> bool:
        now = self.stats.clock()
        is_due = now - self._checked_at >= CHECK_INTERVAL_S
        if self._is_unchecked and is_due and not self._is_bad:
            self._is_unchecked = False
            self._checked_at = now
            counts = self.counts.list_counts()
            self._is_bad = software_rollout.is_locally_bad(counts)
        return self._is_bad

    def _log_change(self, use: TargetUse) -> None:
        get_metrics().count(
            "rollout_changes", service=self.record.service, use=use.replace(" ", "_")
        )
        self._logged_changes += 1
        # The verdict ends the changes, so it is logged in any case.
        if self._logged_changes > MAX_LOGGED_CHANGES and self.is_running:
            return
        eliot.log_message(
            "rollout:target-use",
            service=self.record.service,
            target=self.record.target,
            use=use,
            previous=self._use,
            sent=self.sent,
            sent_to_target=self.sent_to_target,
            counts=[
                [item.route, item.is_target, item.answers, item.failures]
                for item in self.counts.list_counts()
            ],
            picture_age_s=round(self.stats.cluster_view.get_age_s(), 3),
        )

    def reserve(self, route: str, is_repeat: bool = False) -> bool:
        """Reserve one request to the target; returns False if there is no room for it.

        A request that may go nowhere else is a repeat; others are drawn so that each
        route shows something of the target.
        """
        traffic = self._build_traffic()
        if is_repeat:
            self._repeats += 1
        else:
            reserved = min(MAX_REPEAT_RESERVE, self._repeats)
            traffic = evolve(traffic, sent_to_target=self.sent_to_target + reserved)
        if not software_rollout.may_use_target(traffic, self.policy):
            return False
        if self.record.stage == "trial" and not is_repeat and not self._is_due(route):
            return False
        self.record_sent(route, is_target=True)
        return True

    def _is_due(self, route: str) -> bool:
        """Return whether it is a route's turn to show something of the target."""
        ratio = software_rollout.get_route_ratio(
            self._sent_by_route, route, self.policy.exposure_ratio
        )
        sent = self._sent_by_route[route] + 1
        return self._target_by_route[route] + 1 <= ratio * sent

    def release(self, route: str) -> None:
        """Take back a reserved request that was not sent."""
        self.sent -= 1
        self.sent_to_target -= 1
        self._sent_by_route[route] -= 1
        self._target_by_route[route] -= 1

    def record_sent(self, route: str, is_target: bool) -> None:
        """Count a request to the service."""
        self.sent += 1
        self.sent_to_target += is_target
        self._sent_by_route[route] += 1
        self._target_by_route[route] += is_target

    def record_answer(
        self, route: str, version: str, failed: bool, seconds: float | None
    ) -> None:
        """Count an answer; see ``AnswerCounts``."""
        is_target = self.is_target(version)
        if not is_target and version not in self.record.replaced:
            return
        self.counts.record(route, is_target, failed, seconds)
        self._is_unchecked = True

    def _build_traffic(self) -> TargetTraffic:
        """Return this entry's traffic for the decision on one more request.

        An entry that does not know how many others there are, or that started after
        the order and may have had its part before, has no part of the slack.
        """
        cluster_view = self.stats.cluster_view
        entry_count = cluster_view.entry_count
        rank = self.stats.rank.get(self.record.service)
        if not cluster_view.entries_settled or self.epoch > self.record.started_ms:
            entry_count, rank = NO_SHARE, NO_SHARE - 1
        return TargetTraffic(
            self.record.stage,
            cluster_view.get_age_s(),
            self.sent,
            self.sent_to_target,
            entry_count,
            rank,
        )

    def list_trial_endpoints(self) -> Collection[str]:
        """Return the target's endpoints that are used in the stage ``trial``.

        They are so few that each gets about as much load as one of another version,
        the same ones at all entries.
        """
        targets = []
        other_count = 0
        for endpoint in self.stats.cluster_view.endpoints.values():
            announced = endpoint.announced
            if announced.service != self.record.service or announced.state != "ready":
                continue
            if self.is_target(announced.software_version):
                targets.append(announced.name)
            else:
                other_count += 1
        count = max(1, int(self.policy.exposure_ratio * other_count))
        if len(targets) <= count:
            return targets
        key = f"{self.record.service}\0{self.record.target}"
        return rank_nodes(sorted(targets), key)[:count]
