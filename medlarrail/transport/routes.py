"""Routes of a server, declared with a decorator on their handlers.

A class marks its methods with ``route``; ``Routes.collect`` collects them from an
object. A handler takes a ``Request`` and returns an attrs message, a ``Reply`` or an
``EventStream``.
"""

import math
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

from attrs import define, evolve, field, frozen

from medlarrail.core.codec import decode, encode, encode_error
from medlarrail.core.errors import CallerError, MedlarError, UnknownRoute
from medlarrail.core.metrics import get_metrics

JSON = "application/json"
IDEMPOTENCY_HEADER = "idempotency-key"
Handler = Callable[["Request"], Awaitable[Any]]


@frozen
class Request:
    """One request; ``tail`` is the part of the path after the route's prefix."""

    method: str
    path: str
    headers: dict[str, str] = field(factory=dict, repr=False)
    query: dict[str, str] = field(factory=dict)
    body: bytes = field(default=b"", repr=False)
    message: Any = None
    tail: str = ""

    def get_bearer(self) -> str:
        """Return the bearer key, or an empty string."""
        value = self.headers.get("authorization", "")
        scheme, _, key = value.partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""


@frozen
class Reply:
    """A complete answer."""

    status: int = 200
    body: bytes = b""
    content_type: str = JSON
    headers: dict[str, str] = field(factory=dict)


@frozen
class EventStream:
    """An answer sent as server-sent events while ``chunks`` yields bytes."""

    chunks: AsyncIterator[bytes]
    headers: dict[str, str] = field(factory=dict)


@frozen
class Route:
    """One route; a path that ends in ``*`` matches every path with that prefix."""

    method: str
    path: str
    message_type: type | None
    handler: Handler

    def match(self, method: str, path: str) -> str | None:
        """Return the tail of a matching path, else None."""
        if method != self.method:
            return None
        if self.path.endswith("*"):
            prefix = self.path[:-1]
            return path[len(prefix) :] if path.startswith(prefix) else None
        return "" if path == self.path else None


def route(method: str, path: str, message_type: type | None = None):
    """Mark a method as the handler of ``method path``.

    Example: ``@route("POST", "/v1/renew", RenewRequest)``.
    """

    def declare(function):
        declared = getattr(function, "_routes", ())
        function._routes = (*declared, (method, path, message_type))
        return function

    return declare


@define
class Routes:
    """The routes of one server and the guard that checks each request."""

    routes: list[Route] = field(factory=list)
    guard: Callable[[Request], None] | None = None

    @classmethod
    def collect(cls, *owners: Any, guard=None) -> "Routes":
        """Return the routes declared by the methods of ``owners``."""
        collected = cls(guard=guard)
        for owner in owners:
            collected.add(owner)
        return collected

    def add(self, owner: Any) -> None:
        """Add the routes declared by the methods of ``owner``."""
        self.routes.extend(_iterate_declared_routes(owner))
        self.routes.sort(key=lambda route: (route.path.endswith("*"), -len(route.path)))

    def find(self, request: Request) -> tuple[Route, Request]:
        """Return the route that matches ``request`` and the request with its tail."""
        for candidate in self.routes:
            tail = candidate.match(request.method, request.path)
            if tail is not None:
                return candidate, evolve(request, tail=tail)
        raise UnknownRoute(path=request.path)

    def check_head(self, request: Request) -> bool:
        """Raise the error of a request that is refused whatever its body is.

        Returns whether its sender has proven a key of the system.
        """
        self.find(request)
        if self.guard is None:
            return False
        self.guard(request)
        trusts = getattr(self.guard, "trusts", None)
        return trusts is not None and trusts(request.path)

    async def answer(self, request: Request) -> Reply | EventStream:
        """Return the answer to ``request``; a typed error becomes an error answer."""
        try:
            return await self._answer(request)
        except MedlarError as error:
            return format_error(error, request.headers)

    async def _answer(self, request: Request) -> Reply | EventStream:
        matched, request = self.find(request)
        if self.guard is not None:
            self.guard(request)
        if matched.message_type is not None:
            message = decode(request.body, matched.message_type)
            request = evolve(request, message=message)
        answer = await matched.handler(request)
        if isinstance(answer, Reply | EventStream):
            return answer
        return Reply(body=encode(answer))


def _iterate_declared_routes(owner: Any) -> Iterator[Route]:
    for name in dir(type(owner)):
        function = getattr(type(owner), name)
        for method, path, message_type in getattr(function, "_routes", ()):
            yield Route(method, path, message_type, getattr(owner, name))


def format_error(error: MedlarError, headers: dict[str, str] | None = None) -> Reply:
    """Return the answer that represents ``error``, and count it by its type."""
    get_metrics().count("errors_answered", type=type(error).__name__)
    answer_headers = {}
    retry_after_s = getattr(error, "retry_after_s", 0.0)
    if retry_after_s > 0:
        answer_headers["retry-after"] = str(math.ceil(retry_after_s))
        answer_headers["retry-after-ms"] = str(int(retry_after_s * 1000))
    body = encode_error(error, get_run_status(error, headers or {}))
    return Reply(status=error.status, body=body, headers=answer_headers)


def get_run_status(error: MedlarError, headers: dict[str, str]) -> str:
    """Return whether the request ran, as far as this process knows.

    With an idempotency key an earlier request may have run. The value is then "no"
    only for an error raised after consulting the ledger or for an invalid request.
    """
    if error.run != "no" or IDEMPOTENCY_HEADER not in headers:
        return error.run
    if isinstance(error, CallerError) or getattr(error, "ledger_asked", False):
        return "no"
    return "unknown"
