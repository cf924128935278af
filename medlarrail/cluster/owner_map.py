"""Who owns which endpoint, kept up as sessions come and go.

The answer is that of ``placement.get_owner``. Recomputing it for every endpoint
at each change would cost endpoints times entries; here a session that comes is
compared with the present owners only, and one that goes costs only what it
owned.
"""

from attrs import define, field

from medlarrail.core.entities import EntrySession, View
from medlarrail.core.placement import get_weight


@define
class OwnerMap:
    """Owners under ``view``, by endpoint."""

    view: View = field(factory=View)
    _sessions: dict[str, EntrySession] = field(factory=dict)
    _staying: dict[str, EntrySession] = field(factory=dict)
    _owners: dict[str, str] = field(factory=dict)

    def update(self, view: View) -> None:
        """Take up a view."""
        if view == self.view:
            return
        before = set(self._staying)
        self.view = view
        self._sessions = {one.entry: one for one in view.sessions}
        self._staying = {one.entry: one for one in view.list_owners()}
        joined = sorted(set(self._staying) - before)
        for endpoint, owner in list(self._owners.items()):
            if owner not in self._staying:
                del self._owners[endpoint]
            else:
                self._owners[endpoint] = _pick_best([owner, *joined], endpoint)

    def get_session(self, entry: str) -> EntrySession | None:
        """Return the open session of an entry, or None."""
        return self._sessions.get(entry)

    def get_owner(self, endpoint: str) -> EntrySession | None:
        """Return the session that owns ``endpoint``, or None without sessions."""
        if not self._staying:
            return None
        owner = self._owners.get(endpoint)
        if owner is None:
            owner = _pick_best(self._staying, endpoint)
            self._owners[endpoint] = owner
        return self._staying[owner]


def _pick_best(entries, endpoint: str) -> str:
    return max(entries, key=lambda one: (get_weight(one, endpoint), one))
