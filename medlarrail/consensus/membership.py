"""Bootstraps the cluster from its seeds and maintains its membership automatically.

A deployment gives each state member up to three seeds and a flag for the first
start of the whole system. At the first start the seed with the lowest address
bootstraps the cluster of the seeds; if that seed lost its disk before the bootstrap,
the next one does. All other members, and members that lost their disk or started
later, send a join request to the leader. They join as learners and become voters
once they store every committed entry. ``membership_rules`` chooses the leader's next
change.
"""

import eliot
import trio
from attrs import define, field

from medlarrail.consensus.bootstrap import bootstrap_cluster, fetch_identity
from medlarrail.consensus.membership_rules import (
    MemberStatus,
    choose_change,
    count_spare_voters,
)
from medlarrail.consensus.replication import LogMember
from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.membership import JOIN_PATH, JoinAnswer, JoinRequest
from medlarrail.protocol.replication import (
    SNAPSHOT_PATH,
    AppendAnswer,
    SnapshotRequest,
)
from medlarrail.transport.routes import Request, route

CHECK_INTERVAL_S = 0.3
"""Interval between membership checks."""
CHANGE_PAUSE_S = 0.05
"""Pause between two changes, in which learners store the entry of the first."""
JOIN_TIMEOUT_S = 1.0
"""Timeout of one call to a seed or member."""
JOIN_INTERVAL_S = 0.1
"""Interval between the calls of one join request, so that one address that does not
answer delays it by no more."""
LEADER_SILENCE_LIMIT_S = 2.5
"""Time without a leader after which a member sends join requests: longer than an
ordinary election."""
JOIN_REQUEST_LIFETIME_S = 3.0
"""Time after which a join request expires."""


@define
class Applicant:
    """A member that sent a join request."""

    info: MemberInfo
    requested_at: float


