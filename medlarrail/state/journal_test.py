"""Tests of journal recovery: torn tails, damage, crashes and full disks."""

import resource
from contextlib import contextmanager

import pytest

from medlarrail.core.entities import Contract, MemberInfo
from medlarrail.core.errors import StorageDamaged, StorageError, StorageFull
from medlarrail.state.catalogue import Catalogue
from medlarrail.state.folder import DataFolder
from medlarrail.state.journal import (
    LOG_FILE,
    META_FILE,
    SNAPSHOT_FILE,
    Snapshot,
    open_journal,
    run_inline,
)
from medlarrail.state.operations import (
    ChangeMembers,
    Envelope,
    LogEntry,
    SetContract,
)


def open_at(path, quota=0):
    return open_journal(DataFolder(path, quota), run_inline)


def build_entry(index, term=1, account=""):
    account = account or f"account-{index}"
    return LogEntry(index, term, Envelope(SetContract(Contract(account))))


async def fill(journal, count, term=1):
    for index in range(journal.last_index + 1, journal.last_index + 1 + count):
        await journal.append((build_entry(index, term),))


def build_snapshot(index, base_index, term=1):
    catalogue = Catalogue(index=index)
    return Snapshot(
        index, term, (), catalogue.get_image(), "c", base_index, base_term=term
    )


class TestReopening:
    async def test_entries_and_the_vote_are_restored(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 3)
        await journal.save_vote(4, "someone")
        reopened = open_at(tmp_path)
        assert reopened.entries == journal.entries
        assert reopened.meta == journal.meta

    async def test_replaced_entries_stay_replaced(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 4)
        await journal.append((build_entry(2, term=2),))
        reopened = open_at(tmp_path)
        assert [(entry.index, entry.term) for entry in reopened.entries] == [
            (1, 1),
            (2, 2),
        ]

    async def test_an_empty_folder_gives_a_new_identity(self, tmp_path):
        first = open_at(tmp_path / "a").meta.identity
        assert open_at(tmp_path / "a").meta.identity == first
        assert open_at(tmp_path / "b").meta.identity != first

    async def test_the_latest_members_take_effect(self, tmp_path):
        journal = open_at(tmp_path)
        member = MemberInfo("id", "state-1", "mem://state-1")
        change = Envelope(ChangeMembers((member,)))
        await journal.append((LogEntry(1, 1, change),))
        assert open_at(tmp_path).get_members() == (member,)

    async def test_recent_voters_come_from_the_two_latest_lists(self, tmp_path):
        """Each change is committed before the next, so older lists have no leader."""
        first, second, third, learner = (
            MemberInfo(name, name, f"mem://{name}", voter=name != "d")
            for name in "abcd"
        )
        journal = open_at(tmp_path)
        for index, members in enumerate(
            ((first,), (first, second), (second, third, learner)), start=1
        ):
            await journal.append(
                (LogEntry(index, 1, Envelope(ChangeMembers(members))),)
            )
        assert set(journal.list_recent_voters()) == {first, second, third}
        await journal.append(
            (LogEntry(4, 1, Envelope(ChangeMembers((third, learner)))),)
        )
        assert set(journal.list_recent_voters()) == {second, third}


