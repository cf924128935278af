"""Ownership of endpoints, updated incrementally as sessions open and close.

The result equals that of ``placement.get_owner``. Recomputing it for every endpoint
on each change would cost endpoints times entries. Here a new session is compared
with the current owners only, and a closed one costs only the endpoints that it owned.
"""

from attrs import define, field

from medlarrail.core.entities import EntrySession, SessionView
from medlarrail.core.placement import get_weight


@define
class OwnerMap:
    """Cache of the owner of each endpoint under ``view``."""

    view: SessionView = field(factory=SessionView)
    _sessions: dict[str, EntrySession] = field(factory=dict)
    _eligible: dict[str, EntrySession] = field(factory=dict)
    _owners: dict[str, str] = field(factory=dict)

    def update(self, view: SessionView) -> None:
        """Switch to ``view``."""
        if view == self.view:
            return
        previous = set(self._eligible)
        self.view = view
        self._sessions = {session.entry: session for session in view.sessions}
        self._eligible = {session.entry: session for session in view.list_owners()}
        added = sorted(set(self._eligible) - previous)
        for endpoint, owner in list(self._owners.items()):
            if owner not in self._eligible:
                del self._owners[endpoint]
            else:
                self._owners[endpoint] = _pick_owner([owner, *added], endpoint)

    def get_session(self, entry: str) -> EntrySession | None:
        """Return the open session of an entry, or None."""
        return self._sessions.get(entry)

    def get_owner(self, endpoint: str) -> EntrySession | None:
        """Return the session that owns ``endpoint``; None without eligible sessions."""
        if not self._eligible:
            return None
        owner = self._owners.get(endpoint)
        if owner is None:
            owner = _pick_owner(self._eligible, endpoint)
            self._owners[endpoint] = owner
        return self._eligible[owner]


def _pick_owner(entries, endpoint: str) -> str:
    return max(entries, key=lambda entry: (get_weight(entry, endpoint), entry))
