"""Policy for serving requests while no state member confirms the cluster state.

Handles the loss of the state members under load: all of them killed, partitioned
or suspended for seconds while callers and endpoints are healthy. The strict mode
accepts no request that a newer deployment document might forbid; the other mode
keeps using the last known document, so that callers see no outage.
"""

from typing import Literal

from attrs import frozen

from medlarrail.core.timing import SESSION_LEASE_S

IsolationMode = Literal["refuse", "last-known"]


@frozen
class IsolationPolicy:
    """Isolation mode of an entry, and the time after which it applies.

    With ``refuse``, an entry whose cluster state no leader has confirmed for
    ``limit_ms`` accepts no requests, so a revoked key stops working after that
    time. With ``last-known`` it keeps serving warm endpoints with its last known
    document; cold endpoints get no more than this entry's fixed share. Accounts then
    share no context, since one may have been isolated meanwhile.
    """

    mode: IsolationMode = "refuse"
    limit_ms: float = SESSION_LEASE_S * 1000
    """Defaults to the session lease of ``medlar-entry``, the other kind of entry."""

    def allows(self, age_s: float) -> bool:
        """Return whether cluster state confirmed ``age_s`` seconds ago may be used.

        >>> IsolationPolicy("refuse", 3000).allows(3.5)
        False
        """
        return self.mode == "last-known" or self.allows_sharing(age_s)

    def allows_sharing(self, age_s: float) -> bool:
        """Return whether accounts may share context by a document of this age.

        Context that the wrong account uses is worse than a prompt that is read again,
        so this holds in both modes.

        >>> IsolationPolicy("last-known", 3000).allows_sharing(3.5)
        False
        """
        return age_s * 1000 <= self.limit_ms
