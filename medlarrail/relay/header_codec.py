"""Default header names and error answers of the relay."""

import orjson

from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import CallerError, MalformedRequest, MedlarError
from medlarrail.core.errors import Refusal as RefusalError
from medlarrail.core.metrics import get_metrics
from medlarrail.relay.headers import get_header, iterate_end_to_end
from medlarrail.relay.metadata import (
    AnswerMetadata,
    DispatchMetadata,
    Header,
    Refusal,
    RequestMetadata,
)

REQUEST_ID = b"x-request-id"
DEADLINE = b"x-deadline-ms"
NOT_RUN = b"x-not-run"
LEAVING = b"x-leaving"
LIMIT = b"x-limit-per-s"
MAX_REJECTIONS = b"x-max-rejections-per-s"
RETRY_AFTER = b"retry-after"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"x-resumes"
ACCOUNT = b"x-account"
ENDPOINT = b"x-endpoint"
OVERRIDDEN_HEADERS = frozenset((b"authorization", ACCOUNT, ENDPOINT, DEADLINE))
"""Headers that the relay sets itself, replacing any value from the caller."""
MAX_LIMIT_PER_S = 1e6
MAX_RETRY_AFTER_S = 86_400.0
UNAVAILABLE_STATUS = 503
MAX_DIGITS = 18
"""Maximum digits of a number in a header, so that it fits a signed 64-bit integer."""


def get_header_text(headers: tuple[Header, ...], name: bytes) -> str:
    """Return a header's value, or an empty string."""
    return (get_header(headers, name) or b"").decode("latin1").strip()


def get_header_int(headers: tuple[Header, ...], name: bytes) -> int | None:
    """Return a header's value as a non-negative integer, None if absent or empty.

    Raises ``MalformedRequest`` for any other value.
    """
    text = get_header_text(headers, name)
    if not text:
        return None
    number = parse_digits(text)
    if number is None:
        raise MalformedRequest(problem=f"{name.decode()} is not a non-negative integer")
    return number


def parse_digits(text: str) -> int | None:
    """Return the integer value of a string of digits, or None for other strings."""
    is_valid = text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_valid else None


def parse_limit(text: str) -> float | None:
    """Return a limit in requests per second, or None for an unusable value."""
    return _parse_decimal(text, MAX_LIMIT_PER_S, "limits_unreadable")


def parse_max_rejections(text: str) -> float | None:
    """Return the rejections per second that an endpoint bears, None for any number.

    An unreadable or negative number counts as 0: the endpoint says that there is one.
    """
    if not text:
        return None
    number = _parse_decimal(text, MAX_LIMIT_PER_S, "max_rejections_unreadable")
    return 0.0 if number is None else number


def parse_retry_after(status: int, text: str) -> float | None:
    """Return the seconds for which an endpoint wants no requests, None for none.

    Only a 503 states it, and only as a number; a date is unusable.
    """
    if status != UNAVAILABLE_STATUS:
        return None
    return _parse_decimal(text, MAX_RETRY_AFTER_S, "retry_after_unreadable")


def _parse_decimal(text: str, maximum: float, counter: str) -> float | None:
    """Return a number from 0 to ``maximum``; counts any other text but an empty one."""
    if not text:
        return None
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number <= maximum:
        get_metrics().count(counter)
        return None
    return number


def build_refusal(error: MedlarError) -> Refusal:
    """Return the error answer for ``error``.

    Only an error that proves that nothing ran gets a status that implies this, with
    a time to retry after.
    """
    if isinstance(error, RefusalError):
        status = error.status if error.status in (429, 503) else 503
        if error.retry_after_s is None:
            return Refusal(status, type(error).__name__)
        return Refusal(status, type(error).__name__, max(0.05, error.retry_after_s))
    if isinstance(error, CallerError):
        return Refusal(error.status, type(error).__name__)
    status = error.status if error.status in (502, 504) else 502
    return Refusal(status, type(error).__name__)


