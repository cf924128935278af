"""Messages of software rollouts: reports of entries, and calls of operators.

An entry sends one ``RolloutReport`` for each running rollout to ``REPORTS_PATH`` of
the leader; its counts are cumulative, so a report may be lost or repeated.
"""

from attrs import frozen

REPORTS_PATH = "/internal/rollout-reports"
ROLLOUTS_PATH = "/v1/rollouts"
SHOW_PATH = "/v1/rollouts/show"
ROLL_BACK_PATH = "/v1/rollouts/roll-back"


@frozen
class RolloutOrder:
    """Orders a rollout of ``target`` to be finished within ``duration_ms``."""

    service: str
    target: str
    duration_ms: int


@frozen
class RolloutQuery:
    """Names the service whose latest rollout is to be shown or rolled back."""

    service: str
