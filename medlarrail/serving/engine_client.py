"""Runs a prompt on an engine and validates the streamed answer."""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

from attrs import define

from medlarrail.core.codec import decode, decode_error, encode
from medlarrail.core.entities import Endpoint
from medlarrail.core.errors import (
    AnswerCrossed,
    AnswerTruncated,
    BadField,
    BadJson,
    EndpointRefused,
    EndpointUnreachable,
    MedlarError,
    PeerBroken,
    PeerTimeout,
    PeerUnreachable,
    StreamBroken,
    StreamSilent,
)
from medlarrail.protocol.endpoints import (
    INCARNATION_HEADER,
    REQUEST_ID_HEADER,
    WEIGHT_VERSION_HEADER,
)
from medlarrail.protocol.openai import (
    COMPLETIONS_PATH,
    DONE,
    EngineChunk,
    EngineRequest,
    iterate_events,
)
from medlarrail.transport.client import HttpClient, ResponseStream

MAX_REFUSAL_BYTES = 65536
"""Maximum size of an engine's error answer."""


@define
class EngineStream:
    """An engine's streamed answer to one prompt."""

    endpoint: Endpoint
    request: EngineRequest
    response: ResponseStream
    silence_s: float
    tokens: int = 0

    @property
    def incarnation(self) -> str:
        """The incarnation that answered."""
        return self.response.headers.get(INCARNATION_HEADER, "")

    @property
    def weight_version(self) -> str:
        """The weight version that answered."""
        return self.response.headers.get(WEIGHT_VERSION_HEADER, "")

    async def iterate(self) -> AsyncIterator[EngineChunk]:
        """Yield the chunks of the answer as they are validated.

        Raises a ``RunFailure`` if the stream breaks, times out, has a gap, ends
        early or belongs to another request.
        """
        name = self.endpoint.name
        self.tokens = self.request.resume_from
        try:
            async with aclosing(self.response.iterate()) as parts:
                async with aclosing(iterate_events(parts)) as events:
                    async for chunk in self._check(events):
                        yield chunk
        except PeerTimeout as error:
            raise StreamSilent(name, self.silence_s, self.tokens) from error
        except PeerBroken as error:
            raise StreamBroken(name, self.tokens) from error
        except (BadJson, BadField) as error:
            raise AnswerTruncated(name, self.tokens) from error

    async def _check(self, events) -> AsyncIterator[EngineChunk]:
        finished = False
        async for data in events:
            if data == DONE and finished:
                return
            if data == DONE or finished:
                break
            chunk = decode(data, EngineChunk)
            self._check_chunk(chunk)
            if chunk.finish_reason:
                finished = True
            else:
                self.tokens += 1
            yield chunk
        raise AnswerTruncated(self.endpoint.name, self.tokens)

    def _check_chunk(self, chunk: EngineChunk) -> None:
        name = self.endpoint.name
        if chunk.request_id != self.request.request_id:
            raise AnswerCrossed(name, self.request.request_id, chunk.request_id)
        if chunk.token_index != self.tokens:
            raise AnswerTruncated(name, self.tokens)
        if chunk.finish_reason and (
            chunk.usage is None or chunk.usage.completion_tokens != self.tokens
        ):
            raise AnswerTruncated(name, self.tokens)


@define
class EngineClient:
    """Sends prompts to engines and opens the streams of their answers."""

    client: HttpClient

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, request: EngineRequest, silence_s: float
    ) -> AsyncIterator[EngineStream]:
        """Send a prompt and yield its stream; closes the connection on exit.

        Raises ``EndpointUnreachable`` or ``EndpointRefused`` if the prompt did
        not run, and a ``RunFailure`` if it may have run.
        """
        headers = {REQUEST_ID_HEADER: request.request_id}
        body = encode(request)
        url = endpoint.url + COMPLETIONS_PATH
        with translate_run_errors(endpoint.name, silence_s):
            async with self.client.open(
                "POST", url, body, headers, read_timeout_s=silence_s
            ) as response:
                if response.status != 200:
                    raise await read_refusal(endpoint.name, response)
                stream = EngineStream(endpoint, request, response, silence_s)
                echoed_id = response.headers.get(REQUEST_ID_HEADER, "")
                if echoed_id != request.request_id:
                    raise AnswerCrossed(endpoint.name, request.request_id, echoed_id)
                yield stream


async def read_refusal(name: str, response: ResponseStream) -> MedlarError:
    """Return the error for an endpoint's answer with a status other than 200."""
    body = await response.read(MAX_REFUSAL_BYTES)
    error = decode_error(body)
    if error is not None and error.run == "no":
        return EndpointRefused(endpoint=name, reason=type(error).__name__)
    return StreamBroken(endpoint=name)


class translate_run_errors:
    """Translates peer errors into the run errors of a request to an endpoint."""

    def __init__(self, endpoint: str, silence_s: float):
        self.endpoint = endpoint
        self.silence_s = silence_s

    def __enter__(self):
        return self

    def __exit__(self, kind, error, traceback) -> bool:
        if isinstance(error, PeerUnreachable):
            raise EndpointUnreachable(endpoint=self.endpoint) from error
        if isinstance(error, PeerTimeout):
            raise StreamSilent(self.endpoint, self.silence_s) from error
        if isinstance(error, PeerBroken):
            raise StreamBroken(self.endpoint) from error
        return False
