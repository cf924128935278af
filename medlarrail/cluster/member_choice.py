"""Which state member an entry polls for its view of the cluster.

With few entries that is the leader. With many each entry has a follower of its own,
so that no member answers more than its part of them.
"""

from attrs import define, field

from medlarrail.core.clock import Clock
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.placement import rank_nodes
from medlarrail.policy.notification import AVOIDANCE_S, MAX_DIRECT_ENTRIES
from medlarrail.protocol.cluster_view import ClusterViewAnswer


@define
class MemberChoice:
    """The member that ``entry`` polls; times are on ``clock``."""

    entry: str
    clock: Clock
    member_url: str = ""
    """The member to poll; empty if it has to be chosen by rank."""
    _avoided_until: dict[str, float] = field(factory=dict)
    _attempts: int = 0
    """Consecutive calls without an answer, while no member names the leader."""

    def pick_url(self, urls: tuple[str, ...]) -> str:
        """Return the URL of the member to poll, one of ``urls`` or a named leader."""
        if self.member_url:
            return self.member_url
        ranked = rank_nodes(urls, self.entry)
        now = self.clock()
        usable = [url for url in ranked if self._avoided_until.get(url, now) <= now]
        candidates = usable or ranked
        return candidates[self._attempts % len(candidates)]

    def record_answer(self, url: str, answer: ClusterViewAnswer) -> None:
        """Stay with the member that answered, unless each entry has its own."""
        self._attempts = 0
        has_own_member = answer.entry_count > MAX_DIRECT_ENTRIES
        self.member_url = "" if has_own_member else url

    def record_failure(self, url: str, error: MedlarError) -> bool:
        """Choose another member; return whether to call it without a pause."""
        if isinstance(error, NotLeader) and error.leader_url:
            self._attempts += 1
            self.member_url = error.leader_url
            # Two members may name each other.
            return self._attempts == 1
        now = self.clock()
        is_first_failure = self._avoided_until.get(url, now) <= now
        self._avoided_until[url] = now + AVOIDANCE_S
        self.member_url = ""
        if isinstance(error, NotLeader):
            # There may be no leader yet, so that all members answer alike.
            self._attempts += 1
            return False
        return is_first_failure
