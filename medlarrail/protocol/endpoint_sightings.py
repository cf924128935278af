"""Messages in which entries ask when an endpoint's incarnations announced themselves.

Announcements are repeated about every second, and entries are told of changes alone.
An entry asks the leader if it has to know which process has an address.
"""

from attrs import frozen

SIGHTINGS_PATH = "/internal/endpoint-sightings"
MAX_SIGHTINGS_WAIT_S = 2.0
"""Longest time for which a request is held: more than the interval of announcements."""


@frozen
class SightingsRequest:
    """Asks for the incarnations of an endpoint.

    The answer waits, for up to ``wait_s`` seconds, until an announcement was received
    that is at most ``max_age_s`` older than the request.
    """

    endpoint: str
    max_age_s: float
    wait_s: float = 0.0


@frozen
class Sighting:
    """One incarnation, with the ages of its first and latest announcement.

    They are in seconds when the request was received, below 0 if received later.
    ``address`` is empty from a leader of a version that does not tell it.
    """

    started_ms: int
    software_version: str
    first_age_s: float
    last_age_s: float
    address: str = ""


@frozen
class SightingsAnswer:
    """The incarnations that were heard of lately, oldest first."""

    sightings: tuple[Sighting, ...] = ()
