"""Decides whether a prompt's shared part is read again, and where from if not.

Handles several prompts for one large part within a second: no store holds the part
until one engine has read it, transferred it and the store's event has arrived, so each
of the other prompts would prefill the same tokens at another engine. An engine that has
read the part needs no prefill for it, one that is reading it has it when the prompt in
front has been read, and others can fetch it. Which of these is fastest depends on the
size of a token: the decision compares times and knows no deployment.
"""

from collections.abc import Sequence

from attrs import frozen

MIN_SHARED_TOKENS = 1000
"""Tokens of a part from which on engines are compared by it: a smaller one is read in
less time than the messages about it take."""
REMOTE_TRANSFER_FACTOR = 2.0
"""A transfer between two data centres takes twice as long."""
MAX_TRANSFER_RATIO = 0.8
"""Time of a transfer, as a fraction of the prefill that it replaces, up to which it is
made. Other transfers that use the same link are not known here."""
MAX_WAIT_MS = 250.0
"""Longest time for which a prompt waits for a part that is being read elsewhere: about
the prefill of a large part."""
IN_TIME_RATIO = 0.8
"""Fraction of the time to the latency target by which a prompt has to be read to count
as in time: the estimate knows neither later prompts nor the progress of a prefill."""
MOVED_RATIO = 0.75
"""What a prompt accepts to move a part rather than to read it again, as a fraction of
what it accepts to use a part where it is: transfers are paid for, too."""
CACHE_RATIO = 0.75
"""Fraction of an engine's memory that later prompts fill before a part is evicted: the
rest is in use by prompts that run."""


@frozen
class EngineLinks:
    """Speeds of a service's engines; ``token_bytes`` is the cache size of a token."""

    tokens_per_ms: float
    link_mbps: float
    token_bytes: int

    def get_prefill_ms(self, tokens: float) -> float:
        """Return the time to prefill so many tokens."""
        return tokens / self.tokens_per_ms

    def get_transfer_ms(self, tokens: float, remote: bool) -> float:
        """Return the time to fetch so many tokens from another engine.

        >>> round(EngineLinks(50.7, 180_000, 327_680).get_transfer_ms(12_800, False))
        186
        """
        bits = tokens * self.token_bytes * 8
        milliseconds = bits / (self.link_mbps * 1000)
        return milliseconds * REMOTE_TRANSFER_FACTOR if remote else milliseconds


@frozen
class PrefillSource:
    """An engine that has read a part, or will have in ``remaining_ms``.

    ``busy_ms`` is the time for which its link is in use by known transfers of the part.
    It must not be fetched from unless it is ``fetchable``.
    """

    engine: str
    address: str
    data_centre: str
    remaining_ms: float = 0.0
    busy_ms: float = 0.0
    fetchable: bool = True


@frozen
class PartReading:
    """How one engine gets a part: from its cache, or from ``source``.

    ``saved_tokens`` is the prefill that this saves, less the time of the wait and the
    transfer in tokens; it is negative if those take longer. The source may only be used
    in ``wait_ms``.
    """

    saved_tokens: float = 0.0
    source: str = ""
    transfer_ms: float = 0.0
    wait_ms: float = 0.0

    @property
    def is_cached(self) -> bool:
        """Whether the engine has the part, or will when it gets to the prompt."""
        return self.saved_tokens > 0 and not self.source

    @property
    def avoids_prefill(self) -> bool:
        """Whether the part is not read again."""
        return self.is_cached or bool(self.source)


PREFILL = PartReading()
"""The engine reads the part itself."""


def plan_reading(
    engine: str,
    data_centre: str,
    tokens: int,
    sources: Sequence[PrefillSource],
    links: EngineLinks,
) -> PartReading:
    """Return the fastest way in which ``engine`` gets a part of so many ``tokens``."""
    if any(source.engine == engine for source in sources):
        return PartReading(saved_tokens=tokens)
    prefill_ms = links.get_prefill_ms(tokens)
    best = None
    for source in sources:
        if not source.fetchable or source.remaining_ms > MAX_WAIT_MS:
            continue
        transfer_ms = links.get_transfer_ms(tokens, source.data_centre != data_centre)
        if source.busy_ms + transfer_ms > MAX_TRANSFER_RATIO * prefill_ms:
            continue
        total_ms = source.remaining_ms + source.busy_ms + transfer_ms
        saved_tokens = (prefill_ms - total_ms) * links.tokens_per_ms
        if best is None or saved_tokens > best.saved_tokens:
            best = PartReading(
                saved_tokens, source.address, transfer_ms, source.remaining_ms
            )
    return best or PREFILL


def get_preference(
    reading: PartReading, tokens: int, first_ms: float, target_left_ms: float
) -> int:
    """Return how many tokens later a prompt may be read to avoid a repeated prefill.

    A prefill of a part of so many ``tokens`` delays the prompts that follow by as much,
    and is paid for. So a prompt that is read in ``first_ms``, well within its latency
    target, accepts that delay itself, a shorter one if the part has to be moved.
    """
    if not reading.avoids_prefill or first_ms > IN_TIME_RATIO * target_left_ms:
        return 0
    return tokens if reading.is_cached else int(MOVED_RATIO * tokens)


def get_cache_lifetime_s(
    memory_tokens: int, tokens_per_s: float, max_lifetime_s: float
) -> float:
    """Return the time for which an engine keeps a part that nobody uses.

    ``tokens_per_s`` are those of all prompts that an engine gets.
    """
    if not memory_tokens or tokens_per_s <= 0:
        return max_lifetime_s
    return min(max_lifetime_s, CACHE_RATIO * memory_tokens / tokens_per_s)