class TestDamage:
    async def test_a_torn_tail_is_truncated_at_any_length(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 2)
        path = tmp_path / LOG_FILE
        intact = path.read_bytes()
        await fill(journal, 1)
        longer = path.read_bytes()
        for size in range(len(intact), len(longer)):
            path.write_bytes(longer[:size])
            reopened = open_at(tmp_path)
            assert reopened.last_index == 2
            assert path.read_bytes() == intact

    async def test_appends_continue_after_a_torn_tail(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 2)
        path = tmp_path / LOG_FILE
        path.write_bytes(path.read_bytes()[:-1])
        reopened = open_at(tmp_path)
        await fill(reopened, 3)
        assert open_at(tmp_path).last_index == 4

    async def test_damage_before_the_tail_is_reported(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 1)
        first_frame_size = len((tmp_path / LOG_FILE).read_bytes())
        await fill(journal, 2)
        path = tmp_path / LOG_FILE
        for position in range(first_frame_size):
            content = bytearray(path.read_bytes())
            content[position] ^= 1
            path.write_bytes(content)
            with pytest.raises(StorageDamaged):
                open_at(tmp_path)
            content[position] ^= 1
            path.write_bytes(content)

    async def test_a_damaged_snapshot_or_vote_is_reported(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 4)
        await journal.compact(build_snapshot(3, 2))
        for name in (SNAPSHOT_FILE, META_FILE):
            path = tmp_path / name
            content = path.read_bytes()
            path.write_bytes(content[:-2])
            with pytest.raises(StorageDamaged):
                open_at(tmp_path)
            path.write_bytes(content)

    async def test_a_log_without_its_vote_is_reported(self, tmp_path):
        await fill(open_at(tmp_path), 1)
        (tmp_path / META_FILE).unlink()
        with pytest.raises(StorageDamaged):
            open_at(tmp_path)


class TestSnapshots:
    async def test_the_log_after_a_snapshot_is_retained(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 9)
        await journal.compact(build_snapshot(6, 4))
        reopened = open_at(tmp_path)
        assert (reopened.first_index, reopened.last_index) == (5, 9)
        assert reopened.get_term(4) == 1 and reopened.get_term(3) == -1

    async def test_a_crash_between_snapshot_and_log_keeps_the_entries(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 9)
        log = (tmp_path / LOG_FILE).read_bytes()
        await journal.compact(build_snapshot(6, 4))
        (tmp_path / LOG_FILE).write_bytes(log)
        reopened = open_at(tmp_path)
        assert (reopened.first_index, reopened.last_index) == (5, 9)

    async def test_a_log_that_contradicts_the_snapshot_is_dropped(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 9, term=1)
        log = (tmp_path / LOG_FILE).read_bytes()
        await journal.install(build_snapshot(6, 6, term=3))
        (tmp_path / LOG_FILE).write_bytes(log)
        reopened = open_at(tmp_path)
        assert (reopened.first_index, reopened.last_index) == (7, 6)
        assert reopened.last_term == 3


@contextmanager
def limit_file_size(size: int):
    """Let the kernel refuse to write any file beyond ``size`` bytes."""
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))


class TestFullDisk:
    @pytest.mark.parametrize("room_bytes", [0, 20])
    async def test_append_on_a_full_disk_raises_an_unknown_error(
        self, room_bytes, tmp_path
    ):
        """Closing the file wrote the buffered entry again, whose error was not
        translated. If a part of it fit, the log was damaged."""
        journal = open_at(tmp_path)
        await fill(journal, 3)
        size = (tmp_path / LOG_FILE).stat().st_size
        with limit_file_size(size + room_bytes), pytest.raises(StorageError):
            await fill(journal, 1)
        assert (tmp_path / LOG_FILE).stat().st_size == size
        await fill(journal, 2)
        assert open_at(tmp_path).entries == journal.entries
        assert journal.last_index == 5

    async def test_a_rejected_append_leaves_no_data(self, tmp_path):
        journal = open_at(tmp_path)
        await fill(journal, 2)
        before = (tmp_path / LOG_FILE).read_bytes()
        journal.folder.quota_bytes = journal.folder.get_size() + 10
        with pytest.raises(StorageFull):
            await fill(journal, 1)
        assert journal.last_index == 2
        assert (tmp_path / LOG_FILE).read_bytes() == before
        journal.folder.quota_bytes = 0
        await fill(journal, 1)
        assert open_at(tmp_path).last_index == 3

    async def test_a_write_whose_sync_fails_is_undone(self, tmp_path, monkeypatch):
        journal = open_at(tmp_path)
        await fill(journal, 1)

        def fail(handle):
            raise OSError(28, "No space left on device")

        monkeypatch.setattr("medlarrail.state.folder.os.fsync", fail)
        with pytest.raises(StorageFull):
            await fill(journal, 1)
        monkeypatch.undo()
        assert open_at(tmp_path).last_index == 1