def write_refusal(
    refusal: Refusal, metadata: RequestMetadata | None, id_name: bytes
) -> tuple[list[Header], bytes]:
    """Return the headers and body of a refusal; ``id_name`` is the ID header."""
    headers: list[Header] = [(b"Content-Type", b"application/json")]
    if refusal.retry_after_s > 0:
        headers.append((b"Retry-After", f"{refusal.retry_after_s:.2f}".encode()))
    if metadata is not None and metadata.request_id:
        headers.append((id_name, metadata.request_id.encode("latin1")))
    return headers, orjson.dumps({"error": refusal.reason})


def write_forwarded(
    headers: tuple[Header, ...], replacements: dict[bytes, str]
) -> list[Header]:
    """Return a caller's headers with other values for some.

    ``replacements`` has the values by the names of the headers in lower case; headers
    whose value is empty are left out.
    """
    outgoing = [
        (name, value)
        for name, value in iterate_end_to_end(headers)
        if name.lower() not in replacements
    ]
    outgoing += [
        (name, value.encode("latin1")) for name, value in replacements.items() if value
    ]
    return outgoing


class DefaultHeaderCodec:
    """Common header names, for endpoints without a header codec of their own."""

    def read_request(self, headers: tuple[Header, ...]) -> RequestMetadata:
        """See ``HeaderCodec``."""
        scheme, _, key = get_header_text(headers, b"authorization").partition(" ")
        return RequestMetadata(
            request_id=get_header_text(headers, REQUEST_ID),
            key=key.strip() if scheme.lower() == "bearer" else "",
            deadline_ms=get_header_int(headers, DEADLINE),
            last_event_id=get_header_text(headers, LAST_EVENT_ID),
            resumes=get_header_text(headers, RESUMES),
        )

    def write_request(
        self, headers: tuple[Header, ...], dispatch: DispatchMetadata
    ) -> list[Header]:
        """See ``HeaderCodec``."""
        result = [
            (name, value)
            for name, value in iterate_end_to_end(headers)
            if name.lower() not in OVERRIDDEN_HEADERS and name.lower() != LAST_EVENT_ID
        ]
        result.append((b"X-Deadline-Ms", str(dispatch.deadline_ms).encode()))
        result.append((b"X-Endpoint", dispatch.endpoint.name.encode()))
        if dispatch.account:
            result.append((b"X-Account", dispatch.account.encode()))
        if dispatch.last_event_id:
            result.append((b"Last-Event-Id", dispatch.last_event_id.encode()))
        return result

    def write_forwarded(
        self,
        headers: tuple[Header, ...],
        deadline_ms: int,
        last_event_id: str,
        resumes: str,
    ) -> list[Header]:
        """See ``HeaderCodec``."""
        return write_forwarded(
            headers,
            {
                DEADLINE: str(deadline_ms),
                LAST_EVENT_ID: last_event_id,
                RESUMES: resumes,
            },
        )

    def read_answer(self, status: int, headers: tuple[Header, ...]) -> AnswerMetadata:
        """See ``HeaderCodec``."""
        return AnswerMetadata(
            request_id=get_header_text(headers, REQUEST_ID),
            verified=True,
            not_run=bool(get_header_text(headers, NOT_RUN)),
            misdirected=status == 421,
            endpoint=get_header_text(headers, ENDPOINT),
            limit_per_s=parse_limit(get_header_text(headers, LIMIT)),
            max_rejections_per_s=parse_max_rejections(
                get_header_text(headers, MAX_REJECTIONS)
            ),
            leaving=get_header_text(headers, LEAVING) == "1",
            retry_after_s=parse_retry_after(
                status, get_header_text(headers, RETRY_AFTER)
            ),
        )

    def get_status_path(self, service: ServiceRule) -> str:
        """See ``HeaderCodec``."""
        return service.health_path

    def read_started_ms(self, body: bytes) -> int:
        """See ``HeaderCodec``: the status has no body of its own."""
        return 0

    def write_refusal(
        self, refusal: Refusal, metadata: RequestMetadata | None
    ) -> tuple[list[Header], bytes]:
        """See ``HeaderCodec``."""
        return write_refusal(refusal, metadata, b"X-Request-Id")

    def build_refusal(self, error: MedlarError) -> Refusal:
        """See ``HeaderCodec``."""
        return build_refusal(error)
