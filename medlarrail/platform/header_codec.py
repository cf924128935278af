"""Conversion between the platform's headers and the relay's types."""

from medlarrail.core.codec import parse_json
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import BadJson, MalformedRequest, MedlarError
from medlarrail.relay.header_codec import (
    build_refusal,
    get_header_int,
    get_header_text,
    parse_digits,
    parse_limit,
    parse_max_rejections,
    parse_retry_after,
    write_forwarded,
    write_refusal,
)
from medlarrail.relay.headers import get_header, iterate_end_to_end
from medlarrail.relay.metadata import (
    AnswerMetadata,
    DispatchMetadata,
    EndpointLoad,
    Header,
    PromptPart,
    Refusal,
    RequestMetadata,
)

REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
API_KEY = b"api-key"
MODEL = b"model"
TOKEN_USAGE = b"token-usage"
PREFIX_HASH = b"prefix-hash"
LENGTH_HINT = b"length-hint"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
RESPONSE_SIGNATURE = b"response-signature"
NOT_EXECUTED = b"not-executed"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
SERVER_BRITTLE = b"server-brittle"
SERVER_LEAVING = b"server-leaving"
INSTANCE_ID = b"instance-id"
WEIGHT_VERSIONS = b"weight-versions"
KEEP_ALIVE = b"keep-alive"
RETRY_AFTER = b"retry-after"
MISDIRECTED_STATUS = 421
REPORT_PATH = "/report"
"""Path at which a model endpoint tells its status, without waiting for a slot."""

RESERVED_HEADERS = frozenset(
    (
        API_KEY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        b"tenant",
        b"expect-instance",
        b"expect-version",
        b"request-priority",
        b"cache-salt",
        b"kv-fetch",
        b"kv-save",
        b"kv-until",
        b"kv-backup",
        b"kv-from",
        b"pin-ms",
        b"hold",
    )
)
"""Headers stripped from callers' requests, since only the gateway may set them."""
LOWEST_PRIORITY = 9
MAX_TOKENS = 1_000_000_000
"""Largest token count that is used in decisions: the sum over many prompts has to fit
64 bits. The endpoint gets the caller's header unchanged."""


