"""The durable part of a state member: log, vote and snapshot.

The log is one file of frames. A frame holds one batch of log entries with a
checksum, and a batch is written only after the previous one was synced. An
invalid frame is therefore a torn tail if and only if no valid frame follows it;
otherwise the file is damaged and the member must not vote based on it.
"""

import secrets
import struct
import zlib
from collections.abc import Callable, Iterator
from functools import partial
from itertools import chain, islice
from typing import Any

import trio
from attrs import define, evolve, field, frozen

from medlarrail.core.codec import decode, encode
from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import MedlarError, StorageDamaged
from medlarrail.core.invariants import require
from medlarrail.state.catalogue import CatalogueImage
from medlarrail.state.folder import DataFolder
from medlarrail.state.operations import ChangeMembers, LogEntry

LOG_FILE = "log"
META_FILE = "meta.json"
SNAPSHOT_FILE = "snapshot"
FRAME_HEADER = struct.Struct("<4sII")
FRAME_MAGIC = b"MLR1"
IDENTITY_BYTES = 8

RunBlocking = Callable[..., Any]


@frozen
class Meta:
    """Identity and vote of a member."""

    identity: str
    cluster: str = ""
    term: int = 0
    voted_for: str = ""


@frozen
class Batch:
    """Log entries written in one frame."""

    entries: tuple[LogEntry, ...]


@frozen
class Snapshot:
    """The state at ``index``, the log index whose entry had ``term``.

    The log retained with it starts after ``base_index``, at or before ``index``,
    so that members and entries that lag slightly need no snapshot.
    """

    index: int
    term: int
    members: tuple[MemberInfo, ...]
    image: CatalogueImage
    cluster: str = ""
    base_index: int = 0
    base_term: int = 0


async def run_in_thread(function: Callable, *args: Any) -> Any:
    """Run a blocking function in a worker thread."""
    return await trio.to_thread.run_sync(function, *args)


async def run_inline(function: Callable, *args: Any) -> Any:
    """Run a blocking function in the calling task; for tests with a mock clock."""
    await trio.lowlevel.checkpoint()
    return function(*args)


@define
class Journal:
    """Log, vote and snapshot of one member; open it with ``open_journal``."""

    folder: DataFolder
    meta: Meta
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(factory=list)
    run_blocking: RunBlocking = run_in_thread
    _members_entry: LogEntry | None = field(init=False, default=None)
    """The latest entry in the log that changes the members, if any."""

    def __attrs_post_init__(self):
        self._find_members_entry()

    def _find_members_entry(self) -> None:
        self._members_entry = next(
            (
                entry
                for entry in reversed(self.entries)
                if isinstance(entry.envelope.operation, ChangeMembers)
            ),
            None,
        )

    @property
    def first_index(self) -> int:
        """Index of the first entry retained in the log."""
        return (self.snapshot.base_index if self.snapshot else 0) + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.first_index + len(self.entries) - 1

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.get_term(self.last_index)

    def get_term(self, index: int) -> int:
        """Return the term of an entry, or -1 if it is not in the log."""
        if index == self.first_index - 1:
            return self.snapshot.base_term if self.snapshot else 0
        if not self.first_index <= index <= self.last_index:
            return -1
        return self.entries[index - self.first_index].term

    def get_entries(self, start: int, limit: int) -> tuple[LogEntry, ...]:
        """Return up to ``limit`` entries from index ``start`` on."""
        require(start >= self.first_index, "log-read-in-range", f"{start}")
        offset = start - self.first_index
        return tuple(self.entries[offset : offset + limit])

    def get_members(self) -> tuple[MemberInfo, ...]:
        """Return the members according to the latest entry, committed or not."""
        if self._members_entry is not None:
            return self._members_entry.envelope.operation.members
        return self.snapshot.members if self.snapshot else ()

    def list_recent_voters(self) -> tuple[MemberInfo, ...]:
        """Return the voters of the two latest member lists.

        Every possible leader is among them: a list is changed only once the previous
        one is committed, so a leader that lacks the latest list has the previous one.
        """
        changes = (
            entry.envelope.operation.members
            for entry in reversed(self.entries)
            if isinstance(entry.envelope.operation, ChangeMembers)
        )
        snapshot_members = self.snapshot.members if self.snapshot else ()
        lists = list(islice(chain(changes, (snapshot_members,)), 2))
        voters = {member.identity: member for member in chain(*lists) if member.voter}
        return tuple(voters.values())

    def get_members_index(self) -> int:
        """Return the index of the entry that ``get_members`` comes from."""
        if self._members_entry is not None:
            return self._members_entry.index
        return self.snapshot.index if self.snapshot else 0

    async def save_vote(self, term: int, voted_for: str) -> None:
        """Make a term and a vote durable."""
        require(term >= self.meta.term, "term-never-falls", f"{term}")
        updated = evolve(self.meta, term=term, voted_for=voted_for)
        await self._save_meta(updated)

    async def _save_meta(self, meta: Meta) -> None:
        await self.run_blocking(self.folder.replace, META_FILE, encode(meta))
        self.meta = meta

    async def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Make entries durable, replacing any existing ones from the first index on."""
        first = entries[0].index
        require(
            self.first_index <= first <= self.last_index + 1,
            "log-has-no-gap",
            f"{first} after {self.last_index}",
        )
        frame = pack_frame(encode(Batch(entries)))
        await self.run_blocking(self.folder.append, LOG_FILE, frame)
        del self.entries[first - self.first_index :]
        self.entries.extend(entries)
        self._find_members_entry()

    async def install(self, received: Snapshot) -> None:
        """Replace log and snapshot with a received snapshot."""
        snapshot = evolve(received, base_index=received.index, base_term=received.term)
        await self._save_snapshot(snapshot)
        self.entries.clear()
        self.snapshot = snapshot
        self._find_members_entry()
        if self.meta.cluster != snapshot.cluster:
            await self._save_meta(evolve(self.meta, cluster=snapshot.cluster))
        await self._rewrite_log()

    async def compact(self, snapshot: Snapshot) -> None:
        """Save ``snapshot`` and delete the entries up to its base index."""
        require(
            self.first_index <= snapshot.base_index <= snapshot.index
            and snapshot.index <= self.last_index,
            "snapshot-within-log",
            f"{snapshot.base_index} to {snapshot.index}",
        )
        await self._save_snapshot(snapshot)
        del self.entries[: snapshot.base_index - self.first_index + 1]
        self.snapshot = snapshot
        self._find_members_entry()
        await self._rewrite_log()

    async def _save_snapshot(self, snapshot: Snapshot) -> None:
        write = partial(_write_snapshot, self.folder, snapshot)
        await self.run_blocking(write)

    async def _rewrite_log(self) -> None:
        data = b""
        if self.entries:
            data = pack_frame(encode(Batch(tuple(self.entries))))
        await self.run_blocking(self.folder.replace, LOG_FILE, data)


def _write_snapshot(folder: DataFolder, snapshot: Snapshot) -> None:
    folder.replace(SNAPSHOT_FILE, pack_frame(encode(snapshot)))


def pack_frame(payload: bytes) -> bytes:
    """Return ``payload`` after a header with its length and checksum."""
    return FRAME_HEADER.pack(FRAME_MAGIC, len(payload), zlib.crc32(payload)) + payload


def unpack_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at ``offset``, or None if it is invalid."""
    if offset + FRAME_HEADER.size > len(data):
        return None
    magic, size, checksum = FRAME_HEADER.unpack_from(data, offset)
    start = offset + FRAME_HEADER.size
    payload = data[start : start + size]
    if magic != FRAME_MAGIC or len(payload) != size or zlib.crc32(payload) != checksum:
        return None
    return payload


