"""Keys of cached context blocks.

The keys of a prompt's blocks form a chain whose root holds the account, the
model, the weight version and the adapter. So two accounts, or two weight
versions, can never share a key, and the key of a block stands for all the text
before it as well.
"""

import hashlib
from collections.abc import Iterator

from attrs import frozen

KEY_BYTES = 12


@frozen
class ContextRoot:
    """Everything besides the text that a cached block depends on."""

    account: str
    model: str
    weight_version: str
    adapter: str = ""


def get_root_key(root: ContextRoot) -> str:
    """Return the key that the chain of ``root`` starts from."""
    fields = (root.account, root.model, root.weight_version, root.adapter)
    text = "".join(f"{len(part)}:{part}" for part in fields)
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def iterate_block_keys(root: ContextRoot, prompt: str, block_bytes: int):
    """Yield the key of each whole block of ``prompt``, first block first.

    A block covers ``block_bytes`` bytes of UTF-8 text; a last block that is not
    whole has no key.
    """
    yield from iterate_chain(get_root_key(root), prompt.encode(), block_bytes)


def iterate_chain(previous: str, data: bytes, block_bytes: int) -> Iterator[str]:
    """Yield the keys of the whole blocks of ``data`` that follow ``previous``."""
    for start in range(0, len(data) - block_bytes + 1, block_bytes):
        digest = hashlib.blake2b(previous.encode(), digest_size=KEY_BYTES)
        digest.update(data[start : start + block_bytes])
        previous = digest.hexdigest()
        yield previous
