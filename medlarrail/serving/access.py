"""Access control by the keys of processes, endpoints, operators and accounts.

Keys are compared by their SHA-256 digests in constant time; only the digests of
account and operator keys are stored.
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
        """Return a key ring of plain-text keys; empty keys are ignored."""
        return cls(tuple(get_digest(key) for key in keys if key))

    def contains(self, key: str) -> bool:
        """Return whether ``key`` is valid; always compares every digest."""
        digest = get_digest(key)
        matches = [is_equal(digest, stored) for stored in self.digests]
        return bool(key) and any(matches)

    def merge(self, other: "KeyRing") -> "KeyRing":
        """Return a key ring with the keys of both."""
        return KeyRing(self.digests + other.digests)


@define
class Guard:
    """Authorizes requests by path and bearer key.

    The longest matching path prefix in ``rings`` determines the valid keys;
    paths without a match are public, or their handlers check the account key.
    """

    rings: dict[str, KeyRing]
    endpoint_paths: tuple[str, ...] = ()
    """Prefixes of the paths that endpoints use, which are outside of the system."""

    def trusts(self, path: str) -> bool:
        """Return whether a request for ``path`` needs a key of the system itself."""
        is_protected = any(path.startswith(prefix) for prefix in self.rings)
        return is_protected and not path.startswith(self.endpoint_paths)

    def __call__(self, request: Request) -> None:
        prefixes = [prefix for prefix in self.rings if request.path.startswith(prefix)]
        if not prefixes:
            return
        ring = self.rings[max(prefixes, key=len)]
        if not ring.contains(request.get_bearer()):
            get_metrics().count("wrong_keys", kind="process")
            raise WrongKey()


@define
class AccountDirectory:
    """Finds the contract that a bearer key belongs to."""

    follower: Follower
    _accounts: dict[str, str] = field(factory=dict)
    _contracts: dict[str, Contract] = field(factory=dict)

    def __attrs_post_init__(self):
        self.follower.on_change.append(self.update)

    def update(self) -> None:
        """Apply changes of contracts."""
        contracts = self.follower.catalogue.contracts
        for account, previous in list(self._contracts.items()):
            if contracts.get(account) is not previous:
                self._remove_contract(previous)
        for account, contract in contracts.items():
            if account not in self._contracts:
                self._contracts[account] = contract
                for digest in contract.keys_sha256:
                    self._accounts[digest] = account

    def _remove_contract(self, contract: Contract) -> None:
        del self._contracts[contract.account]
        for digest in contract.keys_sha256:
            self._accounts.pop(digest, None)

    def find_contract(self, key: str) -> Contract:
        """Return the contract of ``key``; raises ``WrongKey``."""
        digest = get_digest(key)
        account = self._accounts.get(digest)
        contract = self._contracts.get(account) if account else None
        if not key or contract is None:
            get_metrics().count("wrong_keys", kind="account")
            raise WrongKey()
        if not any([is_equal(digest, stored) for stored in contract.keys_sha256]):
            raise WrongKey()
        return contract
