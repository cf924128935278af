"""A data folder whose files last once they are synced.

All writes go through here, so that one place syncs files and the folder, keeps
the quota and turns the operating system's errors into typed ones.
"""

import errno
import os
from pathlib import Path

from attrs import define

from medlarrail.core.errors import StorageFull

FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


@define
class DataFolder:
    """The folder at ``path``; ``quota_bytes`` 0 means no quota of its own.

    Without ``synced`` nothing is synced. That is for tests in which no machine
    ends, and no settings file can ask for it.
    """

    path: Path
    quota_bytes: int = 0
    synced: bool = True

    def create(self) -> None:
        """Make the folder where it is missing."""
        self.path.mkdir(parents=True, exist_ok=True)

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None where there is none."""
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file whole: after a crash it is either old or new."""
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
        """Append to a file and sync it; a failed append leaves it as it was."""
        self._check_quota(len(data))
        path = self.path / name
        created = not path.exists()
        with open(path, "ab") as file:
            before = file.tell()
            try:
                file.write(data)
                self._sync_file(file)
            except OSError as error:
                os.truncate(path, before)
                raise self._translate(error) from error
        if created:
            self.sync()

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes and sync it."""
        with open(self.path / name, "r+b") as file:
            file.truncate(size)
            self._sync_file(file)

    def remove(self, name: str) -> None:
        """Delete a file if it is there; a crash may bring it back."""
        (self.path / name).unlink(missing_ok=True)

    def _sync_file(self, file) -> None:
        file.flush()
        if self.synced:
            os.fsync(file.fileno())

    def sync(self) -> None:
        """Sync the folder, so that new and removed names last."""
        if not self.synced:
            return
        handle = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def set_aside(self, label: str) -> Path:
        """Rename the folder to a free name beside it and make it anew."""
        number = 1
        while (target := Path(f"{self.path}.{label}-{number}")).exists():
            number += 1
        os.rename(self.path, target)
        self.create()
        return target

    def get_size(self) -> int:
        """Return the bytes in use."""
        return sum(one.stat().st_size for one in self.path.iterdir() if one.is_file())

    def _check_quota(self, added: int) -> None:
        if self.quota_bytes and self.get_size() + added > self.quota_bytes:
            raise StorageFull(path=self.path.name)

    def _translate(self, error: OSError) -> Exception:
        if error.errno in FULL_ERRORS:
            return StorageFull(path=self.path.name)
        return error
