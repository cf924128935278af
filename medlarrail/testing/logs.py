"""Collects log messages in tests."""

from collections.abc import Iterator
from contextlib import contextmanager

import eliot


@contextmanager
def collect_messages(message_type: str) -> Iterator[list[dict]]:
    """Collect the log messages of one type until the block ends.

    What other tests logged while there was no destination is left out.

    Example: ``with collect_messages("request:attempt") as attempts: ...``
    """
    messages: list[dict] = []

    def collect(message: dict) -> None:
        if message.get("message_type") == message_type:
            messages.append(message)

    eliot.add_destinations(collect)
    messages.clear()
    try:
        yield messages
    finally:
        eliot.remove_destination(collect)
