"""Tests of the polls of entries over real connections."""

import pytest
import trio

from medlarrail.cluster.cluster_view import ClusterView
from medlarrail.cluster.state_client import StateClient
from medlarrail.cluster.view_client import ClusterViewClient
from medlarrail.core.metrics import get_metrics
from medlarrail.protocol.cluster_view import (
    CLUSTER_VIEW_PATH,
    ClusterViewAnswer,
    ClusterViewRequest,
)
from medlarrail.transport.client import HttpClient
from medlarrail.transport.routes import Request, Routes, route
from medlarrail.transport.server import HttpServer

POLLS = 3


class CalmMember:
    """A state member without news, which holds each poll as long as it may."""

    def __init__(self, entry_count: int):
        self.entry_count = entry_count
        self.polls = 0
        self.url = ""

    @route("POST", CLUSTER_VIEW_PATH, ClusterViewRequest)
    async def handle_poll(self, request: Request) -> ClusterViewAnswer:
        """Answer that nothing has changed, once the poll's time is over."""
        self.polls += 1
        await trio.sleep(request.message.wait_s)
        return ClusterViewAnswer(
            epoch="member-1",
            whole=False,
            settled=True,
            entry_count=self.entry_count,
            endpoints_revision=1,
            entries_revision=1,
            configuration_index=1,
            member_urls=(self.url,),
        )


@pytest.mark.parametrize("entry_count", [7, 27, 82])
async def test_poll_without_news_is_given_up_before_it_is_answered(
    nursery, entry_count
):
    """With more entries than the leader answers, the first of two attempts was short.

    In calm no poll was answered: each was sent twice, then to the next member, and
    after a second the view counted as not confirmed.
    """
    member = CalmMember(entry_count)
    port = await nursery.start(HttpServer(Routes.collect(member)).run, "127.0.0.1", 0)
    view = ClusterView(entry_count=entry_count)
    url = member.url = f"http://127.0.0.1:{port}"
    client = ClusterViewClient(
        view,
        StateClient(HttpClient(), (url,)),
        name="gateway-1",
        address="127.0.0.1:1",
        data_centre="dc1",
    )
    nursery.start_soon(client.run)
    with trio.fail_after(10):
        while member.polls <= POLLS:
            await trio.sleep(0.05)
    assert view.get_age_s() < 2.0
    counted = {sample.name for sample in get_metrics().iterate_samples()}
    assert not counted & {"picture_failures", "peer_second_tries"}
