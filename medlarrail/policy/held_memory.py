"""Decides who may hold how much of a process's memory.

Load pattern: clients outside our control that send large bodies and stop short of
their end, send requests ahead of unread answers, or stay connected for nothing. Each
is within the limits of a request, but a few hundred fill the memory of a process.

All that a process holds for others is in one account: a base for each connection, the
bodies that were received or are announced, what they need once they are decoded, and
the answers that wait to be written. Who needs more than there is waits; small requests
come first and have a reserve. While someone waits, those are given up that hold most
for longest without progress.
"""

from attrs import define, field

MEGABYTE = 1_000_000
BUDGET_RATIO = 0.3
"""Fraction of a process's memory that it may hold for others. The rest is for the
process itself (a third of the smallest VM), received answers, copies and the kernel."""
MIN_BUDGET_BYTES = 20 * MEGABYTE
MAX_BUDGET_BYTES = 1000 * MEGABYTE
DEFAULT_BUDGET_BYTES = 256 * MEGABYTE
"""For servers that are not told how much memory there is."""
RESERVE_RATIO = 0.3
"""Fraction of the budget that only connections and small requests may use."""
SMALL_BYTES = 65536
"""Maximum bytes of a small request; ordinary ones have a few tens of kilobytes."""
DECODING_RESERVE_RATIO = 0.1
"""Fraction of the budget that a large request may not use for its decoded body, either.
The largest text within the limits needs four times its bytes, beside the body."""
SMALL_DECODED_BYTES = 4 * SMALL_BYTES
"""Maximum bytes of the decoded body of a small request: text of the widest characters
needs four bytes for each."""
MIN_STALL_S = 1.0
"""Time without progress after which a holder may be given up: longer than pauses of
sound callers on a lossy link."""
PROGRESS_BYTES = 16384
"""Bytes that count as progress: fewer would let a peer that drips hold everything."""
EVICTABLE_STATES = ("idle", "receiving", "writing")
"""States in which progress depends on the peer, or on what others hold."""


def get_budget_bytes(memory_bytes: int) -> int:
    """Return how much a process with this much memory may hold for others.

    >>> get_budget_bytes(150_000_000)
    45000000
    """
    wanted = int(BUDGET_RATIO * memory_bytes)
    return min(MAX_BUDGET_BYTES, max(MIN_BUDGET_BYTES, wanted))


@define(eq=False)
class Holding:
    """What is held for one peer; times are on the caller's clock.

    ``state`` is "idle" between requests, "receiving", "working" while the answer
    depends on this system, or "writing" while the peer has to read.
    """

    listener: str
    progress_at: float
    state: str = "idle"
    held_bytes: int = 0
    exempt_bytes: int = 0
    """Bytes of these that did not wait, because a peer sends them."""
    is_waiting: bool = False
    """Whether it waits for memory, or did when it was given up."""
    is_ended: bool = False
    """Whether it was given up."""
    _unnoted_bytes: int = 0

    def start(self, state: str, now: float) -> None:
        """Enter another state, which counts as progress."""
        self.state = state
        self.progress_at = now
        self._unnoted_bytes = 0

    def record_bytes(self, count: int, now: float) -> None:
        """Record that the peer sent or read ``count`` bytes."""
        self._unnoted_bytes += count
        if self._unnoted_bytes >= PROGRESS_BYTES:
            self._unnoted_bytes = 0
            self.progress_at = now

    def get_stall_s(self, now: float) -> float:
        """Return the time without progress."""
        return now - self.progress_at


@define(eq=False)
class Waiter:
    """A holder that waits for more memory."""

    holding: Holding
    wanted_bytes: int
    since: float
    is_decoding: bool = False
    """Whether a body that was received waits to be decoded."""
    is_granted: bool = False

    @property
    def is_small(self) -> bool:
        """Whether the reserve is open to it."""
        limit = SMALL_DECODED_BYTES if self.is_decoding else SMALL_BYTES
        return self.wanted_bytes <= limit

    @property
    def reserve_ratio(self) -> float:
        """The fraction of the budget that it may not use."""
        if self.is_small:
            return 0.0
        return DECODING_RESERVE_RATIO if self.is_decoding else RESERVE_RATIO


