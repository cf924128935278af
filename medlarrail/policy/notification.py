"""Limits the messages between a state member and the entries that call it.

Handles events that every entry notices at the same moment, as the loss of a data
centre: each of them reports each of its endpoints, each report changes what all entries
have to know, and a message to each entry for each change would grow with the square of
their number. Changes are therefore collected for a time that is proportional to the
number of callers. The first change after a calm time is sent at once.

Also handles the start of all entries at the same time, as after a loss of power: a
leader that answers each of hundreds by itself keeps the last ones waiting for seconds.
With many entries all state members answer, the followers from copies of the leader's
state that are not older than ``MAX_COPY_AGE_S``.
"""

MAX_DIRECT_ENTRIES = 24
"""Entries up to which the leader answers all of them: about as many as each member
answers at the target size."""
MAX_REDIRECTED_ENTRIES = 8
"""Entries that a follower without a copy sends to the leader, which may be all of a
small deployment; it answers further ones itself."""
MAX_COPY_AGE_S = 1.5
"""Age from which on a follower's copy is not used: two of its calls that fail."""
AVOIDANCE_S = 5.0
"""Time for which an entry does not call a follower that did not answer it."""

MAX_UPDATES_PER_S = 120.0
"""Maximum messages per second to or from all entries together, for one kind of
message: updates, polls without news, and reports. All of them together take a state
member with two thirds of a core three quarters of its time."""
MAX_UPDATE_INTERVAL_S = 1.0
"""Longest time for which changes are collected, however many entries there are: they
have to know within two seconds of an endpoint that leaves."""
MIN_POLL_WAIT_S = 0.5
MAX_POLL_WAIT_S = 1.0
"""Limits of the time for which an entry's poll is held without news."""
POLL_SLACK_S = 0.5
"""Time limit of a poll beyond the time for which it is held."""
ARRIVAL_MARGIN_S = 0.1
"""Allowance for differences in the delay of two polls."""


def answers_entries(entry_count: int, caller_count: int) -> bool:
    """Return whether a follower that so many entries call answers them itself.

    >>> answers_entries(7, 3), answers_entries(191, 3), answers_entries(1, 60)
    (False, True, True)
    """
    return entry_count > MAX_DIRECT_ENTRIES or caller_count > MAX_REDIRECTED_ENTRIES


def get_report_interval_s(entry_count: int) -> float:
    """Return the time between two reports of the same entry.

    >>> get_report_interval_s(60)
    0.5
    """
    return entry_count / MAX_UPDATES_PER_S


def get_update_interval_s(entry_count: int) -> float:
    """Return the time for which changes are collected for all entries.

    >>> get_update_interval_s(60), get_update_interval_s(390)
    (0.5, 1.0)
    """
    return min(MAX_UPDATE_INTERVAL_S, get_report_interval_s(entry_count))


def get_poll_wait_s(entry_count: int) -> float:
    """Return the time for which an entry's poll is held without news.

    >>> get_poll_wait_s(6), get_poll_wait_s(90), get_poll_wait_s(390)
    (0.5, 0.75, 1.0)
    """
    interval_s = get_update_interval_s(entry_count)
    return min(MAX_POLL_WAIT_S, max(MIN_POLL_WAIT_S, interval_s))


def get_poll_timeout_s(wait_s: float) -> float:
    """Return the time limit of a poll that is held for ``wait_s``.

    It suffices for two attempts: the connection of the first may be dead without
    notice. A limit that is shorter than the time for which a busy leader takes makes
    entries poll again on top of the calls that it still holds.
    """
    return 2 * (wait_s + POLL_SLACK_S)


def get_entry_timeout_s(entry_count: int) -> float:
    """Return the silence after which an entry is taken for gone.

    One poll may be lost with its connection, and a follower may report it later.
    """
    wait_s = get_poll_wait_s(entry_count)
    report_s = MAX_POLL_WAIT_S if entry_count > MAX_DIRECT_ENTRIES else 0.0
    return wait_s + get_poll_timeout_s(wait_s) / 2 + report_s + ARRIVAL_MARGIN_S
