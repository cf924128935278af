"""OpenAI-compatible requests and answers, and the chunks of engine streams.

An engine streams ``EngineChunk`` objects as server-sent events and ends with
``[DONE]``. In addition to the usual fields, each chunk has the request id and the
index of its token, so that the entry can detect incomplete or mixed-up answers.
"""

from typing import Literal

import orjson
from attrs import field, frozen

from medlarrail.core.codec import encode, to_plain
from medlarrail.core.errors import BadJson

DONE = b"[DONE]"
MAX_EVENT_BYTES = 1_000_000
"""Maximum size of one event of an engine's stream."""
COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"


@frozen
class CompletionRequest:
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str = field(repr=False)
    max_tokens: int = 16
    stream: bool = False


@frozen
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str = field(repr=False)


@frozen
class ChatRequest:
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: tuple[ChatMessage, ...] = field(repr=False)
    max_tokens: int = 16
    stream: bool = False


@frozen
class Usage:
    """Token counts of an answer; ``cached_tokens`` were served from the cache."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


@frozen
class EngineRequest:
    """The request of an entry to an engine.

    ``root_key`` starts the chain of block keys; it covers the account, the
    model, the weight version and the adapter. With ``resume_from`` the engine
    continues after that many tokens, whose text is ``resume_text``.
    """

    request_id: str
    model: str
    prompt: str = field(repr=False)
    max_tokens: int
    weight_version: str
    root_key: str
    priority: int = 0
    resume_from: int = 0
    resume_text: str = field(default="", repr=False)


@frozen
class EngineChunk:
    """One event of an engine's stream.

    ``token_index`` counts from 0 over the whole answer. The last chunk has a
    ``finish_reason`` and the ``usage``, and no token.
    """

    request_id: str
    token_index: int
    text: str = ""
    finish_reason: str = ""
    usage: Usage | None = None


@frozen
class Answer:
    """A complete answer to a prompt."""

    request_id: str
    model: str
    text: str
    finish_reason: str
    usage: Usage


def render_chat(request: ChatRequest) -> CompletionRequest:
    """Return the completion request equivalent to a chat request."""
    lines = [f"{message.role}: {message.content}\n" for message in request.messages]
    prompt = "".join([*lines, "assistant:"])
    return CompletionRequest(request.model, prompt, request.max_tokens, request.stream)


Shape = Literal["completion", "chat"]


def format_answer(answer: Answer, shape: Shape, created_s: int) -> bytes:
    """Return the JSON body of a complete answer."""
    choice = {"index": 0, "finish_reason": answer.finish_reason}
    if shape == "chat":
        choice["message"] = {"role": "assistant", "content": answer.text}
    else:
        choice["text"] = answer.text
    body = _build_body(answer.request_id, answer.model, shape, created_s)
    body["object"] = "chat.completion" if shape == "chat" else "text_completion"
    body["choices"] = [choice]
    body["usage"] = to_plain(answer.usage)
    return orjson.dumps(body)


def format_chunk(chunk: EngineChunk, model: str, shape: Shape, created_s: int) -> bytes:
    """Return a chunk as a server-sent event for the caller."""
    choice = {"index": 0, "finish_reason": chunk.finish_reason or None}
    if shape == "chat":
        choice["delta"] = {"content": chunk.text} if chunk.text else {}
    else:
        choice["text"] = chunk.text
    body = _build_body(chunk.request_id, model, shape, created_s)
    body["choices"] = [choice]
    if chunk.usage is not None:
        body["usage"] = to_plain(chunk.usage)
    return format_event(orjson.dumps(body))


def _build_body(request_id: str, model: str, shape: Shape, created_s: int) -> dict:
    kind = "chat.completion.chunk" if shape == "chat" else "text_completion"
    return {"id": request_id, "object": kind, "created": created_s, "model": model}


def format_event(data: bytes) -> bytes:
    """Return ``data`` as one server-sent event."""
    return b"data: " + data + b"\n\n"


def format_engine_chunk(chunk: EngineChunk) -> bytes:
    """Return a chunk as a server-sent event of an engine."""
    return format_event(encode(chunk))


async def iterate_events(parts):
    """Yield the data of each server-sent event in a stream of bytes.

    Raises ``BadJson`` for an event of more than ``MAX_EVENT_BYTES``.
    """
    buffer = b""
    async for part in parts:
        buffer += part
        if len(buffer) > MAX_EVENT_BYTES:
            raise BadJson(problem="event too long")
        while (end := buffer.find(b"\n\n")) >= 0:
            event, buffer = buffer[:end], buffer[end + 2 :]
            if event.startswith(b"data: "):
                yield event[len(b"data: ") :]
