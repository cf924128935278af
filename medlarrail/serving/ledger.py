"""Runs calls that may not be repeated at most once.

The guarantee rests on the order of steps: a quorum commits a record of the
dispatch before the first byte is sent, and commits the answer before the caller
gets it. Only a connection that was never made proves that nothing was sent;
after any other failure the outcome is unknown, and such a call is never sent
again.
"""

import secrets
from collections.abc import Awaitable, Callable

import trio
from attrs import define

from medlarrail.cluster.log_client import LogClient
from medlarrail.cluster.session import Session
from medlarrail.consensus.replication import LogMember
from medlarrail.core.entities import LedgerKey, StoredAnswer
from medlarrail.core.errors import (
    EndpointUnreachable,
    IdempotencyKeyReused,
    LedgerUnavailable,
    MedlarError,
    NotFound,
    OutcomeUnknown,
    Refusal,
    SessionClosed,
    SessionExpired,
)
from medlarrail.core.invariants import require
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.ledger import (
    LEDGER_READ_PATH,
    LedgerReadAnswer,
    LedgerReadRequest,
)
from medlarrail.state.operations import (
    Envelope,
    LedgerDispatch,
    LedgerFinish,
    LedgerRecord,
)
from medlarrail.transport.routes import Request, route

NONCE_BYTES = 12
DISPATCH_TIMEOUT_S = 3.0
MAX_READ_WAIT_S = 2.0
FINISH_TIMEOUT_S = 5.0
FINISH_RETRY_DELAY_S = 0.5
FINISH_GIVE_UP_S = 600.0
LATE_DISPATCH_WINDOW_S = 15.0

MAX_STORED_ANSWER_BYTES = 256 * 1024
TOO_LONG_CONTENT_TYPE = "too-long"
"""Content type that marks an answer too long to be stored."""

Send = Callable[[], Awaitable[StoredAnswer]]


@define
class LedgerReader:
    """Handles reads of the ledger on the leader of the state members."""

    member: LogMember

    @route("POST", LEDGER_READ_PATH, LedgerReadRequest)
    async def handle_read(self, request: Request) -> LedgerReadAnswer:
        """Return a record, waiting a limited time for a running attempt to end."""
        message: LedgerReadRequest = request.message
        await self.member.confirm_reads()
        with trio.move_on_after(min(message.wait_s, MAX_READ_WAIT_S)):
            while self._is_running(message.key):
                await self.member.wait_applied_after(self.member.catalogue.index)
        self.member.require_lease()
        record = self.member.catalogue.ledger.get(message.key)
        return LedgerReadAnswer(record, self._is_dispatcher_live(record))

    def _is_running(self, key: LedgerKey) -> bool:
        record = self.member.catalogue.ledger.get(key)
        if record is None or record.state != "dispatched":
            return False
        return self._is_dispatcher_live(record)

    def _is_dispatcher_live(self, record: LedgerRecord | None) -> bool:
        if record is None:
            return False
        return self.member.catalogue.is_dispatcher_live(record)


@define
class Attempt:
    """One attempt at a call, identified in the ledger by its nonce."""

    key: LedgerKey
    nonce: str


