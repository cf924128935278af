"""Messages for reading the at-most-once ledger."""

from attrs import frozen

from medlarrail.core.entities import LedgerKey
from medlarrail.state.operations import LedgerRecord

LEDGER_READ_PATH = "/internal/ledger/read"


@frozen
class LedgerReadRequest:
    """Requests a record, waiting up to ``wait_s`` while its attempt runs."""

    key: LedgerKey
    wait_s: float


@frozen
class LedgerReadAnswer:
    """The record, and whether the session that made the attempt is open."""

    record: LedgerRecord | None
    dispatcher_live: bool
