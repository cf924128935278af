"""Names of the scopes that separate kept context.

A scope is the account, where its context stays apart, the model and the weight
version that made the context. Two that differ in any of them share nothing.
"""

from attrs import frozen

SEPARATOR = "/"


@frozen
class ContextScope:
    """Whose context it is and what made it; ``account`` is empty where shared."""

    account: str
    model: str
    version: int

    def __str__(self) -> str:
        return SEPARATOR.join((self.account, self.model, str(self.version)))


def parse_scope(text: str) -> ContextScope | None:
    """Return the scope that ``text`` names, or None for a name of another kind.

    Example: ``parse_scope("lea/guide/3").version`` is 3.
    """
    head, _, version = text.rpartition(SEPARATOR)
    account, separator, model = head.partition(SEPARATOR)
    if not separator or not version.isdecimal():
        return None
    return ContextScope(account, model, int(version))
