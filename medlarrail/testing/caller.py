"""A caller that caches the list of entries, as a customer's client would."""

import orjson
import trio
from attrs import define, field, frozen

from medlarrail.core.codec import decode, decode_error, encode
from medlarrail.core.errors import MedlarError, PeerError
from medlarrail.protocol.openai import (
    COMPLETIONS_PATH,
    DONE,
    CompletionRequest,
    iterate_events,
)
from medlarrail.serving.caller_api import EntryList
from medlarrail.transport.client import HttpClient, RawAnswer

REQUEST_TIMEOUT_S = 30.0
LIST_TIMEOUT_S = 2.0


@frozen
class PromptResult:
    """Result of one prompt as the caller saw it; times in seconds."""

    text: str
    complete: bool
    first_token_s: float
    prompt_tokens: int = 0
    cached_tokens: int = 0
    error: MedlarError | None = None


@define
class Caller:
    """Client that fetches the list of entries and uses its first entry."""

    key: str
    known_urls: list[str]
    client: HttpClient = field(init=False)
    _entry_urls: list[str] = field(factory=list)
    _entry_urls_expire_at: float = float("-inf")

    def __attrs_post_init__(self):
        self.client = HttpClient(self.key)

    async def list_entries(self) -> list[str]:
        """Return the URLs of the entries, fetched again once the list has expired."""
        if trio.current_time() < self._entry_urls_expire_at:
            return self._entry_urls
        for url in [*self._entry_urls, *self.known_urls]:
            try:
                answer = await self.client.call(
                    url, "/v1/entries", None, EntryList, LIST_TIMEOUT_S, method="GET"
                )
            except MedlarError:
                continue
            self._entry_urls = [entry.url for entry in answer.entries]
            self._entry_urls_expire_at = trio.current_time() + answer.keep_s
            return self._entry_urls
        return self._entry_urls or self.known_urls

    async def ask(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        url: str = "",
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> PromptResult:
        """Stream one prompt and return its result."""
        url = url or (await self.list_entries())[0]
        body = encode(CompletionRequest(model, prompt, max_tokens, stream=True))
        started_at = trio.current_time()
        try:
            async with self.client.open(
                "POST", url + COMPLETIONS_PATH, body, read_timeout_s=timeout_s
            ) as response:
                if response.status != 200:
                    data = b"".join([part async for part in response.iterate()])
                    return _make_failure(decode_error(data), started_at)
                return await _read_stream(response, started_at)
        except PeerError as error:
            return _make_failure(error, started_at)

    async def buy(
        self, path: str, key: str, url: str = "", timeout_s: float = REQUEST_TIMEOUT_S
    ) -> RawAnswer:
        """Make a non-repeatable call with an idempotency key."""
        url = url or (await self.list_entries())[0]
        return await self.client.fetch(
            "POST",
            f"{url}/v1/services/{path}",
            b"{}",
            {"idempotency-key": key},
            timeout_s=timeout_s,
        )


def _make_failure(error: MedlarError | None, started_at: float) -> PromptResult:
    seconds = trio.current_time() - started_at
    return PromptResult("", False, seconds, error=error)


async def _read_stream(response, started_at: float) -> PromptResult:
    text: list[str] = []
    first_token_s = 0.0
    usage: dict = {}
    error = None
    complete = False
    async for data in iterate_events(response.iterate()):
        if data == DONE:
            complete = True
            break
        event = orjson.loads(data)
        if "error" in event:
            error = decode_error(data)
            break
        if not text:
            first_token_s = trio.current_time() - started_at
        text.append(event["choices"][0]["text"])
        usage = event.get("usage") or usage
    return PromptResult(
        "".join(text),
        complete,
        first_token_s,
        usage.get("prompt_tokens", 0),
        usage.get("cached_tokens", 0),
        error,
    )


def read_receipt(answer: RawAnswer, kind: type):
    """Return the typed receipt of a purchase."""
    return decode(answer.body, kind)
