"""Immutable records of the cluster that state members tell every entry.

They are apart from those of the configuration, since each class with generated methods
adds to the time in which an entry starts.
"""

from attrs import frozen


@frozen
class DesiredVersion:
    """The weight version that every endpoint of ``model`` has to load.

    Versions with an ``ordinal`` only increase: one that is not higher is ignored.
    """

    model: str
    weight_version: str
    max_loads: int = 2
    floor: int = 1
    ordinal: int = 0


@frozen
class VersionAge:
    """Seconds since a weight version was named, or more; see ``DesiredVersion``."""

    model: str
    ordinal: int
    age_s: float


REQUEST_KEY_PREFIX = "request:"
"""Begins the keys of whole requests, which no part of a prompt has."""


def is_request_key(key: str) -> bool:
    """Return whether a key is that of a whole request and not of a prompt part."""
    return key.startswith(REQUEST_KEY_PREFIX)


@frozen
class SharedPart:
    """A part of the prompts of a service, or a whole request, by its key."""

    service: str
    key: str


@frozen
class ServiceVersions:
    """The software versions of a service's endpoints that may have begun streams."""

    service: str
    versions: tuple[str, ...]


@frozen
class BlockedParts:
    """Parts that crash endpoints if a prompt has all of them.

    ``crashes`` is the number of crashes that they explained when they were blocked. One
    request may be sent as a trial from ``trial_at_s`` on, in seconds since the Unix
    epoch; ``trials`` counts those so far.
    """

    service: str
    model: str
    parts: tuple[str, ...]
    crashes: int
    trial_at_s: float
    trials: int = 0

    @property
    def name(self) -> str:
        """The name in commands and logs."""
        return "+".join((self.service, *self.parts))

    @property
    def is_request(self) -> bool:
        """Whether a whole request is blocked; it is blocked by itself."""
        return is_request_key(self.parts[0])


@frozen
class ValidationFault:
    """A validation error in a settings file or message, with its location."""

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"