def iterate_frames(data: bytes) -> Iterator[bytes]:
    """Yield the payloads up to the first invalid frame."""
    offset = 0
    while (payload := unpack_frame(data, offset)) is not None:
        yield payload
        offset += FRAME_HEADER.size + len(payload)


def has_frame_after(data: bytes, offset: int) -> bool:
    """Return whether a valid frame starts anywhere after ``offset``."""
    position = data.find(FRAME_MAGIC, offset + 1)
    while position >= 0:
        if unpack_frame(data, position) is not None:
            return True
        position = data.find(FRAME_MAGIC, position + 1)
    return False


def open_journal(
    folder: DataFolder, run_blocking: RunBlocking = run_in_thread
) -> Journal:
    """Read a journal; raises ``StorageDamaged`` for damage other than a torn tail.

    A folder without a member's files gets a new identity.
    """
    folder.create()
    meta = _read_meta(folder)
    snapshot = _read_snapshot(folder)
    entries = _read_entries(folder, snapshot)
    return Journal(folder, meta, snapshot, entries, run_blocking)


def _read_meta(folder: DataFolder) -> Meta:
    data = folder.read(META_FILE)
    if data is None:
        if folder.read(LOG_FILE) or folder.read(SNAPSHOT_FILE):
            raise StorageDamaged(path=META_FILE)
        meta = Meta(identity=secrets.token_hex(IDENTITY_BYTES))
        folder.replace(META_FILE, encode(meta))
        return meta
    try:
        return decode(data, Meta)
    except MedlarError as error:
        raise StorageDamaged(path=META_FILE) from error


def _read_snapshot(folder: DataFolder) -> Snapshot | None:
    data = folder.read(SNAPSHOT_FILE)
    if data is None:
        return None
    payload = unpack_frame(data, 0)
    if payload is None:
        raise StorageDamaged(path=SNAPSHOT_FILE)
    return decode(payload, Snapshot)


def _read_entries(folder: DataFolder, snapshot: Snapshot | None) -> list[LogEntry]:
    data = folder.read(LOG_FILE) or b""
    entries: dict[int, LogEntry] = {}
    valid_size = 0
    for payload in iterate_frames(data):
        valid_size += FRAME_HEADER.size + len(payload)
        _replay_batch(entries, decode(payload, Batch).entries)
    if valid_size < len(data):
        if has_frame_after(data, valid_size):
            raise StorageDamaged(path=LOG_FILE, offset=valid_size)
        folder.truncate(LOG_FILE, valid_size)
    return _list_after_base(entries, snapshot)


def _replay_batch(entries: dict[int, LogEntry], batch: tuple[LogEntry, ...]) -> None:
    """Add a batch, replacing the entries from its first index on."""
    for index in range(batch[0].index, max(entries, default=0) + 1):
        entries.pop(index, None)
    entries.update((entry.index, entry) for entry in batch)


def _list_after_base(
    entries: dict[int, LogEntry], snapshot: Snapshot | None
) -> list[LogEntry]:
    """Return the entries after the snapshot's base index.

    A crash between writing a snapshot and rewriting the log leaves the older
    log; if it contradicts the snapshot, it is discarded.
    """
    first_index = 1
    if snapshot is not None:
        first_index = snapshot.base_index + 1
        base_entry = entries.get(snapshot.base_index)
        if base_entry is not None and base_entry.term != snapshot.base_term:
            return []
    retained = [entries[index] for index in sorted(entries) if index >= first_index]
    if retained and retained[0].index != first_index:
        raise StorageDamaged(path=LOG_FILE)
    if snapshot is not None and first_index + len(retained) <= snapshot.index:
        raise StorageDamaged(path=LOG_FILE)
    return retained