@define(eq=False)
class MembershipManager:
    """Joins ``member`` to a cluster and, while it leads, reconciles the member list."""

    member: LogMember
    seeds: tuple[str, ...]
    first_start: bool
    _applicants: dict[str, Applicant] = field(factory=dict)

    def __attrs_post_init__(self):
        self.member.may_found = self.first_start

    async def run(self) -> None:
        """Maintain the membership until cancelled."""
        while True:
            try:
                await self._check_membership()
            except MedlarError as error:
                reason = type(error).__name__
                get_metrics().count("membership_failures", reason=reason)
            await trio.sleep(CHECK_INTERVAL_S)

    async def _check_membership(self) -> None:
        if not self.member.journal.meta.cluster:
            if await self._may_bootstrap():
                await self._bootstrap()
            else:
                await self._request_join()
        elif self.member.has_lease():
            await self._reconcile_members()
        elif self._has_lost_leader():
            await self._complete_bootstrap()
            await self._request_join()

    def reload_seeds(self, settings) -> None:
        """Use the seeds of the reloaded settings from now on."""
        self.seeds = settings.seeds

    # Bootstrap.

    async def _may_bootstrap(self) -> bool:
        """Return whether this member is the lowest seed that may bootstrap a cluster.

        A lower seed that restarted before bootstrapping is skipped, since its
        first-start flag is no longer set. A lower seed that does not answer blocks
        the bootstrap, as it may have bootstrapped a cluster already. The snapshot
        is sent in the order of the seeds, so no seed can have it while a lower seed
        that kept its disk does not.
        """
        if not self.first_start or self.member.url not in self.seeds:
            return False
        for url in sorted(self.seeds):
            if url == self.member.url:
                return True
            try:
                lower_seed = await fetch_identity(self.member.peers, url)
            except MedlarError as error:
                reason = type(error).__name__
                get_metrics().count("founding_failures", reason=reason)
                return False
            if lower_seed.may_found or lower_seed.cluster:
                return False
        return False

    async def _bootstrap(self) -> None:
        """Bootstrap the cluster of the seeds once all of them answer."""
        others = sorted(set(self.seeds) - {self.member.url})
        urls = (self.member.url, *others)
        snapshot = await bootstrap_cluster(self.member.peers, urls)
        names = [member.name for member in snapshot.members]
        eliot.log_message(
            "cluster:bootstrapped", cluster=snapshot.cluster, members=names
        )

    async def _complete_bootstrap(self) -> None:
        """Send the initial snapshot to members that a crashed bootstrap left out."""
        snapshot = self.member.journal.snapshot
        if snapshot is None or self.member.journal.last_term > 0:
            return
        for member in snapshot.members:
            if member.identity == self.member.identity:
                continue
            identity = await fetch_identity(self.member.peers, member.url)
            if identity.identity == member.identity and not identity.cluster:
                request = SnapshotRequest(member.identity, member, 0, snapshot)
                await self.member.peers.call(
                    member.url, SNAPSHOT_PATH, request, AppendAnswer, JOIN_TIMEOUT_S
                )

    # Joining.

    def _has_lost_leader(self) -> bool:
        """Return whether the last contact with a leader is too long ago."""
        silence_s = self.member.clock() - self.member.leader_contact_at
        return silence_s > LEADER_SILENCE_LIMIT_S

    async def _request_join(self) -> None:
        """Send join requests to members and seeds until the leader accepts one."""
        began_at = self.member.clock()
        tried_urls: set[str] = {self.member.url}
        failures: dict[str, str] = {}
        async with trio.open_nursery() as nursery:

            async def send(url: str, delay_s: float) -> None:
                await trio.sleep(delay_s)
                try:
                    answer = await self._send_join_request(url)
                except MedlarError as error:
                    failures[url] = type(error).__name__
                    if isinstance(error, NotLeader):
                        start(error.leader_url)
                    return
                duration_s = round(self.member.clock() - began_at, 3)
                eliot.log_message(
                    "cluster:join-requested",
                    leader=url,
                    members=answer.member_urls,
                    failures=failures,
                    duration_s=duration_s,
                )
                nursery.cancel_scope.cancel()

            def start(url: str, delay_s: float = 0.0) -> None:
                if url and url not in tried_urls:
                    tried_urls.add(url)
                    nursery.start_soon(send, url, delay_s)

            urls = [*self._list_member_urls(), *self.seeds]
            for number, url in enumerate(urls):
                start(url, JOIN_INTERVAL_S * number)
        for reason in failures.values():
            get_metrics().count("join_failures", reason=reason)

    def _list_member_urls(self) -> list[str]:
        return [member.url for member in self.member.journal.get_members()]

    async def _send_join_request(self, url: str) -> JoinAnswer:
        member = self.member
        request = JoinRequest(member.identity, member.name, member.url)
        return await member.peers.call(
            url, JOIN_PATH, request, JoinAnswer, JOIN_TIMEOUT_S
        )

    @route("POST", JOIN_PATH, JoinRequest)
    async def handle_join(self, request: Request) -> JoinAnswer:
        """Record a join request; only the leader accepts one."""
        message: JoinRequest = request.message
        self.member.require_lease()
        info = MemberInfo(message.identity, message.name, message.url, voter=False)
        self._applicants[message.url] = Applicant(info, self.member.clock())
        return JoinAnswer(tuple(self._list_member_urls()))

    # Reconciling the member list.

    async def _reconcile_members(self) -> None:
        now = self.member.clock()
        for url, applicant in list(self._applicants.items()):
            if now - applicant.requested_at > JOIN_REQUEST_LIFETIME_S:
                del self._applicants[url]
        await self._add_wiped_members()
        while await self._make_next_change():
            await trio.sleep(CHANGE_PAUSE_S)

    async def _make_next_change(self) -> bool:
        """Make the next change of the member list; return whether there was one."""
        leadership = self.member.require_lease()
        applicants = tuple(applicant.info for applicant in self._applicants.values())
        members = self._describe_members()
        change = choose_change(members, applicants, leadership.is_settled())
        if change is None:
            return False
        began_at = self.member.clock()
        eliot.log_message(
            "cluster:changing-members",
            member=change.member.name,
            url=change.member.url,
            identity=change.member.identity,
            removed=change.remove,
            reason=change.reason,
            silent_s={
                status.info.name: round(status.silent_s, 3)
                for status in members
                if not status.is_alive
            },
        )
        get_metrics().count("member_changes", reason=change.reason)
        await self.member.change_member(change.member, remove=change.remove)
        eliot.log_message(
            "cluster:changed-members",
            member=change.member.name,
            spare_voters=count_spare_voters(self._describe_members()),
            duration_s=round(self.member.clock() - began_at, 3),
        )
        return True

    async def _add_wiped_members(self) -> None:
        """Record a join request on behalf of each member that lost its disk.

        Such a member may be unable to send one, as all its seeds may be gone.
        """
        leadership = self.member.require_lease()
        for member in self.member.journal.get_members():
            progress = leadership.progress.get(member.identity)
            if progress is None or not progress.identity_replaced:
                continue
            try:
                identity = await fetch_identity(self.member.peers, member.url)
            except MedlarError as error:
                reason = type(error).__name__
                get_metrics().count("invitations_failed", reason=reason)
                continue
            if identity.identity != member.identity and not identity.cluster:
                info = MemberInfo(
                    identity.identity, identity.name, member.url, voter=False
                )
                self._applicants[member.url] = Applicant(info, self.member.clock())

    def _describe_members(self) -> tuple[MemberStatus, ...]:
        member = self.member
        leadership = member.require_lease()
        return tuple(
            self._describe(info, leadership) for info in member.journal.get_members()
        )

    def _describe(self, info: MemberInfo, leadership) -> MemberStatus:
        if info.identity == self.member.identity:
            return MemberStatus(info, silent_s=0.0, caught_up=True)
        progress = leadership.progress.get(info.identity)
        caught_up = (
            progress is not None and progress.match_index >= self.member.commit_index
        )
        applicant = self._applicants.get(info.url)
        superseded = applicant is not None and applicant.info.identity != info.identity
        silent_s = leadership.get_silence_s(info.identity)
        return MemberStatus(info, silent_s, caught_up, superseded)
