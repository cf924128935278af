"""Messages with which an entry asks a state member for what no later leader takes back.

A member that has lost its leader cannot confirm that its state is the latest. What it
has applied is committed, though, and some of it is only ever replaced by a newer one:
departures of endpoints, the deployment document, and weight versions.
"""

from attrs import frozen

from medlarrail.core.announcements import EndpointMark
from medlarrail.core.cluster_records import DesiredVersion, VersionAge
from medlarrail.core.deployment import Deployment

APPLIED_STATE_PATH = "/internal/applied-state"


@frozen
class AppliedStateRequest:
    """Asks for what was applied after log index ``index_seen``."""

    entry: str
    index_seen: int = 0
    deployment_version: int = -1


@frozen
class AppliedState:
    """What a member has applied up to log index ``index``.

    ``marks`` and ``desired`` are complete, or empty if the caller has seen that index.
    ``deployment`` is None unless it is newer than the caller's. ``version_ages`` are
    those at the arrival of the call.
    """

    index: int
    marks: tuple[EndpointMark, ...] = ()
    deployment: Deployment | None = None
    desired: tuple[DesiredVersion, ...] = ()
    version_ages: tuple[VersionAge, ...] = ()
