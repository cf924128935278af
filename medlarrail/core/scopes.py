"""Names of the scopes that isolate cached context.

A scope consists of the account, if its context is isolated, and the model and the
weight version that produced the context. Different scopes share no context.
"""

from attrs import frozen

SCOPE_SEPARATOR = "/"


@frozen
class ContextScope:
    """Owner and origin of a context; ``account`` is empty if it is shared."""

    account: str
    model: str
    version: int

    def __str__(self) -> str:
        return SCOPE_SEPARATOR.join((self.account, self.model, str(self.version)))


def parse_scope(text: str) -> ContextScope | None:
    """Return the scope named by ``text``, or None if it is not a scope name.

    Example: ``parse_scope("lea/guide/3").version`` is 3.
    """
    head, _, version = text.rpartition(SCOPE_SEPARATOR)
    account, separator, model = head.partition(SCOPE_SEPARATOR)
    if not separator or not version.isdecimal():
        return None
    return ContextScope(account, model, int(version))
