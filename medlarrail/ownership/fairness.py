"""A queue that shares capacity among accounts by weight.

Start-time fair queueing: each request gets a start tag that is the later of the
queue's virtual time and the account's last finish tag; the lowest tag is served
first. A single active account gets the whole capacity, and an account gets no
credit for the time that it was idle. Every weight is above zero, so no account
starves.
"""

import heapq

from attrs import define, field, frozen

PRIORITY_FACTOR = 4.0
"""Factor by which one priority level multiplies an account's weight."""


def get_queue_weight(share: float, priority: int) -> float:
    """Return the weight of an account with this share and priority."""
    return max(share, 1e-6) * PRIORITY_FACTOR**priority


@frozen(order=True)
class Ticket:
    """A queued request, ordered by its start tag."""

    start_tag: float
    sequence: int
    name: str = field(order=False)
    account: str = field(order=False)


@define
class FairQueue:
    """Tickets in the order in which they will be served.

    Removed tickets stay in the heap until they reach its top.
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
        """Remove a request from the queue, if it is queued."""
        self._tickets.pop(name, None)

    def pop(self) -> Ticket:
        """Remove and return the request to serve next."""
        while True:
            ticket = heapq.heappop(self._heap)
            if self._tickets.get(ticket.name) is ticket:
                break
        del self._tickets[ticket.name]
        self.virtual_time = ticket.start_tag
        if not self._tickets:
            self._drop_idle_accounts()
        return ticket

    def count_ahead(self, account: str) -> int:
        """Return the number of queued requests ahead of a new one of ``account``."""
        start_tag = self._get_start_tag(account)
        return sum(ticket.start_tag <= start_tag for ticket in self._tickets.values())

    def _drop_idle_accounts(self) -> None:
        """Drop removed tickets, and finish tags that virtual time has passed."""
        self._heap.clear()
        idle = [
            account
            for account, tag in self._finish_tags.items()
            if tag <= self.virtual_time
        ]
        for account in idle:
            del self._finish_tags[account]
