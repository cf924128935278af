"""A data folder for durable files.

All writes go through this module, so that syncing files and the folder, enforcing
the quota and translating operating system errors happen in one place.
"""

import errno
import os
from pathlib import Path

from attrs import define

from medlarrail.core.errors import StorageFailed, StorageFull

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


@define
class DataFolder:
    """The folder at ``path``; ``quota_bytes`` 0 means no quota of its own.

    With ``synced`` false nothing is synced. This is for tests that do not
    simulate machine crashes; no settings file can select it.
    """

    path: Path
    quota_bytes: int = 0
    synced: bool = True

    def create(self) -> None:
        """Create the folder if it does not exist."""
        self.path.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically: after a crash it is either old or new."""
        self._check_quota(len(data))
        temporary = self.path / f"{name}.tmp"
        try:
            with open(temporary, "wb") as file:
                file.write(data)
                self._sync_file(file)
            os.replace(temporary, self.path / name)
        except OSError as error:
            temporary.unlink(missing_ok=True)
            raise self._translate(error) from error
        self.sync()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it; a failed append leaves it unchanged."""
        self._check_quota(len(data))
        path = self.path / name
        created = not path.exists()
        # Unbuffered, since closing a file writes what is left in its buffer.
        with open(path, "ab", buffering=0) as file:
            previous_size = file.tell()
            try:
                _write_all(file, data)
                self._sync_file(file)
            except OSError as error:
                os.truncate(path, previous_size)
                raise self._translate(error) from error
        if created:
            self.sync()

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes and sync it."""
        with open(self.path / name, "r+b") as file:
            file.truncate(size)
            self._sync_file(file)

    def remove(self, name: str) -> None:
        """Delete a file if it exists; without a sync a crash may undo this."""
        (self.path / name).unlink(missing_ok=True)

    def _sync_file(self, file) -> None:
        file.flush()
        if self.synced:
            os.fsync(file.fileno())

    def sync(self) -> None:
        """Sync the folder, so that new and removed file names are durable."""
        if not self.synced:
            return
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def quarantine(self, label: str) -> Path:
        """Rename the folder to an unused sibling name and create an empty one."""
        number = 1
        while (destination := Path(f"{self.path}.{label}-{number}")).exists():
            number += 1
        os.rename(self.path, destination)
        self.create()
        return destination

    def get_size(self) -> int:
        """Return the bytes in use."""
        return sum(
            file.stat().st_size for file in self.path.iterdir() if file.is_file()
        )

    def _check_quota(self, added_bytes: int) -> None:
        if self.quota_bytes and self.get_size() + added_bytes > self.quota_bytes:
            raise StorageFull(path=self.path.name)

    def _translate(self, error: OSError) -> Exception:
        if error.errno in DISK_FULL_ERRNOS:
            return StorageFull(path=self.path.name)
        return StorageFailed(path=self.path.name, problem=str(error))


def _write_all(file, data: bytes) -> None:
    """Write to an unbuffered file, which may take a part only."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]
