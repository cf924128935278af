"""Settings of the operator command line."""

from attrs import frozen


@frozen
class OperatorSettings:
    """Settings of ``medlar``: the state members and the operator's key."""

    state_urls: tuple[str, ...]
    key: str
