"""Limits the messages between the leading state member and all entries.

Handles events that every entry notices at the same moment, as the loss of a data
centre: each of them reports each of its endpoints, each report changes what all entries
have to know, and a message to each entry for each change would grow with the square of
their number. Changes are therefore collected for a time that is proportional to the
number of entries. The first change after a calm time is sent at once.
"""

MAX_UPDATES_PER_S = 300.0
"""Maximum messages per second to or from all entries together, for one kind of
message."""


def get_update_interval_s(entry_count: int) -> float:
    """Return the time between two messages to or from the same entry.

    >>> get_update_interval_s(60)
    0.2
    """
    return entry_count / MAX_UPDATES_PER_S
