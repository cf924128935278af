"""Keeps an entry's view of the cluster up to date by polling a state member.

Consecutive long polls go to the leader, or with many entries to a follower of its own.
While no member leads, what the others have applied is read in between.
"""

from collections.abc import Callable

import eliot
import trio
from attrs import define, field

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.member_choice import MemberChoice
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.clock import PROCESS_STARTED_AT, get_boottime
from medlarrail.core.errors import MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.policy.notification import (
    MAX_DIRECT_ENTRIES,
    get_poll_timeout_s,
    get_poll_wait_s,
)
from medlarrail.protocol.cluster_view import (
    CLUSTER_VIEW_PATH,
    ClusterViewAnswer,
    ClusterViewRequest,
)

RETRY_PAUSE_S = 0.1
APPLIED_STATE_INTERVAL_S = 0.25
"""Shortest time between two calls for what members have applied, while none leads."""
APPLIED_STATE_TIMEOUT_S = 0.25
"""Time limit of such a call, which keeps the entry from asking the next member."""


@define
class ClusterViewClient:
    """Updates the view by polling a state member."""

    cluster_view: ClusterView
    state: StateClient
    name: str
    address: str
    data_centre: str
    work_address: str = ""
    ready: bool = False
    tells_streams: bool = True
    list_limited_services: Callable[[], tuple[str, ...]] = tuple
    """Returns the services of which this entry was told that they are limited."""
    member_choice: MemberChoice = field(init=False)
    _epoch: str = ""
    _endpoints_seen: int = 0
    _entries_seen: int = 0
    _configuration_seen: int = 0
    _suspects_seen: int = 0
    _applied_index_seen: int = 0
    """Log index up to which members told what they have applied."""
    _applied_state_read_at: float = float("-inf")
    _connected: bool = False
    _failed_calls: int = 0
    """Consecutive calls that failed since a state member last answered."""
    _seeds: tuple[str, ...] = field(init=False)

    def __attrs_post_init__(self):
        self._seeds = self.state.urls
        self.member_choice = MemberChoice(self.name, self.cluster_view.clock)

    def set_seeds(self, urls: tuple[str, ...]) -> None:
        """Use these members in addition to those that a leader listed."""
        self._seeds = urls
        self.state.urls = tuple(dict.fromkeys((*self.cluster_view.member_urls, *urls)))

    async def run(self) -> None:
        """Update the view until cancelled.

        When a connection fails silently, a change is noticed at the latest after the
        time for which a poll is held plus the time limit of a call.
        """
        while True:
            sent_at = self.cluster_view.clock()
            wait_s = get_poll_wait_s(self.cluster_view.entry_count)
            url = self.member_choice.pick_url(self.state.urls)
            try:
                answer = await self.state.peers.call(
                    url,
                    CLUSTER_VIEW_PATH,
                    self._build_request(wait_s),
                    ClusterViewAnswer,
                    self._get_timeout_s(wait_s),
                    second_try=not self._has_own_member(),
                )
            except MedlarError as error:
                self._record_failure(error)
                if isinstance(error, NotLeader):
                    await self._read_applied_state(url)
                if not self.member_choice.record_failure(url, error):
                    await trio.sleep(RETRY_PAUSE_S)
                continue
            self._apply_answer(answer, sent_at, url)
            self.member_choice.record_answer(url, answer)

    def _has_own_member(self) -> bool:
        """Return whether there are too many entries for the leader to answer all."""
        return self.cluster_view.entry_count > MAX_DIRECT_ENTRIES

    def _get_timeout_s(self, wait_s: float) -> float:
        """Return the time limit of one poll.

        With many entries each member answers few, and one that stands still must not
        keep its entries from what the others know. The next attempt then goes to
        another member, so the limit is that of a single attempt.
        """
        timeout_s = get_poll_timeout_s(wait_s)
        return timeout_s / 2 if self._has_own_member() else timeout_s

    async def _read_applied_state(self, url: str) -> None:
        """Apply what a member that does not lead has applied.

        An election may take longer than departures may stay unknown here.
        """
        sent_at = self.cluster_view.clock()
        if sent_at - self._applied_state_read_at < APPLIED_STATE_INTERVAL_S:
            return
        self._applied_state_read_at = sent_at
        # Imported here because members mostly have a leader, and each class with
        # generated methods adds half a millisecond to a start.
        from medlarrail.protocol.applied_state import (
            APPLIED_STATE_PATH,
            AppliedState,
            AppliedStateRequest,
        )

        request = AppliedStateRequest(
            self.name, self._applied_index_seen, self.cluster_view.get_version()
        )
        try:
            state = await self.state.peers.call(
                url, APPLIED_STATE_PATH, request, AppliedState, APPLIED_STATE_TIMEOUT_S
            )
        except MedlarError as error:
            # Members of the version before do not know the path.
            get_metrics().count("applied_state_failures", type=type(error).__name__)
            return
        self.cluster_view.apply_unconfirmed(state, sent_at)
        self._applied_index_seen = state.index

    async def report_readiness(self) -> None:
        """Report immediately to the leader whether this entry is ready."""
        request = self._build_request(wait_s=0.0)
        sent_at = self.cluster_view.clock()
        try:
            answer = await self.state.call_leader(
                CLUSTER_VIEW_PATH, request, ClusterViewAnswer, get_poll_timeout_s(0.0)
            )
        except MedlarError as error:
            self._record_failure(error)
            return
        self._apply_answer(answer, sent_at, self.state.leader_url)

    def _build_request(self, wait_s: float) -> ClusterViewRequest:
        return ClusterViewRequest(
            entry=self.name,
            address=self.address,
            data_centre=self.data_centre,
            ready=self.ready,
            epoch=self._epoch,
            endpoints_seen=self._endpoints_seen,
            entries_seen=self._entries_seen,
            configuration_seen=self._configuration_seen,
            suspects_seen=self._suspects_seen,
            deployment_version=self.cluster_view.get_version(),
            wait_s=wait_s,
            work_address=self.work_address,
            limited_services=self.list_limited_services(),
            reads_age=True,
            knows_rollouts=True,
            tells_streams=self.tells_streams,
            names_sharers=True,
            entry_count=self.cluster_view.entry_count,
        )

    def _apply_answer(
        self, answer: ClusterViewAnswer, sent_at: float, member_url: str
    ) -> None:
        self._epoch = answer.epoch
        self._endpoints_seen = answer.endpoints_revision
        self._entries_seen = answer.entries_revision
        self._configuration_seen = answer.configuration_index
        self._suspects_seen = answer.suspects_revision
        self.cluster_view.apply(answer, sent_at)
        self.state.urls = tuple(dict.fromkeys((*answer.member_urls, *self._seeds)))
        if not self._connected:
            self._connected = True
            eliot.log_message(
                "state:reachable",
                member=member_url,
                epoch=answer.epoch,
                failed_calls=self._failed_calls,
                answer_s=round(self.cluster_view.clock() - sent_at, 3),
                since_start_s=round(get_boottime() - PROCESS_STARTED_AT, 3),
            )
        self._failed_calls = 0

    def _record_failure(self, error: MedlarError) -> None:
        get_metrics().count("picture_failures", type=type(error).__name__)
        self._failed_calls += 1
        if self._connected:
            self._connected = False
            eliot.log_message(
                "state:unreachable",
                reason=str(error),
                picture_age_s=self.cluster_view.get_age_s(),
            )
