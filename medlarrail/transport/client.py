"""HTTP client for calls between processes, based on httpcore.

Every call has a timeout. A pooled connection can be dead without notice while new
ones work, so an unanswered call is retried once over a new connection before the
peer is considered dead. All calls made with ``call`` must therefore be
idempotent.
"""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from typing import Protocol, TypeVar

import httpcore
import trio
from attrs import define, field, frozen

from medlarrail.core.codec import decode, decode_error, encode
from medlarrail.core.errors import (
    MedlarError,
    PeerBroken,
    PeerError,
    PeerTimeout,
    PeerUnreachable,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.answer_memory import AnswerMemory
from medlarrail.transport.framing import Framing, get_framing

T = TypeVar("T")
CONNECT_TIMEOUT_S = 0.5
IDLE_EXPIRY_S = 15.0
MAX_CONNECTIONS_PER_PEER = 256
MAX_ANSWER_BYTES = 16_000_000
"""Maximum size of an answer that is read as a whole."""
FIRST_ATTEMPT_SHARE = 0.5
"""Share of the timeout for the first attempt, over a pooled connection."""


class PeerClient(Protocol):
    """The network interface used for coordination; tests use one in memory."""

    async def call(
        self,
        url: str,
        path: str,
        message,
        answer_type: type[T],
        timeout_s: float,
        second_try: bool = True,
    ) -> T:
        """Send ``message`` and return the typed answer, or raise its error."""


@frozen
class RawAnswer:
    """An answer with all of its body, undecoded."""

    status: int
    headers: dict[str, str]
    body: bytes
    framing: Framing = Framing.LENGTH

    def raise_for_error(self, url: str) -> None:
        """Raise the typed error that the answer represents, if any."""
        if self.status < 400:
            return
        error = decode_error(self.body)
        raise error if error is not None else PeerBroken(url=url)


@define
class _Pool:
    """The connections to one peer."""

    connections: httpcore.AsyncConnectionPool
    active_requests: int = 0
    retired: bool = False


def _make_pool() -> _Pool:
    return _Pool(
        httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS_PER_PEER,
            max_keepalive_connections=MAX_CONNECTIONS_PER_PEER,
            keepalive_expiry=IDLE_EXPIRY_S,
        )
    )


@define
class HttpClient:
    """Calls peers; ``key`` is sent as the bearer key of every call."""

    key: str = field(default="", repr=False)
    memory: AnswerMemory = field(factory=AnswerMemory)
    _pools_by_base_url: dict[str, _Pool] = field(factory=dict, repr=False)

    async def call(
        self,
        url: str,
        path: str,
        message,
        answer_type: type[T],
        timeout_s: float,
        second_try: bool = True,
        method: str = "POST",
    ) -> T:
        """Send ``message`` and return the typed answer, or raise its error.

        The first attempt has only a share of ``timeout_s``, unless there is no
        ``second_try``: a caller that has other peers to ask needs none.
        """
        body = b"" if message is None else encode(message)
        deadline = trio.current_time() + timeout_s
        first_s = timeout_s * FIRST_ATTEMPT_SHARE if second_try else timeout_s
        try:
            answer = await self._fetch_proven(
                method, url + path, body, timeout_s=first_s
            )
        except (PeerTimeout, PeerBroken) as error:
            self._retire(_get_base_url(url))
            if not second_try:
                raise
            get_metrics().count("peer_second_tries", reason=type(error).__name__)
            remaining_s = max(0.01, deadline - trio.current_time())
            answer = await self._fetch_proven(
                method, url + path, body, timeout_s=remaining_s, new_connection=True
            )
        answer.raise_for_error(url)
        return decode(answer.body, answer_type)

    async def _fetch_proven(self, method: str, url: str, *args, **options) -> RawAnswer:
        """Return an answer that is known to be complete, as each of a peer's is."""
        answer = await self.fetch(method, url, *args, **options)
        if not answer.framing.proves_end:
            raise PeerBroken(url=url)
        return answer

    async def fetch(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
        new_connection: bool = False,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> RawAnswer:
        """Return the answer to one request; raises ``PeerError``.

        An answer of more than ``max_bytes`` raises ``PeerBroken``.
        """
        with trio.move_on_after(timeout_s):
            async with self.open(
                method,
                url,
                body,
                headers,
                read_timeout_s=timeout_s,
                new_connection=new_connection,
            ) as stream:
                data = await stream.read(max_bytes)
                return RawAnswer(stream.status, stream.headers, data, stream.framing)
        raise PeerTimeout(url=url)

    @asynccontextmanager
    async def open(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        read_timeout_s: float = 5.0,
        new_connection: bool = False,
    ) -> AsyncIterator["ResponseStream"]:
        """Open a response; ``read_timeout_s`` bounds the wait for each part of it.

        With ``new_connection`` the request uses a new connection, so that
        ``PeerUnreachable`` proves that nothing was sent.
        """
        base = _get_base_url(url)
        pool = None if new_connection else self._pools_by_base_url.get(base)
        if pool is None:
            pool = _make_pool()
            pool.retired = new_connection
            if not new_connection:
                self._pools_by_base_url[base] = pool
        request = self._build_request(method, url, body, headers, read_timeout_s)
        pool.active_requests += 1
        try:
            with _translate_errors(url):
                response = await pool.connections.handle_async_request(request)
            try:
                yield ResponseStream(url, method.encode(), response, self.memory)
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            pool.active_requests -= 1
            await _close_if_unused(pool)

    def _build_request(self, method, url, body, headers, read_timeout_s):
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, read_timeout_s),
            "read": read_timeout_s,
            "write": read_timeout_s,
            "pool": read_timeout_s,
        }
        all_headers = {
            "host": url.split("/")[2],
            "content-length": str(len(body)),
            "content-type": "application/json",
            **(headers or {}),
        }
        if self.key:
            all_headers.setdefault("authorization", f"Bearer {self.key}")
        return httpcore.Request(
            method,
            url,
            headers=list(all_headers.items()),
            content=body,
            extensions={"timeout": timeouts},
        )

    def _retire(self, base: str) -> None:
        """Stop reusing the pooled connections to a peer that did not answer."""
        pool = self._pools_by_base_url.pop(base, None)
        if pool is not None:
            pool.retired = True

    async def aclose(self) -> None:
        """Close every idle connection."""
        pools = list(self._pools_by_base_url.values())
        self._pools_by_base_url.clear()
        for pool in pools:
            pool.retired = True
            await _close_if_unused(pool)


