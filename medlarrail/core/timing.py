"""Time limits that the guarantees of the system are derived from.

Every constant is in seconds unless its name says otherwise. The bounds at the
end are sums of the constants above them, so changing one changes the guarantee;
``timing_test.py`` checks the sums against the stated target.
"""

HEARTBEAT_INTERVAL_S = 0.25
"""Longest interval between two appends from the leader to one member."""

ELECTION_TIMEOUT_MIN_S = 1.0
"""A member that heard from a leader more recently than this grants no vote."""

ELECTION_TIMEOUT_MAX_S = 2.0
"""Upper limit of the random delay before a member stands for election."""

CLOCK_DRIFT_MARGIN_S = 0.1
"""Allowance for clock drift between two machines during one lease."""

RENEW_INTERVAL_S = 0.75
"""Interval between two renewals of an entry's session lease."""

SESSION_LEASE_S = 3.0
"""Duration of a session lease, measured by the entry from sending the request."""

PERMIT_TTL_S = 1.5
"""Time within which a permit has to be used for a dispatch."""

MAX_QUEUE_WAIT_S = 5.0
"""Maximum time that a request waits for a permit."""

ENTRY_LIST_TTL_S = 2.0
"""Time for which callers may cache the list of entries."""

FOLLOW_WAIT_S = 2.0
"""Long-poll limit: time after which a member sends a follower an empty answer."""

MAX_PROPAGATION_DELAY_S = SESSION_LEASE_S + CLOCK_DRIFT_MARGIN_S
"""Upper bound of the time from accepting a change until it is in force everywhere.

An entry dispatches only under a lease, and a lease guarantees a configuration that
is not older than the lease.
"""

OUT_OF_SERVICE_BOUND_S = MAX_PROPAGATION_DELAY_S
"""Upper bound of the time from accepting a removal to the last dispatch to it."""

ENTRY_OUT_BOUND_S = MAX_PROPAGATION_DELAY_S + ENTRY_LIST_TTL_S
"""Longest time that an entry of a removed data centre accepts new requests."""
