"""Messages of a state member that asks to join a cluster."""

from attrs import frozen

JOIN_PATH = "/internal/join"


@frozen
class JoinRequest:
    """Identity and URL of a member that receives no messages from a leader."""

    identity: str
    name: str
    url: str


@frozen
class JoinAnswer:
    """The URLs of the members known to the leader."""

    member_urls: tuple[str, ...]
