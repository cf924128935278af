"""Names of the scopes that isolate cached context.

A scope consists of the owner of the context, and of the model and the weight version
that produced it. Different scopes share no context. The owner is an isolated account,
or all accounts that share. Engines and stores keep what was made before an account
became isolated, so the accounts that share beside isolated ones are named by the set
of these: what one of them made earlier is in a scope of another name. The name follows
from the deployment document alone and is the same at every entry. It returns with the
same set, and was never used by an account of the set.
"""

import hashlib
from collections.abc import Iterable
from urllib.parse import quote

import orjson
from attrs import field, frozen

from medlarrail.core.deployment import AccountRule

SCOPE_SEPARATOR = "/"
ALL_ACCOUNTS = ""
"""Owner of what accounts share while none is isolated."""
SHARED_PREFIX = "!"
"""Begins the owner of what accounts share beside isolated ones. No name of an account
begins with it, as it is escaped there."""
EMPTY_NAME = "%"
"""Owner that is an account with an empty name; no escaped name is the same."""
NO_ACCOUNT = SHARED_PREFIX
"""Owner for requests without an account where these share with no other."""
DIGEST_CHARS = 16


@frozen
class ContextScope:
    """Owner and origin of a context; for ``owner`` see ``ContextOwners``."""

    owner: str
    model: str
    version: int

    def __str__(self) -> str:
        return SCOPE_SEPARATOR.join((self.owner, self.model, str(self.version)))


def parse_scope(text: str) -> ContextScope | None:
    """Return the scope named by ``text``, or None if it is not a scope name.

    Example: ``parse_scope("lea/guide/3").version`` is 3.
    """
    head, _, version = text.rpartition(SCOPE_SEPARATOR)
    owner, separator, model = head.partition(SCOPE_SEPARATOR)
    if not separator or not version.isdecimal():
        return None
    return ContextScope(owner, model, int(version))


def name_account(name: str | None) -> str:
    """Return the owner that is one account: its name, escaped for headers.

    None stands for requests without an account.

    >>> name_account("lea-college"), name_account("a/b")
    ('lea-college', 'a%2Fb')
    """
    if name is None:
        return NO_ACCOUNT
    return quote(name, safe="") or EMPTY_NAME


def name_sharers(isolated: Iterable[str]) -> str:
    """Return the owner that is all accounts but the ``isolated`` ones.

    >>> name_sharers([])
    ''
    >>> name_sharers(["lea-college"])
    '!c94cc2e2f329828d'
    """
    names = sorted(set(isolated))
    if not names:
        return ALL_ACCOUNTS
    digest = hashlib.sha256(orjson.dumps(names)).hexdigest()
    return SHARED_PREFIX + digest[:DIGEST_CHARS]


@frozen
class ContextOwners:
    """Whose context the requests of each account use, by one deployment document."""

    accounts: tuple[AccountRule, ...]
    isolated: frozenset[str] = field(init=False)
    """Names of the isolated accounts."""
    sharers: str = field(init=False)
    """The owner for all other accounts, and for requests without one."""
    _names: frozenset[str] = field(init=False)

    @isolated.default
    def _list_isolated(self) -> frozenset[str]:
        return frozenset(account.name for account in self.accounts if account.isolated)

    @sharers.default
    def _name_sharers(self) -> str:
        return name_sharers(self.isolated)

    @_names.default
    def _list_names(self) -> frozenset[str]:
        return frozenset(account.name for account in self.accounts)

    def shares(self, account: str | None) -> bool:
        """Return whether an account's requests use the context of others.

        One that is not in the document was removed after the request was admitted, and
        may have been isolated. None stands for requests without an account.
        """
        return account is None or (
            account in self._names and account not in self.isolated
        )

    def find(self, account: str | None) -> str:
        """Return the owner of the context that an account's requests use."""
        return self.sharers if self.shares(account) else name_account(account)

    def list_all(self) -> frozenset[str]:
        """Return all owners by this document."""
        return frozenset((self.sharers, *map(name_account, self.isolated)))
