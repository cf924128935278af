"""Time bounds that the promises of the system rest on.

Every constant is in seconds unless its name says otherwise. The bounds at the
end are sums of the constants above them, so a change of one moves the promise
with it; ``timing_test.py`` holds the sums to the stated target.
"""

HEARTBEAT_INTERVAL_S = 0.25
"""Longest pause between two appends from the leader to one member."""

ELECTION_TIMEOUT_MIN_S = 1.0
"""A member that heard from a leader more recently than this gives no vote."""

ELECTION_TIMEOUT_MAX_S = 2.0
"""Upper end of the random wait before a member stands for election."""

CLOCK_DRIFT_MARGIN_S = 0.1
"""Allowance for two clocks that run at different rates during one lease."""

RENEW_INTERVAL_S = 0.75
"""Pause between two renewals of an entry's session lease."""

SESSION_LEASE_S = 3.0
"""Length of a session lease, counted by the entry from the sending."""

PERMIT_LIFE_S = 1.5
"""Time in which a permit has to be used for a dispatch."""

LONGEST_QUEUE_WAIT_S = 5.0
"""Longest time for which a request waits for a permit."""

ENTRY_LIST_KEEP_S = 2.0
"""Time for which callers may keep the list of entries."""

FOLLOW_WAIT_S = 2.0
"""Longest time for which a member holds back an empty answer to a follower."""

IN_FORCE_BOUND_S = SESSION_LEASE_S + CLOCK_DRIFT_MARGIN_S
"""Longest time between an accepted change and its being in force everywhere.

An entry dispatches under a lease, and a lease stands for a configuration that
is not older than itself.
"""

OUT_OF_SERVICE_BOUND_S = IN_FORCE_BOUND_S
"""Longest time between an accepted removal and the last dispatch to it."""

ENTRY_OUT_BOUND_S = IN_FORCE_BOUND_S + ENTRY_LIST_KEEP_S
"""Longest time for which an entry of a removed data centre takes new requests."""
