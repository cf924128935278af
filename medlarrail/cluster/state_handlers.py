"""Request handlers of a state member: log following, proposals, operator calls."""

import trio
from attrs import define

from medlarrail.cluster.session_manager import SessionManager
from medlarrail.consensus.bootstrap import bootstrap_cluster, fetch_identity
from medlarrail.consensus.replication import LogMember
from medlarrail.core.deployment_check import check_deployment
from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import NotFound
from medlarrail.core.timing import FOLLOW_WAIT_S
from medlarrail.protocol.control import (
    BOOTSTRAP_PATH,
    CATALOGUE_PATH,
    CHANGE_PATH,
    FOLLOW_PATH,
    PROPOSE_PATH,
    REPLACE_PATH,
    STATE_STATUS_PATH,
    BootstrapRequest,
    ChangeAnswer,
    ChangeRequest,
    FollowAnswer,
    FollowRequest,
    MembersAnswer,
    ProposeAnswer,
    ProposeRequest,
    ReplaceRequest,
    StateStatus,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.replication import IDENTITY_PATH, Identity
from medlarrail.state.catalogue import CatalogueImage
from medlarrail.state.operations import Envelope, ReplaceDeployment
from medlarrail.transport.routes import Request, route

CONFIRM_TIMEOUT_S = 1.5
"""Time for which a change waits for the entries before it reports those missing."""
CONFIRM_POLL_INTERVAL_S = 0.05
CATCH_UP_TIMEOUT_S = 60.0
MAX_FOLLOW_ENTRIES = 1000
"""Maximum log entries in one answer to a follower."""


@define
class StateHandlers:
    """Handles calls from entries and operators for one state member."""

    member: LogMember
    sessions: SessionManager

    @route("POST", IDENTITY_PATH, EmptyMessage)
    async def handle_identity(self, request: Request) -> Identity:
        """Return the identity record of this member."""
        return self.member.describe()

    @route("POST", FOLLOW_PATH, FollowRequest)
    async def handle_follow(self, request: Request) -> FollowAnswer:
        """Return the changes after the follower's index, waiting if there are none."""
        message: FollowRequest = request.message
        with trio.move_on_after(min(message.wait_s, FOLLOW_WAIT_S)):
            while self.sessions.get_revision() <= message.after:
                await self.member.wait_applied_after(self.member.catalogue.index)
        return self._get_changes(message.after)

    def _get_changes(self, after: int) -> FollowAnswer:
        catalogue = self.member.catalogue
        if after >= catalogue.index:
            return FollowAnswer(upto=after)
        if after + 1 < self.member.journal.first_index:
            image = catalogue.get_image(with_ledger=False)
            return FollowAnswer(upto=catalogue.index, image=image)
        upto = min(catalogue.index, after + MAX_FOLLOW_ENTRIES)
        entries = self.member.journal.get_entries(after + 1, upto - after)
        relevant = tuple(
            entry for entry in entries if entry.envelope.operation.applies_to_entries
        )
        return FollowAnswer(upto=upto, entries=relevant)

    @route("POST", PROPOSE_PATH, ProposeRequest)
    async def handle_propose(self, request: Request) -> ProposeAnswer:
        """Commit an envelope proposed by an entry."""
        return ProposeAnswer(await self.member.propose(request.message.envelope))

    @route("POST", CHANGE_PATH, ChangeRequest)
    async def handle_change(self, request: Request) -> ChangeAnswer:
        """Commit an operator's change and wait for the entries to apply it."""
        message: ChangeRequest = request.message
        if isinstance(message.operation, ReplaceDeployment):
            check_deployment(message.operation.deployment)
        envelope = Envelope(
            message.operation, message.command_id, message.seen_revision
        )
        outcome = await self.member.propose(envelope)
        with trio.move_on_after(CONFIRM_TIMEOUT_S):
            while self.sessions.list_unconfirmed(outcome.index):
                await trio.sleep(CONFIRM_POLL_INTERVAL_S)
        return ChangeAnswer(outcome, self.sessions.list_unconfirmed(outcome.index))

    @route("POST", CATALOGUE_PATH)
    async def handle_catalogue(self, request: Request) -> CatalogueImage:
        """Return the configuration, including every accepted change."""
        await self.member.confirm_reads()
        return self.member.catalogue.get_image(with_ledger=False)

    @route("POST", STATE_STATUS_PATH)
    async def handle_status(self, request: Request) -> StateStatus:
        """Return the status of this member."""
        member = self.member
        snapshot = member.journal.snapshot
        return StateStatus(
            name=member.name,
            identity=member.identity,
            cluster=member.journal.meta.cluster,
            term=member.term,
            leader=member.leader.name if member.leader else "",
            has_lease=member.has_lease(),
            last_index=member.journal.last_index,
            commit_index=member.commit_index,
            snapshot_index=snapshot.index if snapshot else 0,
            storage_error=member.storage_error,
            members=member.journal.get_members(),
            sessions=self.sessions.list_sessions(),
        )

    @route("POST", BOOTSTRAP_PATH, BootstrapRequest)
    async def handle_bootstrap(self, request: Request) -> MembersAnswer:
        """Bootstrap a cluster of members that belong to none."""
        snapshot = await bootstrap_cluster(self.member.peers, request.message.urls)
        return MembersAnswer(snapshot.members)

    @route("POST", REPLACE_PATH, ReplaceRequest)
    async def handle_replace(self, request: Request) -> MembersAnswer:
        """Replace a member whose disk is lost.

        The new identity is added as a learner, then promoted to voter, and only then
        is the old one removed; a repeated call continues where an earlier one stopped.
        """
        message: ReplaceRequest = request.message
        self.member.require_lease()
        identity = await fetch_identity(self.member.peers, message.url)
        await self._add_voter(identity, message)
        for lost in self.member.journal.get_members():
            if lost.name == message.name and lost.identity != identity.identity:
                await self.member.change_member(lost, remove=True)
        return MembersAnswer(self.member.journal.get_members())

    async def _add_voter(self, identity: Identity, message: ReplaceRequest) -> None:
        listed = self.member.find_member(identity.identity)
        if listed is not None and listed.voter:
            return
        learner = MemberInfo(identity.identity, message.name, message.url, voter=False)
        if listed is None:
            await self.member.change_member(learner)
        if not await self.member.wait_caught_up(identity.identity, CATCH_UP_TIMEOUT_S):
            raise NotFound(kind="caught-up learner", name=message.name)
        voter = MemberInfo(identity.identity, message.name, message.url)
        await self.member.change_member(voter)
