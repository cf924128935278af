"""Software rollouts: the record in the replicated log, and what gateways report.

A rollout moves the traffic of a service from the software versions that serve it to a
target version. In the stage ``trial`` the target gets a small share of the requests, in
the stage ``full`` all new ones. A final state never changes.
"""

from typing import Literal

from attrs import frozen

RolloutState = Literal["running", "completed", "rolled_back"]
RolloutStage = Literal["trial", "full"]

LATENCY_BOUNDS_MS = (5, 10, 20, 40, 60, 90, 135, 200, 300, 450, 675, 1000, 1500, 3000)
"""Upper bounds of the classes of answer times, except for the last one."""


@frozen
class SoftwareRollout:
    """A rollout as it stands in the replicated log.

    ``started_ms`` is the Unix time of the order in milliseconds, which together with
    the service identifies the rollout. ``replaced`` are the software versions that
    served when it was ordered.
    """

    service: str
    target: str
    duration_ms: int
    started_ms: int
    replaced: tuple[str, ...] = ()
    state: RolloutState = "running"
    stage: RolloutStage = "trial"
    changed_ms: int = 0
    """Unix time of the latest step in milliseconds."""
    reason: str = ""
    """Evidence of the latest step, for operators."""
    excluded: tuple[str, ...] = ()
    """Versions that earlier rollouts of the service took out of use, which get no
    requests unless they become a target again."""

    @property
    def is_running(self) -> bool:
        """Whether no verdict has been reached."""
        return self.state == "running"

    def excludes(self, version: str) -> bool:
        """Return whether endpoints of ``version`` may get no requests at all.

        >>> SoftwareRollout("guide", "v2", 9000, 1, ("v1",)).excludes("v1")
        False
        """
        if version in self.excluded:
            return True
        if self.state == "completed":
            return version in self.replaced
        return self.state == "rolled_back" and version == self.target

    def is_under_trial(self, version: str) -> bool:
        """Return whether only entries that apply the rollout may use ``version``.

        >>> SoftwareRollout("guide", "v2", 9000, 1, ("v1",)).is_under_trial("v2")
        True
        """
        return version == self.target and self.is_running

    def hides(self, version: str, knows_rollouts: bool) -> bool:
        """Return whether endpoints of ``version`` are not listed to an entry.

        An entry that does not know rollouts would send all requests to a version
        under trial.
        """
        if self.excludes(version):
            return True
        return self.is_under_trial(version) and not knows_rollouts

    def may_become(self, proposed: "SoftwareRollout") -> bool:
        """Return whether the log may replace this record with ``proposed``.

        A running rollout takes only its own next step, and an ended one only gives
        way to a later order.

        >>> running = SoftwareRollout("guide", "v2", 9000, started_ms=1)
        >>> later = SoftwareRollout("guide", "v3", 9000, started_ms=2)
        >>> running.may_become(later)
        False
        """
        if proposed.started_ms == self.started_ms:
            return (
                self.is_running
                and proposed.target == self.target
                and proposed.sort_key > self.sort_key
            )
        return not self.is_running and proposed.started_ms > self.started_ms

    @property
    def sort_key(self) -> tuple[int, bool, bool]:
        """Sort key that orders the records of one service by age."""
        return (self.started_ms, not self.is_running, self.stage == "full")


@frozen
class RolloutCounts:
    """Answers to one gateway's requests on a route, at the target or the others.

    ``failures`` are answers that failed or were incomplete. ``latencies`` counts the
    complete answers by ``LATENCY_BOUNDS_MS``, which has one class less, and may be
    empty for none. Answers whose time says nothing of the version, such as those of a
    cold endpoint or of prompts that had to be read without stored context, count in
    ``answers`` only.
    """

    route: str
    is_target: bool
    answers: int = 0
    failures: int = 0
    latencies: tuple[int, ...] = ()


@frozen
class RolloutReport:
    """What a gateway saw of a rollout since it learned of it; counts are cumulative.

    ``epoch`` is the gateway's start in Unix milliseconds: its counts begin anew with
    each process. ``sent`` and ``sent_to_target`` count requests to the service
    including repeated and rejected ones, ``in_flight_replaced`` those that still run at
    the replaced versions, and ``stage`` is the one that the gateway has applied.
    """

    entry: str
    epoch: int
    service: str
    started_ms: int
    stage: RolloutStage
    sent: int = 0
    sent_to_target: int = 0
    in_flight_replaced: int = 0
    counts: tuple[RolloutCounts, ...] = ()


@frozen
class SoftwareRolloutPolicy:
    """Limits of software rollouts.

    The target gets at most ``exposure_ratio`` of the requests to its service plus
    ``exposure_slack`` until there is a verdict, and nothing from ``rollback_ms``
    milliseconds after its fiftieth bad answer.
    """

    exposure_ratio: float = 0.1
    exposure_slack: int = 50
    rollback_ms: int = 5000
