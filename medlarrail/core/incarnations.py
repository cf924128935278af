"""The incarnations of endpoints, as state members tell each other of them.

Apart from announcements, since entries do not need them.
"""

from attrs import frozen


@frozen
class EndpointIncarnation:
    """One process of an endpoint, as it announces itself."""

    name: str
    started_ms: int
    software_version: str
