"""Events that tell the prompt, the software version, their number and their run."""

import hashlib

from attrs import frozen

VERSIONS = tuple(f"v{number}" for number in range(1, 21))
"""Software versions of the endpoints."""

LARGE_SUFFIX = "-large"
"""End of the prompts whose events are large."""
MAX_REPEATS = 1400
"""Times that each line of a large event repeats its text: up to 67 KB for the event."""


@frozen
class Event:
    """One event as a caller received it."""

    number: int
    text: str
    request_id: str = ""
    """ID of the request whose run wrote it."""


def draw(*keys: object) -> float:
    """Return a number from 0 to below 1 that depends on ``keys`` alone.

    >>> draw(1, "framing") == draw(1, "framing")
    True
    """
    digest = hashlib.sha256("/".join(map(str, keys)).encode()).digest()
    return int.from_bytes(digest[:6]) / (1 << 48)


def make_text(prompt: str, version: str, number: int) -> str:
    """Return the text of one event; some texts have several lines."""
    digest = hashlib.sha256(f"{prompt}/{version}/{number}".encode()).hexdigest()
    repeats = 1
    if prompt.endswith(LARGE_SUFFIX):
        repeats += int(draw(prompt, number, "size") * MAX_REPEATS)
    lines = [digest[start : start + 16] * repeats for start in (0, 16, 32)]
    return "\n".join(lines[: 1 + int(draw(prompt, number, "lines") * 3)])


def build_event(prompt: str, version: str, number: int, request_id: str) -> bytes:
    """Return the bytes of one event; some have a comment before it or in it."""
    fields = [f"id: {number}", f"event: {request_id}"]
    fields += [f"data: {line}" for line in make_text(prompt, version, number).split()]
    comment = draw(prompt, number, "comment")
    if comment < 0.1:
        fields.insert(0, ": a comment\n")
    elif comment < 0.2:
        fields.insert(1, ": a comment")
    return ("\n".join(fields) + "\n\n").encode()


def build_body(prompt: str, version: str, size: int) -> bytes:
    """Return the body of an answer that is no stream."""
    return "".join(
        make_text(prompt, version, number) for number in range(size)
    ).encode()


def parse_events(data: bytes) -> list[Event]:
    """Return the complete events in ``data``; a partial one at the end is left out.

    >>> parse_events(b": x\\n\\nid: 4\\nevent: r\\ndata: a\\ndata: b\\n\\nid: 5\\n")
    [Event(number=4, text='a\\nb', request_id='r')]
    """
    events = []
    for block in data.split(b"\n\n")[:-1]:
        lines = block.decode().split("\n")
        numbers = [line[4:] for line in lines if line.startswith("id: ")]
        texts = [line[6:] for line in lines if line.startswith("data: ")]
        names = [line[7:] for line in lines if line.startswith("event: ")]
        if numbers or texts:
            number = int(numbers[0]) if numbers else 0
            events.append(Event(number, "\n".join(texts), "".join(names)))
    return events
