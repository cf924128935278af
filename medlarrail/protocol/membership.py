"""Messages with which a state member asks to take part in a cluster."""

from attrs import frozen

JOIN_PATH = "/internal/join"


@frozen
class JoinRequest:
    """A member that no leader sends anything tells who and where it is."""

    identity: str
    name: str
    url: str


@frozen
class JoinAnswer:
    """The URLs of the members that the leader knows."""

    member_urls: tuple[str, ...]
