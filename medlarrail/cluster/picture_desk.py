"""Serves entries their picture of the deployment, on the leading state member."""

import time

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.registry import EndpointRegistry
from medlarrail.consensus.replication import LogMember
from medlarrail.core.announcements import Announcement, EntryNotice
from medlarrail.core.clock import Clock, get_boottime
from medlarrail.core.deployment import Deployment
from medlarrail.core.deployment_check import check_deployment
from medlarrail.core.entities import DesiredVersion
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.control import Nothing
from medlarrail.protocol.pictures import (
    ANNOUNCEMENTS_PATH,
    DEPARTURES_PATH,
    PICTURE_PATH,
    Departure,
    PictureAnswer,
    PictureRequest,
)
from medlarrail.state.operations import (
    Envelope,
    LogEntry,
    Operation,
    Outcome,
    ReplaceDeployment,
    SetDataCentre,
    SetDesiredVersion,
)
from medlarrail.transport.routes import Request, route

CONFIGURATION_OPERATIONS = (ReplaceDeployment, SetDataCentre, SetDesiredVersion)
LONGEST_WAIT_S = 1.0
"""Longest time for which a call is held open without news."""
ENTRY_SILENCE_S = 1.6
"""Silence after which callers are no longer sent to an entry: three calls."""
ENTRY_COUNTED_S = 8.0
"""Silence after which an entry no longer counts in the parts that entries get."""
SETTLE_S = 4.0
"""Time after which a new leader has heard every endpoint and entry: three
announcements of the slowest."""
EXPIRY_INTERVAL_S = 0.25


@define
class PresentEntry:
    """An entry and when it last called."""

    notice: EntryNotice
    ready: bool
    heard_at: float
    revision: int = 0


