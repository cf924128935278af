"""Finds the parts of prompts that crash endpoints.

Handles requests that share one part, come at any entry and crash every endpoint that
begins to answer them: each crash frees the part for the next endpoint, until none is
left. Whatever ran on a crashed endpoint is a suspect, and most of it is innocent. A
part is taken for the cause only if no request with it was completed since, if it
explains more crashes than any other part, and if few crashes happened without it.
Endpoints that crash at the same moment, as when a rack loses power, count as one crash.
"""

from collections.abc import Iterable, Sequence

from attrs import frozen

MIN_CRASHES = 3
"""Separate crashes that a part must explain."""
MISSES_PER_CRASH = 3
"""Crashes without a part that each of its crashes beyond the first ones makes up for,
counted from its first crash to its last. Endpoints that crash at random interrupt a
rare part now and then."""
SIMULTANEOUS_S = 0.05
"""Time within which crashes count as one."""
TRIAL_DELAYS_S = (10.0, 60.0, 600.0, 3600.0)
"""Pauses before the trials of a blocked part; the last one is repeated."""


@frozen
class Crash:
    """The crash of one endpoint, and the parts that may have caused it.

    ``at`` is the time in seconds, and ``parts`` the parts of the prompts that ran there
    without those that were cleared.
    """

    at: float
    parts: frozenset[str]


def count_separate(times: Iterable[float]) -> int:
    """Return the number of crashes, those at the same moment counting as one.

    >>> count_separate([1.0, 1.01, 1.02, 2.0])
    2
    """
    count = 0
    latest = float("-inf")
    for at in sorted(times):
        if at - latest > SIMULTANEOUS_S:
            count += 1
        latest = at
    return count


def find_crashing_parts(crashes: Sequence[Crash]) -> list[frozenset[str]]:
    """Return the causes of the crashes, the one of most crashes first.

    A cause is a set of parts that were always together, so that the crashes do not
    tell which of them is guilty. A crash that has a cause is no evidence against its
    other parts. If several parts explain as many crashes as each other, but not the
    same ones, the next crash has to decide.

    >>> find_crashing_parts([
    ...     Crash(1.0, frozenset("ap")), Crash(2.0, frozenset("bp")),
    ...     Crash(3.0, frozenset("ap")),
    ... ])
    [frozenset({'p'})]
    """
    causes = []
    unexplained = list(crashes)
    while True:
        cause = _find_leading_cause(unexplained)
        if cause is None:
            return causes
        causes.append(cause)
        unexplained = [crash for crash in unexplained if not cause <= crash.parts]


def _find_leading_cause(crashes: Sequence[Crash]) -> frozenset[str] | None:
    explained: dict[str, list[int]] = {}
    for index, crash in enumerate(crashes):
        for part in crash.parts:
            explained.setdefault(part, []).append(index)
    scores = {
        part: _get_score(crashes, indices)
        for part, indices in explained.items()
        if len(indices) >= MIN_CRASHES
    }
    best = max(scores.values(), default=0)
    if best < MIN_CRASHES:
        return None
    leading = [part for part, score in scores.items() if score == best]
    if any(explained[part] != explained[leading[0]] for part in leading):
        return None
    return frozenset(leading)


def _get_score(crashes: Sequence[Crash], indices: Sequence[int]) -> int:
    """Return the number of separate crashes at ``indices``.

    Returns 0 if too many others happened meanwhile.
    """
    times = [crashes[index].at for index in indices]
    first, last = min(times), max(times)
    count = count_separate(times)
    meanwhile = count_separate(
        crash.at for crash in crashes if first <= crash.at <= last
    )
    few_missed = meanwhile - count <= MISSES_PER_CRASH * (count - MIN_CRASHES)
    return count if few_missed else 0


def get_trial_delay_s(trials: int) -> float:
    """Return the pause before the next trial of a part after ``trials`` of them."""
    return TRIAL_DELAYS_S[min(trials, len(TRIAL_DELAYS_S) - 1)]
