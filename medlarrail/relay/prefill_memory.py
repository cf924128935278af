"""Remembers at which engines shared parts of prompts were last read.

Kept by the entry that answers for the part's home store, or by each entry for its own
prompts where all entries follow all stores. Lost with the process: the parts are then
read again, as they are without it.
"""

from collections import OrderedDict
from typing import Literal

from attrs import define, evolve, field, frozen

from medlarrail.core.clock import Clock, get_boottime

RETENTION_S = 20.0
"""Time for which it is remembered where a part was read. Engines evict parts earlier
when they are busy, which only the asker can estimate."""
MAX_PARTS = 1024
"""Parts that are remembered, about 1.6 MB; those unused for longest are dropped. A
follower of one of 20 stores answers for some thirty of 2,600 parts."""
MAX_SITES = 4
"""Engines that are remembered for a part: a part of a quarter of all prompts keeps
about as many engines busy."""
SCOPE_RETENTION_S = 120.0
"""Time for which another scope of a part keeps engines from fetching it from each
other, well beyond the time for which engines keep a part."""

ReadState = Literal["reading", "read", "failed"]


@frozen
class ReadNotice:
    """Tells that an engine reads a part, has read it, or that the prompt failed there.

    ``remaining_ms`` is the expected time until it has read the part, and ``source`` the
    engine that it fetches the part from for ``transfer_ms``, empty if it does not.
    """

    scope: str
    identity: str
    engine: str
    started_ms: int
    state: ReadState
    remaining_ms: int = 0
    source: str = ""
    transfer_ms: int = 0


@frozen
class ReadSite:
    """An incarnation of an engine that has read a part, or will in ``remaining_ms``.

    ``age_ms`` is the time since a prompt last used the part there, and ``busy_ms`` the
    expected time of transfers of the part from there that are in progress.
    """

    engine: str
    started_ms: int
    age_ms: int = 0
    remaining_ms: int = 0
    busy_ms: int = 0


@frozen
class ReadSites:
    """Where a part was read for one scope, the most recent site first.

    ``sole_scope`` is set if nobody asked for a part of this identity in another scope:
    an engine that sends a part to another one checks neither account nor version.
    """

    sites: tuple[ReadSite, ...] = ()
    sole_scope: bool = False


@define
class _Site:
    """A remembered site; times are on the clock of the memory."""

    started_ms: int
    used_at: float
    read_at: float
    busy_until: float


@define
class _PartMemory:
    """Sites and scopes of the parts with one identity."""

    sites: dict[str, dict[str, _Site]] = field(factory=dict)
    """By scope and engine."""
    scopes_seen_at: dict[str, float] = field(factory=dict)


@define(eq=False)
class PrefillMemory:
    """Sites by the identity of a part; bounded in time and number."""

    clock: Clock = get_boottime
    _began_at: float = field(init=False)
    _parts: OrderedDict[str, _PartMemory] = field(factory=OrderedDict)

    def __attrs_post_init__(self):
        self._began_at = self.clock()

    def __len__(self) -> int:
        return len(self._parts)

    def find(self, scope: str, identity: str) -> ReadSites:
        """Return where a part was read, for a prompt that has it."""
        now = self.clock()
        part = self._get_part(scope, identity, now)
        sites = self._get_current(part, scope, now)
        return ReadSites(
            tuple(
                ReadSite(
                    name,
                    site.started_ms,
                    round(1000 * (now - site.used_at)),
                    max(0, round(1000 * (site.read_at - now))),
                    max(0, round(1000 * (site.busy_until - now))),
                )
                for name, site in sorted(
                    sites.items(), key=lambda item: -item[1].used_at
                )
            ),
            sole_scope=self._is_sole_scope(part, scope, now),
        )

    def forget_scopes(self) -> None:
        """Forget in which scopes parts were asked for: others may have been told."""
        self._began_at = self.clock()

    def record(self, notice: ReadNotice) -> None:
        """Record a notice of this entry or another."""
        now = self.clock()
        part = self._get_part(notice.scope, notice.identity, now)
        sites = self._get_current(part, notice.scope, now)
        known = sites.get(notice.engine)
        if known is not None and known.started_ms > notice.started_ms:
            return
        if known is not None and known.started_ms < notice.started_ms:
            known = None
        if notice.state == "failed":
            # A prompt in front may have read the part before this one failed.
            if known is None or known.read_at > now:
                sites.pop(notice.engine, None)
            return
        read_at = now + notice.remaining_ms / 1000
        if known is not None:
            read_at = min(known.read_at, read_at)
        busy_until = known.busy_until if known is not None else now
        sites[notice.engine] = _Site(notice.started_ms, now, read_at, busy_until)
        source = sites.get(notice.source)
        if source is not None and notice.state == "reading":
            busy_from = max(now, source.busy_until)
            source.busy_until = busy_from + notice.transfer_ms / 1000
            source.used_at = now
        while len(sites) > MAX_SITES:
            del sites[min(sites, key=lambda name: sites[name].used_at)]

    def _get_part(self, scope: str, identity: str, now: float) -> _PartMemory:
        part = self._parts.get(identity)
        if part is None:
            part = self._parts[identity] = _PartMemory()
            while len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
                # What is dropped may have been asked for in another scope.
                self.forget_scopes()
        self._parts.move_to_end(identity)
        part.scopes_seen_at[scope] = now
        for seen, seen_at in list(part.scopes_seen_at.items()):
            if now - seen_at > SCOPE_RETENTION_S:
                del part.scopes_seen_at[seen]
                part.sites.pop(seen, None)
        return part

    @staticmethod
    def _get_current(part: _PartMemory, scope: str, now: float) -> dict[str, _Site]:
        """Return the sites of a scope that are not too old."""
        sites = part.sites.setdefault(scope, {})
        for name, site in list(sites.items()):
            if now - site.used_at > RETENTION_S:
                del sites[name]
        return sites

    def _is_sole_scope(self, part: _PartMemory, scope: str, now: float) -> bool:
        """Return whether the part was asked for in no other scope.

        A memory that has just begun does not know.
        """
        return (
            now - self._began_at > SCOPE_RETENTION_S
            and len(part.scopes_seen_at) == 1
            and scope in part.scopes_seen_at
        )


def age_sites(found: ReadSites, age_s: float) -> ReadSites:
    """Return sites that were found some time ago, as they are expected to be now."""
    age_ms = round(1000 * age_s)
    return evolve(
        found,
        sites=tuple(
            evolve(
                site,
                age_ms=site.age_ms + age_ms,
                remaining_ms=max(0, site.remaining_ms - age_ms),
                busy_ms=max(0, site.busy_ms - age_ms),
            )
            for site in found.sites
        ),
    )