@define(eq=False)
class PictureDesk:
    """What the leader knows besides the log, and the calls that ask for it."""

    member: LogMember
    clock: Clock = get_boottime
    registry: EndpointRegistry = field(init=False)
    entries: dict[str, PresentEntry] = field(factory=dict)
    entries_revision: int = 0
    configuration_index: int = field(init=False)
    _term: int = -1
    _changed: trio.Event = field(factory=trio.Event)

    def __attrs_post_init__(self):
        self.registry = EndpointRegistry(self.clock)
        self.configuration_index = self.member.catalogue.index
        self.member.on_apply.append(self._note_applied)

    def _note_applied(self, entry: LogEntry, outcome: Outcome) -> None:
        if isinstance(entry.envelope.operation, CONFIGURATION_OPERATIONS):
            self.configuration_index = entry.index
            self.wake()

    def wake(self) -> None:
        """Let every call that waits look again."""
        self._changed.set()
        self._changed = trio.Event()

    def require_leading(self) -> None:
        """Raise ``NotLeader`` unless this member leads; start anew in a new term."""
        leadership = self.member.require_lease()
        if leadership.term != self._term:
            self._term = leadership.term
            self.registry.clear()
            self.entries.clear()
            self.entries_revision += 1

    def is_settled(self) -> bool:
        """Return whether every living endpoint and entry had time to be heard."""
        leadership = self.member.leadership
        return (
            leadership is not None and self.clock() - leadership.elected_at > SETTLE_S
        )

    # What endpoints and operators say.

    def note_announcement(self, announced: Announcement) -> None:
        """Take up what an endpoint says of itself."""
        self.require_leading()
        if self.registry.note(announced):
            eliot.log_message(
                "endpoint:announced",
                endpoint=announced.name,
                service=announced.service,
                address=announced.address,
                state=announced.state,
                sequence=announced.sequence,
                cold_ms=announced.cold_ms,
            )
            self.wake()

    def note_departure(self, name: str) -> None:
        """Take up that an endpoint leaves."""
        self.require_leading()
        if self.registry.depart(name, int(time.time() * 1000)):
            eliot.log_message("endpoint:departed", endpoint=name)
            self.wake()

    @route("POST", ANNOUNCEMENTS_PATH, Announcement)
    async def handle_announcement(self, request: Request) -> Nothing:
        """Take up an endpoint's announcement in the project's own form."""
        self.note_announcement(request.message)
        return Nothing()

    @route("POST", DEPARTURES_PATH, Departure)
    async def handle_departure(self, request: Request) -> Nothing:
        """Take up an endpoint's departure in the project's own form."""
        self.note_departure(request.message.name)
        return Nothing()

    async def replace_deployment(self, deployment: Deployment) -> None:
        """Commit a document; one that is not newer is accepted and has no effect.

        Raises ``DeploymentInvalid`` with every fault.
        """
        check_deployment(deployment)
        present = await self.read_deployment()
        if present is not None and present.version >= deployment.version:
            return
        await self._commit(ReplaceDeployment(deployment))

    async def read_deployment(self) -> Deployment | None:
        """Return the newest committed document; raises where that is unsure."""
        await self.member.confirm_reads()
        return self.member.catalogue.deployment

    async def set_data_centre(self, name: str, in_service: bool) -> None:
        """Take a data centre in or out of service."""
        await self._commit(SetDataCentre(name, in_service))

    async def name_version(self, model: str, version: int) -> None:
        """Name the weight version that endpoints are to load; the highest wins."""
        desired = DesiredVersion(model, str(version), ordinal=version)
        await self._commit(SetDesiredVersion(desired))

    async def _commit(self, operation: Operation) -> None:
        outcome = await self.member.propose(Envelope(operation))
        eliot.log_message(
            "configuration:accepted",
            change=type(operation).__name__,
            index=outcome.index,
            term=self.member.term,
        )

    # What entries ask.

    @route("POST", PICTURE_PATH, PictureRequest)
    async def handle_picture(self, request: Request) -> PictureAnswer:
        """Return what changed since the entry's picture, waiting if needed."""
        message: PictureRequest = request.message
        await self.member.confirm_reads()
        self.require_leading()
        self._note_entry(message)
        with trio.move_on_after(min(message.wait_s, LONGEST_WAIT_S)):
            while not self._has_news(message):
                await self._changed.wait()
        await self.member.confirm_reads()
        self.require_leading()
        return self._build_answer(message)

    def _get_epoch(self) -> str:
        return f"{self.member.identity}-{self._term}"

    def _note_entry(self, message: PictureRequest) -> None:
        notice = EntryNotice(
            message.entry, message.address, message.data_centre, message.work_address
        )
        before = self.entries.get(message.entry)
        now = self.clock()
        listed = before is not None and now - before.heard_at <= ENTRY_SILENCE_S
        fresh = PresentEntry(notice, message.ready, now)
        self.entries[message.entry] = fresh
        same = listed and before.ready == fresh.ready and before.notice == notice
        if not same:
            eliot.log_message("entry:heard", entry=message.entry, ready=message.ready)
            self.entries_revision += 1
            self.wake()

    def _has_news(self, message: PictureRequest) -> bool:
        return (
            message.epoch != self._get_epoch()
            or message.endpoints_seen != self.registry.revision
            or message.entries_seen != self.entries_revision
            or message.configuration_seen != self.configuration_index
        )

    def _build_answer(self, message: PictureRequest) -> PictureAnswer:
        whole = message.epoch != self._get_epoch()
        since = 0 if whole else message.endpoints_seen
        catalogue = self.member.catalogue
        document = catalogue.deployment
        newer = document is not None and document.version > message.deployment_version
        listed = whole or message.entries_seen != self.entries_revision
        return PictureAnswer(
            epoch=self._get_epoch(),
            settled=self.is_settled(),
            whole=whole,
            endpoints_revision=self.registry.revision,
            entries_revision=self.entries_revision,
            configuration_index=self.configuration_index,
            endpoints=tuple(self.registry.iterate_notices(since)),
            departed=tuple(self.registry.iterate_departed(since)),
            entries=self._list_entries() if listed else None,
            entry_count=max(1, len(self.entries)),
            deployment=document if newer else None,
            out_data_centres=tuple(
                sorted(
                    one.name
                    for one in catalogue.data_centres.values()
                    if not one.in_service
                )
            ),
            desired=tuple(catalogue.desired.values()),
            member_urls=tuple(one.url for one in self.member.journal.get_members()),
        )

    def _list_entries(self) -> tuple[EntryNotice, ...]:
        now = self.clock()
        return tuple(
            one.notice
            for one in self.entries.values()
            if one.ready and now - one.heard_at <= ENTRY_SILENCE_S
        )

    async def run(self) -> None:
        """Drop silent entries and endpoints while this member leads."""
        listed: tuple[EntryNotice, ...] = ()
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            try:
                self.require_leading()
            except NotLeader:
                continue
            except MedlarError as error:
                get_metrics().count("expiry_failures", type=type(error).__name__)
                continue
            self._expire_endpoints()
            self._forget_entries()
            present = self._list_entries()
            if present != listed:
                listed = present
                self.entries_revision += 1
                self.wake()

    def _expire_endpoints(self) -> None:
        if not self.is_settled():
            return
        for name in self.registry.expire():
            eliot.log_message("endpoint:silent", endpoint=name)
            self.wake()

    def _forget_entries(self) -> None:
        now = self.clock()
        for name, one in list(self.entries.items()):
            if now - one.heard_at > ENTRY_COUNTED_S:
                del self.entries[name]
                eliot.log_message("entry:silent", entry=name)