class PlatformHeaderCodec:
    """See ``medlarrail.relay.metadata.HeaderCodec``."""

    def read_request(self, headers: tuple[Header, ...]) -> RequestMetadata:
        """Parse the headers of a request; raises ``MalformedRequest``."""
        prompt_tokens, output_tokens = _parse_token_usage(
            get_header_text(headers, TOKEN_USAGE)
        )
        return RequestMetadata(
            request_id=get_header_text(headers, REQUEST_ID),
            key=get_header_text(headers, API_KEY),
            deadline_ms=get_header_int(headers, DEADLINE_MS),
            model=get_header_text(headers, MODEL),
            parts=_parse_prefix_hash(get_header_text(headers, PREFIX_HASH)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            length_hint=get_header_int(headers, LENGTH_HINT) or 0,
            last_event_id=get_header_text(headers, LAST_EVENT_ID),
            resumes=get_header_text(headers, RESUMES),
        )

    def write_request(
        self, headers: tuple[Header, ...], dispatch: DispatchMetadata
    ) -> list[Header]:
        """Return the headers to send to an endpoint."""
        outgoing = [
            (name, value)
            for name, value in iterate_end_to_end(headers)
            if name.lower() not in RESERVED_HEADERS
        ]
        added = {
            "Deadline-Ms": dispatch.deadline_ms,
            "Expect-Instance": dispatch.endpoint.name,
            "Tenant": dispatch.account or None,
            "Cache-Salt": dispatch.cache_scope or None,
            "Request-Priority": _clamp_priority(dispatch.priority),
            "Expect-Version": dispatch.weight_version or None,
            "Last-Event-Id": dispatch.last_event_id or None,
            "Kv-Fetch": _format_addresses(dispatch.fetch),
            "Kv-Save": _format_addresses(dispatch.save),
        }
        outgoing += [
            (name.encode(), str(value).encode("latin1"))
            for name, value in added.items()
            if value is not None
        ]
        return outgoing

    def write_forwarded(
        self,
        headers: tuple[Header, ...],
        deadline_ms: int,
        last_event_id: str,
        resumes: str,
    ) -> list[Header]:
        """Return a caller's headers for another gateway."""
        return write_forwarded(
            headers,
            {
                DEADLINE_MS: str(deadline_ms),
                LAST_EVENT_ID: last_event_id,
                RESUMES: resumes,
            },
        )

    def read_answer(self, status: int, headers: tuple[Header, ...]) -> AnswerMetadata:
        """Parse the status and headers of an endpoint's answer."""
        return AnswerMetadata(
            request_id=get_header_text(headers, REQUEST_ID),
            verified=bool(get_header_text(headers, RESPONSE_SIGNATURE)),
            not_run=get_header(headers, NOT_EXECUTED) is not None,
            misdirected=status == MISDIRECTED_STATUS,
            endpoint=get_header_text(headers, INSTANCE_ID),
            load=_parse_load(get_header_text(headers, SERVER_LOAD)),
            weight_version=_parse_int(get_header_text(headers, WEIGHT_VERSIONS)),
            keep_alive_s=_parse_keep_alive(get_header_text(headers, KEEP_ALIVE)),
            limit_per_s=parse_limit(get_header_text(headers, SERVER_LIMIT)),
            max_rejections_per_s=parse_max_rejections(
                get_header_text(headers, SERVER_BRITTLE)
            ),
            leaving=get_header_text(headers, SERVER_LEAVING) == "1",
            retry_after_s=parse_retry_after(
                status, get_header_text(headers, RETRY_AFTER)
            ),
        )

    def get_status_path(self, service: ServiceRule) -> str:
        """Return the path of an endpoint's report, or of its health check."""
        return REPORT_PATH if service.engine is not None else service.health_path

    def read_started_ms(self, body: bytes) -> int:
        """Return "born" of an endpoint's report, 0 if it is not there."""
        try:
            report = parse_json(body)
        except BadJson:
            return 0
        born = report.get("born") if isinstance(report, dict) else None
        return born if type(born) is int else 0

    def write_refusal(
        self, refusal: Refusal, metadata: RequestMetadata | None
    ) -> tuple[list[Header], bytes]:
        """Return the headers and body of an error answer."""
        return write_refusal(refusal, metadata, b"Request-Id")

    def build_refusal(self, error: MedlarError) -> Refusal:
        """Return the error answer for ``error``."""
        return build_refusal(error)


def _format_addresses(addresses: tuple[str, ...]) -> str | None:
    """Join one address per part with commas; a dash stands for no address."""
    if not any(addresses):
        return None
    return ",".join(address or "-" for address in addresses)


def _clamp_priority(priority: int | None) -> int | None:
    return None if priority is None else min(LOWEST_PRIORITY, max(0, priority))


def _parse_token_usage(text: str) -> tuple[int, int]:
    """Parse ``PROMPT,OUTPUT``; the caller's token counts are passed on unchecked."""
    if not text:
        return 0, 0
    prompt_text, _, output_text = text.partition(",")
    prompt, output = (
        parse_digits(prompt_text.strip()),
        parse_digits(output_text.strip()),
    )
    if prompt is None or output is None:
        raise MalformedRequest(problem="invalid token counts")
    return min(prompt, MAX_TOKENS), min(output, MAX_TOKENS)


def _parse_prefix_hash(text: str) -> tuple[PromptPart, ...]:
    """Parse ``ID:TOKENS`` items separated by commas."""
    return tuple(_parse_part(item.strip()) for item in text.split(",") if item.strip())


def _parse_part(text: str) -> PromptPart:
    identity, _, tokens_text = text.partition(":")
    tokens = parse_digits(tokens_text)
    if not identity or tokens is None:
        raise MalformedRequest(problem="invalid prompt parts")
    return PromptPart(identity, min(tokens, MAX_TOKENS))


def _parse_load(text: str) -> EndpointLoad | None:
    numbers = [parse_digits(number.strip()) for number in text.split(",")]
    if len(numbers) < 3 or None in numbers[:3]:
        return None
    return EndpointLoad(*numbers[:3])


def _parse_int(text: str) -> int:
    return parse_digits(text) or 0


def _parse_keep_alive(text: str) -> float | None:
    """Parse ``timeout`` in a Keep-Alive header, or a bare number, in seconds."""
    for part in text.split(","):
        name, _, value = part.strip().rpartition("=")
        seconds = parse_digits(value)
        if name in ("", "timeout") and seconds is not None:
            return float(seconds)
    return None
