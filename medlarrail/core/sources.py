"""Identifies the landing that a process runs by a digest of its modules.

``python3 -m medlarrail.core.sources`` prints that of the release in the current folder.
"""

import hashlib
import os
from pathlib import Path

PACKAGE = Path(__file__).parents[1]
DIGEST_BYTES = 4


def get_source_digest(package: Path = PACKAGE) -> str:
    """Return the digest of the names and contents of all modules but those of tests."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for folder, folders, names in os.walk(package):
        folders.sort()
        for name in sorted(names):
            if not name.endswith(".py") or name.endswith("_test.py"):
                continue
            path = Path(folder, name)
            contents = path.read_bytes()
            head = f"{path.relative_to(package).as_posix()} {len(contents)}\n"
            digest.update(head.encode() + contents)
    return digest.hexdigest()


if __name__ == "__main__":
    print(get_source_digest())
