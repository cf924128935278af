"""A queue that shares capacity among accounts by weight.

Start-time fair queueing: each request gets a start tag that is the later of the
queue's virtual time and the account's last finish tag; the lowest tag goes
first. An account that is alone gets everything, and one that comes back does
not get credit for the time that it was away. Every weight is above zero, so no
account starves.
"""

import heapq

from attrs import define, field, frozen

PRIORITY_FACTOR = 4.0
"""Weight of one step of priority."""


def get_weight(share: float, priority: int) -> float:
    """Return the weight of an account with this share and priority."""
    return max(share, 1e-6) * PRIORITY_FACTOR**priority


@frozen(order=True)
class Ticket:
    """A place in the queue."""

    start_tag: float
    sequence: int
    name: str = field(order=False)
    account: str = field(order=False)


@define
class FairQueue:
    """Tickets in the order in which they are to be served.

    Removed tickets stay in the heap until they come to its top.
    """

    virtual_time: float = 0.0
    _tickets: dict[str, Ticket] = field(factory=dict)
    _heap: list[Ticket] = field(factory=list)
    _finish_tags: dict[str, float] = field(factory=dict)
    _sequence: int = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def add(self, name: str, account: str, weight: float) -> Ticket:
        """Queue a request of ``account`` under ``name``."""
        self._sequence += 1
        start_tag = self._get_start_tag(account)
        self._finish_tags[account] = start_tag + 1.0 / weight
        ticket = Ticket(start_tag, self._sequence, name, account)
        self._tickets[name] = ticket
        heapq.heappush(self._heap, ticket)
        return ticket

    def _get_start_tag(self, account: str) -> float:
        return max(self.virtual_time, self._finish_tags.get(account, 0.0))

    def remove(self, name: str) -> None:
        """Take a request out of the queue, if it is there."""
        self._tickets.pop(name, None)

    def pop(self) -> Ticket:
        """Take out the request that is to be served next."""
        while True:
            ticket = heapq.heappop(self._heap)
            if self._tickets.get(ticket.name) is ticket:
                break
        del self._tickets[ticket.name]
        self.virtual_time = ticket.start_tag
        if not self._tickets:
            self._forget_idle_accounts()
        return ticket

    def count_ahead(self, account: str) -> int:
        """Return how many queued requests would go before a new one."""
        start_tag = self._get_start_tag(account)
        return sum(one.start_tag <= start_tag for one in self._tickets.values())

    def _forget_idle_accounts(self) -> None:
        """Drop finish tags that virtual time has passed, and dead tickets."""
        self._heap.clear()
        passed = [
            account
            for account, tag in self._finish_tags.items()
            if tag <= self.virtual_time
        ]
        for account in passed:
            del self._finish_tags[account]