async def _close_if_unused(pool: _Pool) -> None:
    if pool.retired and pool.active_requests == 0:
        with trio.CancelScope(shield=True):
            await pool.connections.aclose()


def _get_base_url(url: str) -> str:
    return "/".join(url.split("/")[:3])


@define
class ResponseStream:
    """A response whose body arrives in parts."""

    url: str
    _method: bytes
    _response: httpcore.Response
    memory: AnswerMemory

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> dict[str, str]:
        """Headers keyed by lower-case name."""
        return {
            name.decode("latin1").lower(): value.decode("latin1")
            for name, value in self._response.headers
        }

    @property
    def framing(self) -> Framing:
        """What shows the end of the body."""
        return get_framing(self._method, self.status, self._response.headers)

    async def read(self, max_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the whole body.

        Raises ``PeerBroken`` beyond ``max_bytes``, or if all answers that the client
        receives take too much memory and this one is the largest.
        """
        held = self.memory.open()
        try:
            async with aclosing(self.iterate()) as parts:
                async for part in parts:
                    self.memory.add(held, part, trio.current_time())
                    if held.is_dropped or len(held.data) > max_bytes:
                        break
            if held.is_dropped or len(held.data) > max_bytes:
                get_metrics().count("peer_answers_too_long", dropped=held.is_dropped)
                raise PeerBroken(url=self.url)
            return bytes(held.data)
        finally:
            self.memory.close(held)

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive."""
        with _translate_errors(self.url):
            async for part in self._response.aiter_stream():
                yield part


class _translate_errors:
    """Translates the errors of httpcore to the typed errors of this project."""

    def __init__(self, url: str):
        self.url = url

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback) -> bool:
        translated = _translate_error(error, self.url)
        if translated is not None:
            raise translated from error
        return False


def _translate_error(error: BaseException | None, url: str) -> PeerError | None:
    if error is None or isinstance(error, MedlarError):
        return None
    if isinstance(
        error, httpcore.ConnectError | httpcore.ConnectTimeout | httpcore.PoolTimeout
    ):
        return PeerUnreachable(url=url)
    if isinstance(error, httpcore.TimeoutException):
        return PeerTimeout(url=url)
    if isinstance(error, httpcore.NetworkError | httpcore.ProtocolError):
        return PeerBroken(url=url)
    return None
