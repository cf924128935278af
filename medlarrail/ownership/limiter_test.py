"""Tests of the limiter, including a stateful test with a restarting endpoint."""

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from medlarrail.ownership.limiter import GrantedPermit, Limiter
from medlarrail.testing.builders import build_endpoint


class ManualClock:
    """A clock that tests set by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def build_limiter(**changes) -> tuple[Limiter, ManualClock]:
    clock = ManualClock()
    limiter = Limiter(
        build_endpoint(**changes), clock, holders_known=True, may_run_untracked=False
    )
    return limiter, clock


def grant_all(limiter: Limiter, prefix: str = "p") -> int:
    count = 0
    while limiter.has_capacity():
        now = limiter.clock()
        limiter.grant(GrantedPermit(f"{prefix}{count}", "e", "a", now, now + 60))
        count += 1
    return count


class TestLimiter:
    def test_a_new_endpoint_gets_the_cold_limit(self):
        limiter, _ = build_limiter(cold_limit=2, warm_limit=8)
        assert grant_all(limiter) == 2

    def test_the_limit_grows_with_completed_requests(self):
        limiter, clock = build_limiter(cold_limit=2, warm_limit=8, warmup_requests=6)
        for number in range(6):
            clock.now += 1
            limiter.grant(GrantedPermit(f"w{number}", "e", "a", clock.now, 999))
            limiter.record_started(f"w{number}", "i1")
            limiter.record_ended(f"w{number}", "ok", "i1")
        assert limiter.get_limit() == 8

    def test_an_unconfirmed_endpoint_gets_at_most_the_cold_limit(self):
        limiter, clock = build_limiter(cold_limit=2, warm_limit=8)
        limiter.record_report("i1", running=0, completed=100, stamp=clock.now)
        clock.now += 1
        assert limiter.get_limit() == 8
        assert grant_all(limiter) == 2
        limiter.record_report("i1", running=2, completed=100, stamp=clock.now)
        clock.now += 1
        assert grant_all(limiter, "q") == 2

    def test_a_broken_connection_drops_the_limit_until_a_later_report(self):
        limiter, clock = build_limiter(cold_limit=1, warm_limit=8)
        limiter.record_report("i1", 0, 100, stamp=clock.now)
        clock.now += 1
        grant_all(limiter)
        limiter.record_ended("p0", "broken")
        assert limiter.get_limit() == 1
        limiter.record_report("i1", 0, 100, stamp=clock.now - 0.5)
        assert limiter.get_limit() == 1
        clock.now += 1
        limiter.record_report("i1", 0, 100, stamp=clock.now)
        assert limiter.get_limit() == 8

    def test_a_completion_on_an_earlier_incarnation_does_not_count(self):
        limiter, _ = build_limiter(cold_limit=2, warm_limit=8, warmup_requests=1)
        grant_all(limiter)
        limiter.update(build_endpoint(cold_limit=2, warm_limit=8, incarnation="i2"))
        limiter.record_ended("p0", "ok", "i1")
        assert limiter.completed == 0

    def test_untracked_requests_are_counted_from_the_report(self):
        limiter, clock = build_limiter(cold_limit=2, warm_limit=2)
        limiter.may_run_untracked = True
        limiter.record_report("i1", running=2, completed=0, stamp=clock.now)
        clock.now += 1
        assert grant_all(limiter) == 0


class TestClosedSessions:
    def test_permits_of_a_closed_session_are_dropped_once_their_requests_end(self):
        limiter, clock = build_limiter(cold_limit=3, warm_limit=3)
        grant_all(limiter)
        limiter.record_session_closed("e")
        limiter.record_report("i1", running=3, completed=0, stamp=clock.now + 1)
        assert len(limiter.permits) == 3
        limiter.record_report("i1", running=1, completed=2, stamp=clock.now + 2)
        assert len(limiter.permits) == 1
        limiter.record_report("i1", running=0, completed=3, stamp=clock.now + 3)
        assert not limiter.permits


class RestartingEndpoint(RuleBasedStateMachine):
    """Drives a limiter against an endpoint that restarts without notice.

    The model records which incarnation each request really runs on. Whatever the
    order of answers, reports and restarts, a cold incarnation never runs more
    requests than its warm-up allows.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.endpoint = build_endpoint(cold_limit=2, warm_limit=6, warmup_requests=4)
        self.limiter = Limiter(
            self.endpoint, self.clock, holders_known=True, may_run_untracked=False
        )
        self.incarnation_number = 1
        self.completed = 0
        self.running: dict[str, int] = {}
        self.lost: list[str] = []
        self.finished: list[tuple[str, str]] = []
        self.reports: list[tuple] = []
        self.stamp = -1.0
        self.request_count = 0

    @rule(count=st.integers(1, 4))
    def dispatch(self, count):
        for _ in range(count):
            self.clock.now += 0.01
            if not self.limiter.has_capacity():
                return
            self.request_count += 1
            name = f"r{self.request_count}"
            now = self.clock.now
            self.limiter.grant(GrantedPermit(name, "e", "a", now, now + 1000))
            self.running[name] = self.incarnation_number

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def respond(self, data):
        name = data.draw(st.sampled_from(sorted(self.running)))
        self.limiter.record_started(name, f"i{self.incarnation_number}")

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def complete(self, data):
        name = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[name]
        self.completed += 1
        self.finished.append((name, f"i{self.incarnation_number}"))

    @precondition(lambda self: self.finished)
    @rule()
    def notice_completed(self):
        name, incarnation = self.finished.pop(0)
        self.limiter.record_started(name, incarnation)
        self.limiter.record_ended(name, "ok", incarnation)

    @rule()
    def restart_silently(self):
        self.incarnation_number += 1
        self.completed = 0
        self.lost.extend(self.running)
        self.running.clear()

    @precondition(lambda self: self.lost)
    @rule()
    def notice_broken(self):
        self.limiter.record_ended(self.lost.pop(), "broken")

    @rule()
    def sample_report(self):
        report = (
            f"i{self.incarnation_number}",
            len(self.running),
            self.completed,
            self.stamp,
        )
        self.reports.append(report)
        self.clock.now += 0.01
        self.stamp = self.clock.now
        self.clock.now += 0.01

    @precondition(lambda self: self.reports)
    @rule()
    def deliver_report(self):
        self.limiter.record_report(*self.reports.pop(0))

    @rule()
    def announce(self):
        changed = evolve(self.endpoint, incarnation=f"i{self.incarnation_number}")
        self.limiter.update(changed)

    @invariant()
    def running_requests_within_limit(self):
        limit = 2 + (6 - 2) * min(1.0, self.completed / 4)
        assert len(self.running) <= int(limit)


TestRestartingEndpoint = RestartingEndpoint.TestCase
TestRestartingEndpoint.settings = settings(
    derandomize=True, max_examples=300, stateful_step_count=40, deadline=None
)
