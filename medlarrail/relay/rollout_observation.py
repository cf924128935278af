"""What one attempt during a rollout tells of its endpoint's software version."""

import trio
from attrs import define, field

from medlarrail.core.announcements import Announcement
from medlarrail.core.errors import (
    AnswerCrossed,
    AnswerTooLong,
    AnswerTruncated,
    EndpointFailed,
    EndUnproven,
    MedlarError,
    StreamBroken,
    StreamOutOfOrder,
    StreamSilent,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_end import EndEvidence
from medlarrail.relay.service_rollout import ServiceRollout

FAILURES = (
    AnswerCrossed,
    AnswerTruncated,
    StreamBroken,
    StreamOutOfOrder,
    StreamSilent,
)
"""Failures that an endpoint causes, whatever it answered."""
MIN_FAILURE_STATUS = 500
LONG_PART_TOKENS = 1000
"""Size of a shared part from which on the time of an answer depends on whether the
endpoint has it stored."""
MIN_TIME_RATIO = 0.5
"""Part of a request's time that an attempt must have had to count as timed out: a
retry with little time left says nothing of its endpoint."""


@define(eq=False)
class AttemptObservation:
    """Measures one attempt at an endpoint and counts its answer in ``rollout``."""

    rollout: ServiceRollout
    announced: Announcement
    answer_s: float = 0.0
    """Seconds until the whole of a buffered answer was received."""
    _sent_at: float = field(factory=trio.current_time)
    _awaited_since: float | None = field(factory=trio.current_time)
    """Since when the endpoint's next bytes are awaited; None while the caller is."""
    _longest_gap_s: float = 0.0
    """Longest wait for the next part of a stream that has begun."""

    def record_part(self, has_begun: bool) -> None:
        """Record bytes of a stream, of which the caller has a part if it has begun.

        The time in which the caller takes them is not the endpoint's.
        """
        if has_begun and self._awaited_since is not None:
            gap_s = trio.current_time() - self._awaited_since
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._awaited_since = None

    def record_passed(self) -> None:
        """Record that the bytes were passed on, and the next ones are awaited."""
        self._awaited_since = trio.current_time()

    def record_whole(self) -> None:
        """Record that a buffered answer was received."""
        self.answer_s = trio.current_time() - self._sent_at
        self._awaited_since = None

    def record_end(
        self,
        attempt: "Attempt",  # noqa: F821
        failure: MedlarError | None,
        cancelled: bool,
    ) -> None:
        """Count the answer; a rejection or a caller that left is none."""
        if cancelled:
            failed = self._is_timed_out(attempt.relayed)
        else:
            failed = _is_endpoint_failure(attempt, failure)
        is_answered = not cancelled and isinstance(failure, EndUnproven | None)
        if not failed and not is_answered:
            return
        version = self.announced.software_version
        service = self.announced.service
        if failed:
            get_metrics().count(
                "rollout_answers_failed", service=service, version=version
            )
        self.rollout.record_answer(
            attempt.relayed.admission.route.name,
            version,
            failed,
            self._get_comparable_s(attempt),
        )

    def _is_timed_out(self, relayed: "RelayedRequest") -> bool:  # noqa: F821
        """Return whether the deadline passed while the endpoint was awaited."""
        allowed_s = relayed.deadline - relayed.exchange.request.received_at
        return (
            self._awaited_since is not None
            and not relayed.interrupted
            and relayed.get_remaining_s() <= 0
            and relayed.deadline - self._sent_at >= MIN_TIME_RATIO * allowed_s
        )

    def _get_comparable_s(self, attempt: "Attempt") -> float | None:  # noqa: F821
        """Return the time of an answer, None if it says nothing of the version.

        That of a stream is the time to its first event, or its longest later gap if
        that is longer.
        """
        if attempt.cold_send is not None or _has_unfetched_part(attempt):
            return None
        if self.answer_s:
            return self.answer_s
        return max(attempt.first_byte_s, self._longest_gap_s) or None


def _is_endpoint_failure(
    attempt: "Attempt",  # noqa: F821
    failure: MedlarError | None,
) -> bool:
    """Return whether the endpoint, not this entry or the caller, caused a failure."""
    if isinstance(failure, EndpointFailed):
        return failure.answered >= MIN_FAILURE_STATUS
    if attempt.end_evidence is EndEvidence.LATE:
        return False
    if isinstance(failure, AnswerTooLong):
        # An answer is also dropped for want of memory at this entry.
        return attempt.events is not None and not attempt.is_dropped
    return isinstance(failure, FAILURES)


def _has_unfetched_part(attempt: "Attempt") -> bool:  # noqa: F821
    """Return whether the prompt has a long shared part that no store provides."""
    parts = attempt.relayed.metadata.shared_parts
    if not parts:
        return False
    fetch = attempt.dispatch.fetch if attempt.dispatch is not None else ()
    return any(
        part.tokens >= LONG_PART_TOKENS and not (index < len(fetch) and fetch[index])
        for index, part in enumerate(parts)
    )
