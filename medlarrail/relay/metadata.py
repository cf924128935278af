"""Metadata of requests and answers, and the interface that maps it to headers.

Requests and answers are opaque. The metadata needed for decisions is carried in
headers whose names differ between deployments; a ``HeaderCodec`` reads and writes
them, so that no other module depends on the names.
"""

from typing import Protocol

from attrs import field, frozen

from medlarrail.core.announcements import Announcement
from medlarrail.core.cluster_records import is_request_key
from medlarrail.core.deployment import ServiceRule
from medlarrail.core.errors import MedlarError
from medlarrail.core.placement import get_weight

Header = tuple[bytes, bytes]
"""Name and value as sent on the wire."""
MAX_KEY_CHARS = 32


@frozen
class InboundRequest:
    """A complete request from a caller; ``received_at`` is on trio's clock.

    ``forwarded_by`` is the entry that a caller sent it to, empty for this one.
    """

    method: bytes
    target: bytes
    host: str
    headers: tuple[Header, ...] = field(repr=False)
    body: bytes = field(repr=False)
    received_at: float
    forwarded_by: str = ""

    @property
    def path(self) -> str:
        """The path as received, with escapes and dot segments preserved."""
        return self.target.partition(b"?")[0].decode("latin1")


@frozen
class PromptPart:
    """One part of a prompt: its identity and its size in tokens."""

    identity: str
    tokens: int

    @property
    def key(self) -> str:
        """The identity, or a hash of a long one, for messages and stored data."""
        is_plain = len(self.identity) <= MAX_KEY_CHARS
        if is_plain and not is_request_key(self.identity):
            return self.identity
        return f"{get_weight(self.identity, 'part'):016x}"


@frozen
class RequestMetadata:
    """Metadata of a request.

    ``deadline_ms`` is the caller's timeout, or None if not given.
    ``prompt_tokens`` and ``output_tokens`` bound the work of a prompt.
    """

    request_id: str = ""
    key: str = field(default="", repr=False)
    deadline_ms: int | None = None
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: int = 0
    last_event_id: str = ""
    resumes: str = ""
    """The request that brought the first event of the stream that goes on after
    ``last_event_id``, or empty if the caller does not say."""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def own_tokens(self) -> int:
        """The tokens of the prompt that are not shared with other requests."""
        shared = sum(part.tokens for part in self.shared_parts)
        return max(0, self.prompt_tokens - shared)

    @property
    def largest_shared_part(self) -> PromptPart:
        """The largest shared part, which saves most if cached; requires ``parts``."""
        shared = self.shared_parts or self.parts
        return max(shared, key=lambda part: part.tokens)


@frozen
class DispatchMetadata:
    """Metadata that the relay adds to a request sent to an endpoint."""

    endpoint: Announcement
    deadline_ms: int
    account: str = ""
    priority: int | None = None
    cache_scope: str = ""
    """Cache namespace at the endpoints, per owner, model and version."""
    weight_version: int = 0
    """The weight version that must serve the request, 0 for any."""
    weights_replaced_s: float = 0.0
    """Time since that version was replaced, 0 if it is the newest one."""
    last_event_id: str = ""
    fetch: tuple[str, ...] = ()
    """For each part of the prompt the address to fetch it from, or empty."""
    save: tuple[str, ...] = ()
    """For each part of the prompt the address to save it to, or empty."""

    def describe_transfers(self) -> list[str]:
        """Return the transfer of each part as text for the log, ``-`` for none."""
        pairs = zip(self.fetch, self.save, strict=True)
        return [
            f"fetch {fetch}" if fetch else f"save {save}" if save else "-"
            for fetch, save in pairs
        ]


@frozen
class EndpointLoad:
    """Load that an endpoint reports in an answer."""

    running: int
    waiting: int
    slots: int


@frozen
class AnswerMetadata:
    """Metadata from the head of an endpoint's answer.

    ``verified`` is set if the endpoint itself vouches for the answer, ``not_run``
    if it states that it did not run the request.
    """

    request_id: str = ""
    verified: bool = False
    not_run: bool = False
    misdirected: bool = False
    endpoint: str = ""
    """Name of the answering endpoint, if it is given."""
    load: EndpointLoad | None = None
    weight_version: int = 0
    keep_alive_s: float | None = None
    limit_per_s: float | None = None
    """Requests per second that the endpoint accepts from all entries together, or None
    if it names no limit."""
    max_rejections_per_s: float | None = None
    """Rejections per second beyond which the endpoint falls over, or None if it bears
    any number."""
    leaving: bool = False
    """Whether the endpoint says that it is leaving and wants no more requests."""
    retry_after_s: float | None = None
    """Seconds for which the endpoint wants no requests from this entry, or None if it
    asks for no such time."""


@frozen
class Refusal:
    """An error answer generated by the relay itself."""

    status: int
    reason: str
    retry_after_s: float = 0.0


class HeaderCodec(Protocol):
    """Maps metadata to and from the headers of one kind of deployment."""

    def read_request(self, headers: tuple[Header, ...]) -> RequestMetadata:
        """Return the metadata of a request; raises ``MalformedRequest``."""

    def write_request(
        self, headers: tuple[Header, ...], dispatch: DispatchMetadata
    ) -> list[Header]:
        """Return the headers to send to an endpoint."""

    def write_forwarded(
        self,
        headers: tuple[Header, ...],
        deadline_ms: int,
        last_event_id: str,
        resumes: str,
    ) -> list[Header]:
        """Return a caller's headers for another entry, with what is left of its time.

        ``last_event_id`` is the event after which a stream goes on, and ``resumes`` the
        request that began it; both may be empty.
        """

    def read_answer(self, status: int, headers: tuple[Header, ...]) -> AnswerMetadata:
        """Return the metadata from the head of an answer."""

    def get_status_path(self, service: ServiceRule) -> str:
        """Return the path at which an endpoint tells its status, or an empty string."""

    def read_started_ms(self, body: bytes) -> int:
        """Return the start of the endpoint in the body of its status, 0 if it is not
        there."""

    def write_refusal(
        self, refusal: Refusal, metadata: RequestMetadata | None
    ) -> tuple[list[Header], bytes]:
        """Return the headers and body of an error answer."""

    def build_refusal(self, error: MedlarError) -> Refusal:
        """Return the error answer for ``error``."""
