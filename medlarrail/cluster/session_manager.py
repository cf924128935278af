"""Session leases of entries, managed by the leading state member.

A renewed lease is valid only once the entry has applied the log up to the leader's
revision. After a change is committed, an entry can therefore act on the previous
state for at most one lease duration. A session whose lease may still be valid is
never closed: a new leader waits for the expiry of any lease that its predecessor may
have granted.
"""

import trio
from attrs import define, field

from medlarrail.consensus.leadership import Leadership
from medlarrail.consensus.replication import LogMember
from medlarrail.core.errors import (
    MedlarError,
    NotLeader,
    SessionClosed,
    SessionHeld,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.timing import CLOCK_DRIFT_MARGIN_S, SESSION_LEASE_S
from medlarrail.protocol.control import (
    CLOSE_PATH,
    OPEN_PATH,
    RENEW_PATH,
    CloseRequest,
    OpenAnswer,
    OpenRequest,
    RenewAnswer,
    RenewRequest,
    SessionStatus,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.state.operations import (
    CloseSession,
    Envelope,
    LogEntry,
    OpenSession,
    Outcome,
)
from medlarrail.transport.routes import Request, route

EXPIRY_CHECK_INTERVAL_S = 0.25


@define
class Renewal:
    """The latest renewal of a session."""

    epoch: int
    renewed_at: float
    applied_index: int = 0


@define
class SessionManager:
    """Grants and expires session leases while ``member`` leads."""

    member: LogMember
    relevant_index: int = 0
    """Index of the last log entry that the entries have to apply."""
    _renewals: dict[str, Renewal] = field(factory=dict)
    _closing: set[int] = field(factory=set)
    _term: int = -1

    def __attrs_post_init__(self):
        self.relevant_index = self.member.catalogue.index
        self.member.apply_listeners.append(self._on_applied)

    def _on_applied(self, entry: LogEntry, outcome: Outcome) -> None:
        if entry.envelope.operation.applies_to_entries:
            self.relevant_index = entry.index

    def get_revision(self) -> int:
        """Return the log index that an entry must have applied."""
        return max(self.relevant_index, self._get_snapshot_index())

    def _get_snapshot_index(self) -> int:
        snapshot = self.member.journal.snapshot
        return snapshot.index if snapshot else 0

    def _require_leadership(self) -> Leadership:
        leadership = self.member.require_lease()
        if self.member.commit_index < leadership.first_index:
            raise NotLeader()
        if leadership.term != self._term:
            self._term = leadership.term
            self._renewals.clear()
            self._closing.clear()
        return leadership

    @route("POST", OPEN_PATH, OpenRequest)
    async def handle_open(self, request: Request) -> OpenAnswer:
        """Open a session.

        A process at the same URL replaces its predecessor, which must have ended to
        free the port; any other process has to wait for the session to expire.
        """
        message: OpenRequest = request.message
        self._require_leadership()
        existing = self.member.catalogue.view.get_session(message.entry)
        if existing is not None and existing.url != message.url:
            raise SessionHeld(entry=message.entry, holder_url=existing.url)
        operation = OpenSession(message.entry, message.url, message.data_centre)
        outcome = await self.member.propose(Envelope(operation, message.command_id))
        self._renewals[message.entry] = Renewal(outcome.index, self.member.clock())
        get_metrics().count("sessions_opened")
        return OpenAnswer(outcome.index)

    @route("POST", CLOSE_PATH, CloseRequest)
    async def handle_close(self, request: Request) -> EmptyMessage:
        """Close the session of an entry that shuts down."""
        message: CloseRequest = request.message
        self._require_leadership()
        self._closing.add(message.epoch)
        operation = CloseSession(message.entry, message.epoch)
        await self.member.propose(Envelope(operation))
        return EmptyMessage()

    @route("POST", RENEW_PATH, RenewRequest)
    async def handle_renew(self, request: Request) -> RenewAnswer:
        """Renew a session that is open and not being closed."""
        message: RenewRequest = request.message
        self._require_leadership()
        session = self.member.catalogue.view.get_session(message.entry)
        if session is None or session.epoch != message.epoch:
            raise SessionClosed(entry=message.entry)
        if message.epoch in self._closing:
            raise SessionClosed(entry=message.entry)
        now = self.member.clock()
        renewal = Renewal(message.epoch, now, message.applied_index)
        self._renewals[message.entry] = renewal
        return RenewAnswer(SESSION_LEASE_S, self.get_revision())

    async def run(self) -> None:
        """Close sessions whose leases have expired."""
        while True:
            await trio.sleep(EXPIRY_CHECK_INTERVAL_S)
            try:
                await self._close_expired()
            except MedlarError as error:
                get_metrics().count("expiry_failures", type=type(error).__name__)

    async def _close_expired(self) -> None:
        if self.member.leadership is None:
            return
        leadership = self._require_leadership()
        for session in self.member.catalogue.view.sessions:
            if self.member.clock() <= self._get_lease_end(leadership, session):
                continue
            self._closing.add(session.epoch)
            get_metrics().count("sessions_expired")
            operation = CloseSession(session.entry, session.epoch)
            await self.member.propose(Envelope(operation))

    def _get_lease_end(self, leadership: Leadership, session) -> float:
        """Return the latest time until which the session's lease may be valid."""
        renewed_at = leadership.elected_at
        renewal = self._renewals.get(session.entry)
        if renewal is not None and renewal.epoch == session.epoch:
            renewed_at = max(renewed_at, renewal.renewed_at)
        return renewed_at + SESSION_LEASE_S + CLOCK_DRIFT_MARGIN_S

    def list_unconfirmed(self, index: int) -> tuple[str, ...]:
        """Return the entries that have not applied the log up to ``index``."""
        return tuple(
            session.entry
            for session in self.member.catalogue.view.sessions
            if self._get_applied(session) < index
        )

    def _get_applied(self, session) -> int:
        renewal = self._renewals.get(session.entry)
        if renewal is None or renewal.epoch != session.epoch:
            return 0
        return renewal.applied_index

    def list_sessions(self) -> tuple[SessionStatus, ...]:
        """Return every open session; renewal times are known to the leader only."""
        now = self.member.clock()
        return tuple(
            SessionStatus(
                entry=session.entry,
                url=session.url,
                data_centre=session.data_centre,
                epoch=session.epoch,
                applied_index=self._get_applied(session),
                renewed_ago_s=self._get_age_s(session, now),
            )
            for session in self.member.catalogue.view.sessions
        )

    def _get_age_s(self, session, now: float) -> float:
        renewal = self._renewals.get(session.entry)
        return now - renewal.renewed_at if renewal else -1.0
