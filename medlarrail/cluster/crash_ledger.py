"""Recent crashes of endpoints and the prompt parts or requests that may be the cause.

Kept by the leading state member in memory. What it concludes, the blocked parts, is in
the replicated log.
"""

from collections.abc import Iterable, Iterator, Sequence

from attrs import define, field, frozen

from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.cluster_records import SharedPart, is_request_key
from medlarrail.policy.crashing_parts import Crash, find_crashing_parts
from medlarrail.policy.crashing_requests import needs_trial

RETENTION_S = 120.0
"""Age up to which a crash is evidence."""
MAX_CRASHES = 1000
"""Maximum crashes that are kept, the latest ones."""
MAX_PARTS = 2000
"""Maximum suspected parts of one crash."""
MIN_SUSPECT_CRASHES = 2
"""Crashes from which on a part is suspected, and completed answers are reported."""
CLEARANCE_S = 0.3
"""Time for which a part is suspected before it may be blocked: entries report
completed answers meanwhile. The delay of their reports comes on top.

Also the age from which on nothing is missing from a crash: each entry reports what it
lost there, at most so much later than the others."""
MAX_BREAK_GAP_S = 1.0
"""Longest time between the breaks of requests that the same crash broke off."""
SEARCH_PERIOD_S = 5.0
"""Time for which causes are searched after a change, so that a commit that failed is
made again."""


@frozen
class Incarnation:
    """One run of an endpoint's process."""

    endpoint: str
    started_ms: int


@define
class RecordedCrash:
    """A crash with the keys of its suspected parts."""

    service: str
    model: str
    at: float
    parts: set[str] = field(factory=set)

    def is_near(self, other: "RecordedCrash") -> bool:
        """Return whether both may be the same crash of an incarnation."""
        return abs(self.at - other.at) <= MAX_BREAK_GAP_S

    def add(self, other: "RecordedCrash") -> None:
        """Add what another entry has reported of the same crash."""
        self.at = min(self.at, other.at)
        self.parts |= other.parts

    def limit_parts(self) -> None:
        """Drop the parts beyond the limit."""
        if len(self.parts) > MAX_PARTS:
            self.parts = set(sorted(self.parts)[:MAX_PARTS])

    def list_prompt_parts(self) -> list[str]:
        """Return the keys of prompt parts, without those of whole requests."""
        return [key for key in self.parts if not is_request_key(key)]


@frozen
class CrashCause:
    """Parts that explain ``crashes`` crashes of a service's endpoints."""

    service: str
    model: str
    parts: frozenset[str]
    crashes: int


