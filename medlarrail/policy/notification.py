"""Limits the messages between the leading state member and all entries.

Handles events that every entry notices at the same moment, as the loss of a data
centre: each of them reports each of its endpoints, each report changes what all entries
have to know, and a message to each entry for each change would grow with the square of
their number. Changes are therefore collected for a time that is proportional to the
number of entries. The first change after a calm time is sent at once.
"""

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

    One poll may be lost with its connection.
    """
    wait_s = get_poll_wait_s(entry_count)
    return wait_s + get_poll_timeout_s(wait_s) / 2 + ARRIVAL_MARGIN_S
