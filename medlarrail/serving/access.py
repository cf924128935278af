"""Who may call what: keys of processes, endpoints, operators and accounts.

Keys are compared by their SHA-256 digests in constant time; of accounts' and
operators' keys only the digests are stored.
"""

import hashlib
import hmac

from attrs import define, field, frozen

from medlarrail.cluster.follower import Follower
from medlarrail.core.entities import Contract
from medlarrail.core.errors import WrongKey
from medlarrail.core.metrics import get_metrics
from medlarrail.transport.routes import Request


def get_digest(key: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def is_equal(left: str, right: str) -> bool:
    """Compare two digests in constant time."""
    return hmac.compare_digest(left.encode(), right.encode())


@frozen
class KeyRing:
    """Digests of the keys that callers of one kind may use."""

    digests: tuple[str, ...] = field(repr=False)

    @classmethod
    def from_keys(cls, *keys: str) -> "KeyRing":
        """Return the ring of plain keys; empty ones open nothing."""
        return cls(tuple(get_digest(key) for key in keys if key))

    def has(self, key: str) -> bool:
        """Return whether ``key`` is on the ring; looks at every digest."""
        digest = get_digest(key)
        found = [is_equal(digest, one) for one in self.digests]
        return bool(key) and any(found)

    def merge(self, other: "KeyRing") -> "KeyRing":
        """Return a ring with the keys of both."""
        return KeyRing(self.digests + other.digests)


@define
class Guard:
    """Lets a request pass by its path and its bearer key.

    The longest prefix in ``rings`` that matches the path decides; paths without
    one are open or check the account themselves.
    """

    rings: dict[str, KeyRing]

    def __call__(self, request: Request) -> None:
        matching = [one for one in self.rings if request.path.startswith(one)]
        if not matching:
            return
        ring = self.rings[max(matching, key=len)]
        if not ring.has(request.get_bearer()):
            get_metrics().count("wrong_keys", kind="process")
            raise WrongKey()


@define
class AccountDirectory:
    """Finds the contract that a bearer key belongs to."""

    follower: Follower
    _accounts: dict[str, str] = field(factory=dict)
    _known: dict[str, Contract] = field(factory=dict)

    def __attrs_post_init__(self):
        self.follower.on_change.append(self.update)

    def update(self) -> None:
        """Take up changed contracts."""
        contracts = self.follower.catalogue.contracts
        for account, known in list(self._known.items()):
            if contracts.get(account) is not known:
                self._forget(known)
        for account, contract in contracts.items():
            if account not in self._known:
                self._known[account] = contract
                for digest in contract.keys_sha256:
                    self._accounts[digest] = account

    def _forget(self, contract: Contract) -> None:
        del self._known[contract.account]
        for digest in contract.keys_sha256:
            self._accounts.pop(digest, None)

    def find_contract(self, key: str) -> Contract:
        """Return the contract of ``key``; raises ``WrongKey``."""
        digest = get_digest(key)
        account = self._accounts.get(digest)
        contract = self._known.get(account) if account else None
        if not key or contract is None:
            get_metrics().count("wrong_keys", kind="account")
            raise WrongKey()
        if not any([is_equal(digest, one) for one in contract.keys_sha256]):
            raise WrongKey()
        return contract