@define(eq=False)
class CrashLedger:
    """Crashes by incarnation; ``revision`` changes with the list of suspects.

    The suspects are determined when they are asked for, and not with each report.
    """

    clock: Clock = get_boottime
    crashes: dict[Incarnation, RecordedCrash] = field(factory=dict)
    breaks: dict[Incarnation, RecordedCrash] = field(factory=dict)
    """What broke off where no entry has reported a crash yet."""
    max_report_delay_s: float = 0.0
    """Longest time for which suspects and reports of them are collected."""
    _revision: int = 0
    _is_outdated: bool = False
    """Whether crashes changed since the suspects were determined."""
    _changed_at: float = float("-inf")
    _suspected_since: dict[SharedPart, float] = field(factory=dict)
    _trial_requests: set[SharedPart] = field(factory=set)

    def clear(self) -> None:
        """Forget all crashes."""
        self.crashes.clear()
        self.breaks.clear()
        self._record_change()

    def _record_change(self) -> None:
        self._changed_at = self.clock()
        self._is_outdated = True

    def record_crash(
        self, incarnation: Incarnation, crash: RecordedCrash, blocked: Iterable[str]
    ) -> None:
        """Record a crash, or further parts of it.

        Parts in ``blocked`` explain it: it is no evidence against the others.
        """
        broken = self.breaks.pop(incarnation, None)
        if broken is not None and broken.is_near(crash):
            crash.add(broken)
        recorded = self.crashes.setdefault(incarnation, crash)
        recorded.add(crash)
        explained = recorded.parts & set(blocked)
        if explained:
            recorded.parts = explained
        recorded.limit_parts()
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[next(iter(self.crashes))]
        self._record_change()

    def record_break(
        self, incarnation: Incarnation, broken: RecordedCrash, blocked: Iterable[str]
    ) -> bool:
        """Record what broke off at an endpoint that may have crashed.

        It is evidence once an entry reports the crash. Returns whether it is now.
        """
        crash = self.crashes.get(incarnation)
        if crash is not None:
            is_near = broken.is_near(crash)
            if is_near:
                self.record_crash(incarnation, broken, blocked)
            return is_near
        recorded = self.breaks.setdefault(incarnation, broken)
        if recorded.is_near(broken):
            recorded.add(broken)
        else:
            recorded = self.breaks[incarnation] = broken
        recorded.limit_parts()
        while len(self.breaks) > MAX_CRASHES:
            del self.breaks[next(iter(self.breaks))]
        return False

    def record_completed(self, service: str, parts: Iterable[str]) -> bool:
        """Clear parts: requests with them were answered completely.

        Returns whether any of them was suspected.
        """
        changed = False
        for broken in self.breaks.values():
            if broken.service == service:
                broken.parts.difference_update(parts)
        for crash in self._iterate_crashes(service):
            if not crash.parts.isdisjoint(parts):
                crash.parts.difference_update(parts)
                changed = True
        if changed:
            self._record_change()
        return changed

    def _iterate_crashes(self, service: str) -> Iterator[RecordedCrash]:
        for crash in self.crashes.values():
            if crash.service == service:
                yield crash

    def drop_expired(self) -> None:
        """Drop the crashes that are too old."""
        limit = self.clock() - RETENTION_S
        expired = [key for key, crash in self.crashes.items() if crash.at < limit]
        for incarnation in expired:
            del self.crashes[incarnation]
        if expired:
            self._record_change()
        for incarnation, broken in list(self.breaks.items()):
            if broken.at < limit:
                del self.breaks[incarnation]

    def has_news(self) -> bool:
        """Return whether the evidence changed so recently that a cause may be found."""
        return self.clock() - self._changed_at < SEARCH_PERIOD_S

    @property
    def revision(self) -> int:
        """Number of changes of the list of suspects."""
        self._update_suspects()
        return self._revision

    def _update_suspects(self) -> None:
        """Determine the suspects anew if crashes have changed."""
        if not self._is_outdated:
            return
        self._is_outdated = False
        now = self.clock()
        times: dict[SharedPart, list[float]] = {}
        for crash in self.crashes.values():
            for key in crash.parts:
                part = SharedPart(crash.service, key)
                times.setdefault(part, []).append(crash.at)
        suspects = {
            part: self._suspected_since.get(part, now)
            for part, crash_times in times.items()
            if len(crash_times) >= MIN_SUSPECT_CRASHES or is_request_key(part.key)
        }
        trial_requests = {
            part
            for part, crash_times in times.items()
            if is_request_key(part.key) and needs_trial(crash_times)
        }
        changed = (
            suspects.keys() != self._suspected_since.keys()
            or trial_requests != self._trial_requests
        )
        self._revision += changed
        self._suspected_since = suspects
        self._trial_requests = trial_requests

    def needs_trial(self, request: SharedPart) -> bool:
        """Return whether a request may only be sent as a trial."""
        self._update_suspects()
        return request in self._trial_requests

    def list_trial_requests(self) -> tuple[SharedPart, ...]:
        """Return the requests that may only be sent as trials."""
        self._update_suspects()
        return tuple(self._trial_requests)

    def count_crashes(self, request: SharedPart) -> int:
        """Return the number of crashes at which a request was there."""
        return sum(
            request.key in crash.parts
            for crash in self._iterate_crashes(request.service)
        )

    def is_only_suspect(self, request: SharedPart, since: float) -> bool:
        """Return whether a request crashed an endpoint by itself after ``since``.

        It did if no other request that needs a trial was there.
        """
        self._update_suspects()
        return any(
            crash.at >= since
            and request.key in crash.parts
            and not any(
                SharedPart(request.service, key) in self._trial_requests
                for key in crash.parts - {request.key}
            )
            for crash in self._iterate_crashes(request.service)
        )

    def list_suspects(self) -> tuple[SharedPart, ...]:
        """Return the parts of more than one crash, and the requests of any."""
        self._update_suspects()
        return tuple(self._suspected_since)

    def find_causes(self) -> list[CrashCause]:
        """Return the causes that are certain enough to block."""
        self._update_suspects()
        causes = []
        services = {crash.service: crash.model for crash in self.crashes.values()}
        for service, model in services.items():
            crashes = [
                Crash(crash.at, frozenset(crash.list_prompt_parts()))
                for crash in self._iterate_crashes(service)
            ]
            for leading in find_crashing_parts(crashes):
                parts = self._add_companions(leading, crashes)
                if parts and self._is_established(service, parts):
                    count = sum(parts <= crash.parts for crash in crashes)
                    causes.append(CrashCause(service, model, parts, count))
        return causes

    def _add_companions(
        self, parts: frozenset[str], crashes: Sequence[Crash]
    ) -> frozenset[str]:
        """Return a cause with what may only be missing from the latest crashes.

        Returns no parts without an earlier crash.
        """
        settled_at = self.clock() - self._get_clearance_s()
        settled = [
            crash.parts
            for crash in crashes
            if parts <= crash.parts and crash.at <= settled_at
        ]
        return frozenset.intersection(*settled) if settled else frozenset()

    def _is_established(self, service: str, parts: frozenset[str]) -> bool:
        now = self.clock()
        clearance_s = self._get_clearance_s()
        return all(
            now - self._suspected_since.get(SharedPart(service, key), now)
            >= clearance_s
            for key in parts
        )

    def _get_clearance_s(self) -> float:
        return CLEARANCE_S + self.max_report_delay_s