@define
class Ledger:
    """Records calls of this entry that may not be repeated."""

    session: Session
    state: LogClient
    nursery: trio.Nursery | None = None

    async def run_once(
        self, key: LedgerKey, digest: str, send: Send, deadline: float
    ) -> StoredAnswer:
        """Return the answer to the call, sending it only if no entry has.

        ``send`` makes the connection and returns the whole answer; it raises
        ``EndpointUnreachable`` or a ``Refusal`` only if nothing ran.
        ``deadline`` is on trio's clock.
        """
        attempt = Attempt(key, secrets.token_hex(NONCE_BYTES))
        record = await self._record_dispatch(attempt, digest)
        if record.nonce != attempt.nonce:
            return await self._get_stored_answer(record, deadline)
        return await self._send(attempt, send, deadline)

    async def _record_dispatch(self, attempt: Attempt, digest: str) -> LedgerRecord:
        operation = LedgerDispatch(
            key=attempt.key,
            digest=digest,
            entry=self.session.name,
            epoch=self.session.require_lease(),
            nonce=attempt.nonce,
        )
        try:
            outcome = await self.state.propose(Envelope(operation), DISPATCH_TIMEOUT_S)
        except trio.Cancelled:
            self._schedule_outcome(attempt, "not_dispatched", None)
            raise
        except SessionClosed as error:
            raise SessionExpired(entry=self.session.name) from error
        except IdempotencyKeyReused:
            raise
        except MedlarError as error:
            self._schedule_outcome(attempt, "not_dispatched", None)
            raise LedgerUnavailable() from error
        return outcome.record

    async def _send(
        self, attempt: Attempt, send: Send, deadline: float
    ) -> StoredAnswer:
        try:
            self.session.require_lease()
            answer = await send()
        except Refusal as error:
            await self._record_outcome(attempt, "not_dispatched", None)
            get_metrics().count("once_not_dispatched", reason=type(error).__name__)
            error.ledger_asked = True
            raise
        except MedlarError as error:
            await self._record_outcome(attempt, "unknown", None)
            get_metrics().count("once_unknown", reason=type(error).__name__)
            raise OutcomeUnknown(endpoint=getattr(error, "endpoint", "")) from error
        except BaseException:
            self._schedule_outcome(attempt, "unknown", None)
            raise
        if not await self._record_outcome(
            attempt, "done", get_storable_answer(answer), deadline
        ):
            raise OutcomeUnknown()
        return answer

    async def _record_outcome(
        self,
        attempt: Attempt,
        state: str,
        answer: StoredAnswer | None,
        deadline: float = 0.0,
    ) -> bool:
        """Commit the attempt's outcome; after a failure, retry in the background."""
        limit_s = max(FINISH_TIMEOUT_S, deadline - trio.current_time())
        envelope = Envelope(LedgerFinish(attempt.key, attempt.nonce, state, answer))
        try:
            outcome = await self.state.propose(envelope, min(limit_s, FINISH_TIMEOUT_S))
        except MedlarError:
            self._schedule_outcome(attempt, state, answer)
            return False
        except BaseException:
            self._schedule_outcome(attempt, state, answer)
            raise
        require(
            outcome.record.nonce != attempt.nonce or outcome.record.state == state,
            "ledger-state-as-settled",
            f"{outcome.record.state} instead of {state}",
        )
        return True

    def _schedule_outcome(
        self, attempt: Attempt, state: str, answer: StoredAnswer | None
    ) -> None:
        if self.nursery is not None:
            self.nursery.start_soon(
                self._record_outcome_in_background, attempt, state, answer
            )

    async def _record_outcome_in_background(self, attempt, state, answer) -> None:
        """Commit an attempt's outcome, retrying until ``FINISH_GIVE_UP_S``.

        A dispatch record whose commit was not confirmed may still be committed
        later, so a missing record is retried for ``LATE_DISPATCH_WINDOW_S``.
        """
        envelope = Envelope(LedgerFinish(attempt.key, attempt.nonce, state, answer))
        started_at = trio.current_time()
        with trio.move_on_after(FINISH_GIVE_UP_S):
            while True:
                try:
                    await self.state.propose(envelope, FINISH_TIMEOUT_S)
                    return
                except NotFound:
                    if trio.current_time() > started_at + LATE_DISPATCH_WINDOW_S:
                        return
                except MedlarError as error:
                    get_metrics().count("settle_retries", type=type(error).__name__)
                await trio.sleep(FINISH_RETRY_DELAY_S)

    async def _get_stored_answer(
        self, record: LedgerRecord, deadline: float
    ) -> StoredAnswer:
        """Return the stored answer of another attempt, waiting until it ends."""
        get_metrics().count("once_repeated", state=record.state)
        while record.state == "dispatched" and trio.current_time() < deadline:
            answer = await self._read(record.key, deadline)
            if answer.record is None:
                break
            record = answer.record
            if record.state == "dispatched" and not answer.dispatcher_live:
                break
        if record.state == "done":
            return record.answer
        if record.state == "not_dispatched":
            raise EndpointUnreachable()
        raise OutcomeUnknown()

    async def _read(self, key: LedgerKey, deadline: float) -> LedgerReadAnswer:
        remaining_s = max(0.0, deadline - trio.current_time())
        try:
            return await self.state.call_leader(
                LEDGER_READ_PATH,
                LedgerReadRequest(key, min(MAX_READ_WAIT_S, remaining_s)),
                LedgerReadAnswer,
                remaining_s,
            )
        except MedlarError as error:
            raise OutcomeUnknown() from error


def get_storable_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return the answer to store.

    An answer that is too long is stored without its body, as proof that the call ran.
    """
    if len(answer.body) <= MAX_STORED_ANSWER_BYTES:
        return answer
    return StoredAnswer(answer.status, TOO_LONG_CONTENT_TYPE, "")
