"""Keys of cached context blocks.

The keys of a prompt's blocks form a hash chain whose root covers the account, the
model, the weight version and the adapter. Two accounts, or two weight versions,
can therefore never share a key, and the key of a block also covers all the text
before it.
"""

import hashlib
from collections.abc import Iterator

from attrs import frozen

KEY_BYTES = 12


@frozen
class ContextRoot:
    """Everything except the text that a cached block depends on."""

    account: str
    model: str
    weight_version: str
    adapter: str = ""


def get_root_key(root: ContextRoot) -> str:
    """Return the key at the start of the chain of ``root``."""
    fields = (root.account, root.model, root.weight_version, root.adapter)
    text = "".join(f"{len(part)}:{part}" for part in fields)
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()


def iterate_block_keys(root: ContextRoot, prompt: str, block_bytes: int):
    """Yield the key of each complete block of ``prompt``, in order.

    A block covers ``block_bytes`` bytes of UTF-8 text; a partial last block has no
    key.
    """
    yield from iterate_chain(get_root_key(root), prompt.encode(), block_bytes)


def iterate_chain(previous: str, data: bytes, block_bytes: int) -> Iterator[str]:
    """Yield the keys of the complete blocks of ``data`` that follow ``previous``."""
    for start in range(0, len(data) - block_bytes + 1, block_bytes):
        digest = hashlib.blake2b(previous.encode(), digest_size=KEY_BYTES)
        digest.update(data[start : start + block_bytes])
        previous = digest.hexdigest()
        yield previous
