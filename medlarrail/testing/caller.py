"""A caller that keeps a list of entries, as a customer's program would."""

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
from medlarrail.serving.front import EntryList
from medlarrail.transport.client import HttpClient, RawAnswer

REQUEST_TIMEOUT_S = 30.0
LIST_TIMEOUT_S = 2.0


@frozen
class PromptResult:
    """What a caller saw of one prompt; times in seconds."""

    text: str
    whole: bool
    first_token_s: float
    prompt_tokens: int = 0
    cached_tokens: int = 0
    error: MedlarError | None = None


@define
class Caller:
    """Asks the entries that it knows for the list and uses the first of it."""

    key: str
    known_urls: list[str]
    client: HttpClient = field(init=False)
    _listed: list[str] = field(factory=list)
    _listed_until: float = float("-inf")

    def __attrs_post_init__(self):
        self.client = HttpClient(self.key)

    async def list_entries(self) -> list[str]:
        """Return the entries to use, asking again when the list has run out."""
        if trio.current_time() < self._listed_until:
            return self._listed
        for url in [*self._listed, *self.known_urls]:
            try:
                answer = await self.client.call(
                    url, "/v1/entries", None, EntryList, LIST_TIMEOUT_S, method="GET"
                )
            except MedlarError:
                continue
            self._listed = [one.url for one in answer.entries]
            self._listed_until = trio.current_time() + answer.keep_s
            return self._listed
        return self._listed or self.known_urls

    async def ask(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        url: str = "",
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> PromptResult:
        """Stream one prompt and return what was seen."""
        url = url or (await self.list_entries())[0]
        body = encode(CompletionRequest(model, prompt, max_tokens, stream=True))
        started_at = trio.current_time()
        try:
            async with self.client.open(
                "POST", url + COMPLETIONS_PATH, body, silence_s=timeout_s
            ) as response:
                if response.status != 200:
                    data = b"".join([part async for part in response.iterate()])
                    return _fail(decode_error(data), started_at)
                return await _read_stream(response, started_at)
        except PeerError as error:
            return _fail(error, started_at)

    async def buy(
        self, path: str, key: str, url: str = "", timeout_s: float = REQUEST_TIMEOUT_S
    ) -> RawAnswer:
        """Make a call that may not be repeated, under an idempotency key."""
        url = url or (await self.list_entries())[0]
        return await self.client.fetch(
            "POST",
            f"{url}/v1/services/{path}",
            b"{}",
            {"idempotency-key": key},
            timeout_s=timeout_s,
        )


def _fail(error: MedlarError | None, started_at: float) -> PromptResult:
    seconds = trio.current_time() - started_at
    return PromptResult("", False, seconds, error=error)


async def _read_stream(response, started_at: float) -> PromptResult:
    text: list[str] = []
    first_token_s = 0.0
    usage: dict = {}
    error = None
    whole = False
    async for data in iterate_events(response.iterate()):
        if data == DONE:
            whole = True
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
        whole,
        first_token_s,
        usage.get("prompt_tokens", 0),
        usage.get("cached_tokens", 0),
        error,
    )


def read_receipt(answer: RawAnswer, kind: type):
    """Return the typed receipt of a purchase."""
    return decode(answer.body, kind)
