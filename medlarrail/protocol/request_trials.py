"""Messages that ask for permission to send a request that may crash an endpoint."""

from attrs import frozen

TRIALS_PATH = "/internal/crashes/trials"
REQUEST_TRIALS_PATH = "/internal/crashes/request-trials"


@frozen
class TrialRequest:
    """Asks for permission to send one request with the blocked parts ``name``."""

    entry: str
    name: str


@frozen
class SuspectTrialRequest:
    """Asks for permission to send a suspected request once, given by its key."""

    entry: str
    service: str
    key: str


@frozen
class TrialAnswer:
    """Whether the request may be sent."""

    granted: bool
