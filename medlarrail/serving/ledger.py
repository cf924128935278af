"""Runs calls that may not be repeated at most once.

The order of steps is the promise: a record of the dispatch is committed by a
quorum before the first byte leaves, and the answer is committed before the
caller gets it. Only a connection that was never made proves that nothing was
sent; every other failure leaves the outcome unknown, and an unknown call is
never sent again.
"""

import secrets
from collections.abc import Awaitable, Callable

import trio
from attrs import define

from medlarrail.cluster.session import Session
from medlarrail.cluster.state_client import StateClient
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
DISPATCH_LIMIT_S = 3.0
READ_WAIT_S = 2.0
FINISH_ATTEMPT_S = 5.0
FINISH_PAUSE_S = 0.5
FINISH_GIVE_UP_S = 600.0
LATE_DISPATCH_S = 15.0

LARGEST_KEPT_ANSWER_BYTES = 256 * 1024
TOO_LONG = "too-long"
"""Content type that stands for an answer too long to be kept."""

Send = Callable[[], Awaitable[StoredAnswer]]


@define
class LedgerReader:
    """Reads the ledger on the leading state member."""

    member: LogMember

    @route("POST", LEDGER_READ_PATH, LedgerReadRequest)
    async def handle_read(self, request: Request) -> LedgerReadAnswer:
        """Return a record, waiting a while for an attempt that runs."""
        message: LedgerReadRequest = request.message
        await self.member.confirm_reads()
        with trio.move_on_after(min(message.wait_s, READ_WAIT_S)):
            while self._is_running(message.key):
                await self.member.wait_change(self.member.catalogue.index)
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
    """One attempt at a call, whose dispatch is recorded."""

    key: LedgerKey
    nonce: str


@define
class Ledger:
    """Records calls of this entry that may not be repeated."""

    session: Session
    state: StateClient
    nursery: trio.Nursery | None = None

    async def run_once(
        self, key: LedgerKey, digest: str, send: Send, deadline: float
    ) -> StoredAnswer:
        """Return the answer to the call, sending it only if nobody has.

        ``send`` makes the connection and returns the whole answer; it raises
        ``EndpointUnreachable`` or a ``Refusal`` only when nothing ran.
        ``deadline`` is on trio's clock.
        """
        attempt = Attempt(key, secrets.token_hex(NONCE_BYTES))
        record = await self._record_dispatch(attempt, digest)
        if record.nonce != attempt.nonce:
            return await self._get_answer_of(record, deadline)
        return await self._send(attempt, send, deadline)

    async def _record_dispatch(self, attempt: Attempt, digest: str) -> LedgerRecord:
        operation = LedgerDispatch(
            key=attempt.key,
            digest=digest,
            entry=self.session.name,
            epoch=self.session.require(),
            nonce=attempt.nonce,
        )
        try:
            outcome = await self.state.propose(Envelope(operation), DISPATCH_LIMIT_S)
        except trio.Cancelled:
            self._settle_later(attempt, "not_dispatched", None)
            raise
        except SessionClosed as error:
            raise SessionExpired(entry=self.session.name) from error
        except IdempotencyKeyReused:
            raise
        except MedlarError as error:
            self._settle_later(attempt, "not_dispatched", None)
            raise LedgerUnavailable() from error
        return outcome.record

    async def _send(
        self, attempt: Attempt, send: Send, deadline: float
    ) -> StoredAnswer:
        try:
            self.session.require()
            answer = await send()
        except Refusal as error:
            await self._settle(attempt, "not_dispatched", None)
            get_metrics().count("once_not_dispatched", reason=type(error).__name__)
            error.ledger_asked = True
            raise
        except MedlarError as error:
            await self._settle(attempt, "unknown", None)
            get_metrics().count("once_unknown", reason=type(error).__name__)
            raise OutcomeUnknown(endpoint=getattr(error, "endpoint", "")) from error
        except BaseException:
            self._settle_later(attempt, "unknown", None)
            raise
        if not await self._settle(attempt, "done", get_kept_answer(answer), deadline):
            raise OutcomeUnknown()
        return answer

    async def _settle(
        self,
        attempt: Attempt,
        state: str,
        answer: StoredAnswer | None,
        deadline: float = 0.0,
    ) -> bool:
        """Commit how the attempt ended; goes on in the background if need be."""
        limit_s = max(FINISH_ATTEMPT_S, deadline - trio.current_time())
        envelope = Envelope(LedgerFinish(attempt.key, attempt.nonce, state, answer))
        try:
            outcome = await self.state.propose(envelope, min(limit_s, FINISH_ATTEMPT_S))
        except MedlarError:
            self._settle_later(attempt, state, answer)
            return False
        except BaseException:
            self._settle_later(attempt, state, answer)
            raise
        require(
            outcome.record.nonce != attempt.nonce or outcome.record.state == state,
            "ledger-state-as-settled",
            f"{outcome.record.state} instead of {state}",
        )
        return True

    def _settle_later(
        self, attempt: Attempt, state: str, answer: StoredAnswer | None
    ) -> None:
        if self.nursery is not None:
            self.nursery.start_soon(self._settle_in_background, attempt, state, answer)

    async def _settle_in_background(self, attempt, state, answer) -> None:
        """Commit an attempt's end however long it takes.

        A dispatch whose commit was unknown may still be on its way, so a record
        that is missing is looked for again during ``LATE_DISPATCH_S``.
        """
        envelope = Envelope(LedgerFinish(attempt.key, attempt.nonce, state, answer))
        started_at = trio.current_time()
        with trio.move_on_after(FINISH_GIVE_UP_S):
            while True:
                try:
                    await self.state.propose(envelope, FINISH_ATTEMPT_S)
                    return
                except NotFound:
                    if trio.current_time() > started_at + LATE_DISPATCH_S:
                        return
                except MedlarError as error:
                    get_metrics().count("settle_retries", type=type(error).__name__)
                await trio.sleep(FINISH_PAUSE_S)

    async def _get_answer_of(
        self, record: LedgerRecord, deadline: float
    ) -> StoredAnswer:
        """Return the stored answer of another attempt, waiting while it runs."""
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
        rest_s = max(0.0, deadline - trio.current_time())
        try:
            return await self.state.call_leader(
                LEDGER_READ_PATH,
                LedgerReadRequest(key, min(READ_WAIT_S, rest_s)),
                LedgerReadAnswer,
                rest_s,
            )
        except MedlarError as error:
            raise OutcomeUnknown() from error


def get_kept_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return what the ledger keeps of an answer: all of it, or that it ran."""
    if len(answer.body) <= LARGEST_KEPT_ANSWER_BYTES:
        return answer
    return StoredAnswer(answer.status, TOO_LONG, "")
