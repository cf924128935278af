"""Routes of a server: handlers registered by a decorator.

A class marks its methods with ``route``; ``Routes.collect`` gathers them from
an object. A handler takes a ``Request`` and returns an attrs message, a
``Reply`` or an ``EventStream``.
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
    """One request; ``tail`` is what follows the route's prefix in the path."""

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
    """A whole answer."""

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
    """One route. A path that ends in ``*`` matches every longer path."""

    method: str
    path: str
    message_type: type | None
    handler: Handler

    def match(self, method: str, path: str) -> str | None:
        """Return the tail of a path that matches, else None."""
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

    def mark(function):
        marks = getattr(function, "_routes", ())
        function._routes = (*marks, (method, path, message_type))
        return function

    return mark


@define
class Routes:
    """The routes of one server and the guards before them."""

    routes: list[Route] = field(factory=list)
    guard: Callable[[Request], None] | None = None

    @classmethod
    def collect(cls, *owners: Any, guard=None) -> "Routes":
        """Return the routes that the methods of ``owners`` are marked with."""
        collected = cls(guard=guard)
        for owner in owners:
            collected.add(owner)
        return collected

    def add(self, owner: Any) -> None:
        """Serve the routes that the methods of ``owner`` are marked with, too."""
        self.routes.extend(_iterate_marked(owner))
        self.routes.sort(key=lambda one: (one.path.endswith("*"), -len(one.path)))

    def find(self, request: Request) -> tuple[Route, Request]:
        """Return the route of ``request`` and the request with its tail."""
        for one in self.routes:
            tail = one.match(request.method, request.path)
            if tail is not None:
                return one, evolve(request, tail=tail)
        raise UnknownRoute(path=request.path)

    async def answer(self, request: Request) -> Reply | EventStream:
        """Return the answer to ``request``; every typed error becomes one."""
        try:
            return await self._answer(request)
        except MedlarError as error:
            return format_error(error, request.headers)

    async def _answer(self, request: Request) -> Reply | EventStream:
        found, request = self.find(request)
        if self.guard is not None:
            self.guard(request)
        if found.message_type is not None:
            message = decode(request.body, found.message_type)
            request = evolve(request, message=message)
        answer = await found.handler(request)
        if isinstance(answer, Reply | EventStream):
            return answer
        return Reply(body=encode(answer))


def _iterate_marked(owner: Any) -> Iterator[Route]:
    for name in dir(type(owner)):
        function = getattr(type(owner), name)
        for method, path, message_type in getattr(function, "_routes", ()):
            yield Route(method, path, message_type, getattr(owner, name))


def format_error(error: MedlarError, headers: dict[str, str] | None = None) -> Reply:
    """Return the answer that stands for ``error``, and count it by its type."""
    get_metrics().count("errors_answered", type=type(error).__name__)
    answer_headers = {}
    retry_after_s = getattr(error, "retry_after_s", 0.0)
    if retry_after_s > 0:
        answer_headers["retry-after"] = str(math.ceil(retry_after_s))
        answer_headers["retry-after-ms"] = str(int(retry_after_s * 1000))
    body = encode_error(error, get_run(error, headers or {}))
    return Reply(status=error.status, body=body, headers=answer_headers)


def get_run(error: MedlarError, headers: dict[str, str]) -> str:
    """Return whether the request ran, as far as this answer can tell.

    Under an idempotency key an earlier request may have run. "no" is said there
    only by an error that comes from the ledger, or about the request's form.
    """
    if error.run != "no" or IDEMPOTENCY_HEADER not in headers:
        return error.run
    if isinstance(error, CallerError) or getattr(error, "ledger_asked", False):
        return "no"
    return "unknown"