@define(eq=False)
class HeldMemory:
    """The account of one process.

    Example::

        holding = memory.open("callers", now)
        waiter = memory.request(holding, 1_000_000, now)
        if not waiter.is_granted: ...  # wait, give up ``memory.choose_victims(now)``
        memory.close(holding)
    """

    limit_bytes: int = DEFAULT_BUDGET_BYTES
    held_bytes: int = 0
    exempt_bytes: int = 0
    holdings: set[Holding] = field(factory=set)
    waiters: list[Waiter] = field(factory=list)

    def open(self, listener: str, now: float) -> Holding:
        """Return a new holding, which has to be closed."""
        holding = Holding(listener, now)
        self.holdings.add(holding)
        return holding

    def add(self, holding: Holding, count: int) -> None:
        """Add bytes that are held already; a negative number takes some away."""
        holding.held_bytes += count
        self.held_bytes += count
        if count < 0:
            self.grant_waiters()

    def add_exempt(self, holding: Holding, count: int) -> bool:
        """Add bytes of a peer without a wait; return whether there was room.

        Peers have room of the reserve's size beside the limit, so that no crowd delays
        them. More than that waits, as a crowd may have a key, too.
        """
        if self.exempt_bytes + count > RESERVE_RATIO * self.limit_bytes:
            return False
        self.exempt_bytes += count
        holding.exempt_bytes += count
        self.add(holding, count)
        return True

    def request(
        self, holding: Holding, count: int, now: float, is_decoding: bool = False
    ) -> Waiter:
        """Ask for ``count`` bytes more, which are granted at once or later.

        Small requests come first, then bodies that wait to be decoded, since they hold
        memory meanwhile, then those that wait already.
        """
        waiter = Waiter(holding, count, now, is_decoding)
        holding.is_waiting = True
        self.waiters.append(waiter)
        self.grant_waiters()
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """End a request for memory that was not granted."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            waiter.holding.is_waiting = waiter.holding.is_ended
            self.grant_waiters()

    def close(self, holding: Holding) -> None:
        """Free all that is held for a peer."""
        if holding in self.holdings:
            self.holdings.remove(holding)
            self.exempt_bytes -= holding.exempt_bytes
            self.add(holding, -holding.held_bytes)

    def get_room(self, reserve_ratio: float = 0.0) -> int:
        """Return the free bytes outside a reserve, all by default."""
        return int((1.0 - reserve_ratio) * self.limit_bytes) - self.held_bytes

    def can_ever_grant(self, count: int) -> bool:
        """Return whether so much fits when nothing else is held."""
        return count <= (1.0 - RESERVE_RATIO) * self.limit_bytes

    def get_decoding_limit(self, holding: Holding) -> int:
        """Return the bytes for its decoded body that a holder may ever be granted."""
        limit_bytes = int((1.0 - DECODING_RESERVE_RATIO) * self.limit_bytes)
        return limit_bytes - holding.held_bytes

    def grant_waiters(self) -> None:
        """Grant what fits: small requests first, the others in their order."""
        if not self.waiters:
            return
        for waiter in self._list_waiters():
            if waiter.wanted_bytes > self.get_room(waiter.reserve_ratio):
                if not waiter.is_small:
                    return
                continue
            self.waiters.remove(waiter)
            waiter.is_granted = True
            waiter.holding.is_waiting = False
            self.add(waiter.holding, waiter.wanted_bytes)

    def choose_victims(self, now: float) -> list[Holding]:
        """Return the holdings to be given up for those that wait, and mark them."""
        if not self.waiters:
            return []
        first = self._list_waiters()[0]
        freed = sum(one.held_bytes for one in self.holdings if one.is_ended)
        missing = first.wanted_bytes - self.get_room(first.reserve_ratio) - freed
        victims = []
        for holding in self._list_stalled(now):
            if missing <= 0:
                break
            if holding is not first.holding:
                holding.is_ended = True
                victims.append(holding)
                missing -= holding.held_bytes
        return victims

    def choose_idle(self, listener: str | None, now: float) -> Holding | None:
        """Return one connection, of any listener if None, to be closed for another."""
        for holding in self._list_stalled(now):
            if listener in (None, holding.listener):
                holding.is_ended = True
                return holding
        return None

    def _list_waiters(self) -> list[Waiter]:
        return sorted(
            self.waiters,
            key=lambda one: (not one.is_small, not one.is_decoding, one.since),
        )

    def _list_stalled(self, now: float) -> list[Holding]:
        """Return those that may be given up, those that hold most for longest first."""
        stalled = [
            holding
            for holding in self.holdings
            if not holding.is_ended
            and holding.state in EVICTABLE_STATES
            and holding.get_stall_s(now) >= MIN_STALL_S
        ]
        return sorted(
            stalled, key=lambda one: one.held_bytes * one.get_stall_s(now), reverse=True
        )
