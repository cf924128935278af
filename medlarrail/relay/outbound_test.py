"""Tests of what the connections to an endpoint tell about its process."""

import time
from contextlib import suppress

import pytest
import trio
import trio.testing

from medlarrail.core.errors import StreamBroken
from medlarrail.policy.answer_end import MAX_END_DELAY_S
from medlarrail.relay.outbound import OutboundPool
from medlarrail.relay.outbound_connection import OutboundConnection
from medlarrail.testing.scripted_endpoints import HOST, ScriptedEndpoint, answer_ok

UPLOAD_BYTES = 8_000_000
"""More than the kernels of both sides hold."""
HELD_BACK_S = 0.4
PART_INTERVAL_S = 0.02
SLOW_TURN_S = 0.01
"""Time that another task takes of each turn of the event loop."""
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart"


async def call(connection: OutboundConnection) -> None:
    """Send a request and receive the whole answer."""
    await connection.send(b"GET", b"/", [(b"Host", b"guide")], b"")
    await connection.read_head()
    async for _ in connection.iterate_body():
        pass


@pytest.mark.parametrize("found", [True, False])
async def test_connections_to_the_process_before_disprove_the_end(nursery, found):
    """An idle connection that had been closed before a request was sent, and was found
    closed after it, was taken for one that was closed during the request."""
    before = ScriptedEndpoint("engine-1", answer_ok)
    await nursery.start(before.run)
    pool = OutboundPool()
    address = f"{HOST}:{before.port}"
    idle = await pool.acquire(address, new_connection=True)
    await call(idle)
    pool.release(idle, None)
    before.stop()
    with trio.fail_after(5):
        while idle.is_quiet():
            await trio.sleep(0.001)
    after = ScriptedEndpoint("engine-1", answer_ok, before.port)
    await nursery.start(after.run)
    connection = await pool.acquire(address, new_connection=True)
    await call(connection)
    if found:
        pool.close_expired()
    assert pool.has_same_process(connection) is not False
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize("reader", ["waits", "comes later"])
async def test_reset_that_the_sending_took_is_forgotten(nursery, reader):
    """The kernel gives the rest of the answer and a regular end after it."""
    has_reset = trio.Event()

    async def reset_during_upload(connection, request):
        await connection.send(UNFRAMED)
        await trio.sleep(0.02)
        connection.reset()
        has_reset.set()

    endpoint = ScriptedEndpoint("engine-1", reset_during_upload, read_limit=8192)
    await nursery.start(endpoint.run)
    connection = await OutboundPool().acquire(f"{HOST}:{endpoint.port}", True)
    headers = [(b"Host", b"guide")]
    received = bytearray()
    with trio.fail_after(5):
        async with trio.open_nursery() as calls:
            calls.start_soon(
                connection.send, b"POST", b"/", headers, b"u" * UPLOAD_BYTES
            )
            if reader == "waits":
                with suppress(StreamBroken):
                    await read_body(connection, received)
    if reader == "comes later":
        await read_body(connection, received)
        assert connection.answer_ended
    assert has_reset.is_set() and received == b"part"
    assert connection.check_broken() and not connection.is_request_received()
    nursery.cancel_scope.cancel()


async def test_bytes_behind_a_silence_count_as_sent_when_they_arrive(nursery):
    """A loop that ran all the while showed that nothing waited here, and was taken for
    a sign that no link had held the bytes and the end back."""

    async def send_and_end(connection, request) -> None:
        await connection.send(UNFRAMED)
        await trio.sleep(HELD_BACK_S)
        await connection.send(b"part")
        connection.endpoint.stop()

    endpoint = ScriptedEndpoint("engine-1", send_and_end)
    await nursery.start(endpoint.run)
    pool = OutboundPool()
    nursery.start_soon(pool.loop_watch.run)
    connection = await pool.acquire(f"{HOST}:{endpoint.port}", new_connection=True)
    await connection.send(b"GET", b"/", [(b"Host", b"guide")], b"")
    await read_body(connection, bytearray())
    assert (
        connection.arrivals.end_delay_s > HELD_BACK_S > connection.arrivals.end_unread_s
    )
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "change, is_found",
    [("", True), ("status", False), ("late", False), ("expired", False)],
)
async def test_standby_connection_may_be_of_another_process(nursery, change, is_found):
    """It was opened after the request, or a late copy of an answer may arrive on it."""
    endpoint = ScriptedEndpoint("engine-1", answer_ok)
    await nursery.start(endpoint.run)
    pool = OutboundPool()
    address = f"{HOST}:{endpoint.port}"
    answered = await pool.acquire(address, new_connection=True)
    await pool.open_standby(address, limit=2)
    (standby,) = pool.idle[address]
    await call(answered)
    if change == "status":
        standby.has_unnamed_answer = True
    if change == "late":
        standby.opened_at = answered.sent_at + 2 * MAX_END_DELAY_S
    if change == "expired":
        standby.idle_until = trio.current_time()
    assert pool.take_standby(answered) is (standby if is_found else None)
    assert (standby not in pool.idle[address]) == is_found


async def test_standby_connection_displaces_another(nursery):
    endpoint = ScriptedEndpoint("engine-1", answer_ok)
    await nursery.start(endpoint.run)
    pool = OutboundPool()
    address = f"{HOST}:{endpoint.port}"
    await pool.acquire(address, new_connection=True)
    await pool.open_standby(address, limit=1)
    assert address not in pool.idle
    await pool.open_standby(address, limit=2)
    await pool.acquire(address, new_connection=True, limit=2)
    assert pool.count_open(address) == 2 and not pool.idle[address]


async def test_end_that_waited_counts_as_noticed_at_once_in_a_busy_process(nursery):
    """After a suspension, many tasks run before the end of a connection is received."""

    async def hog_processor() -> None:
        while True:
            time.sleep(SLOW_TURN_S)
            await trio.sleep(0)

    async def send_and_end(connection, request) -> None:
        await connection.send(UNFRAMED)
        connection.endpoint.stop()

    endpoint = ScriptedEndpoint("engine-1", send_and_end)
    await nursery.start(endpoint.run)
    pool = OutboundPool()
    connection = await pool.acquire(f"{HOST}:{endpoint.port}", new_connection=True)
    await connection.send(b"GET", b"/", [(b"Host", b"guide")], b"")
    await trio.testing.wait_all_tasks_blocked(0.05)
    ended_at = trio.current_time()
    nursery.start_soon(hog_processor)
    await read_body(connection, bytearray())
    nursery.cancel_scope.cancel()
    assert connection.arrivals.seen_open_at < ended_at
    assert connection.arrivals.end_delay_s > 2 * SLOW_TURN_S


async def read_body(connection: OutboundConnection, received: bytearray) -> None:
    """Receive an answer, and its body into ``received``."""
    await connection.read_head()
    async for part in connection.iterate_body():
        received += part


@pytest.mark.parametrize("parts, is_late", [(2, True), (30, False)])
async def test_parts_of_what_a_link_held_back_count_as_sent_at_once(
    nursery, parts, is_late
):
    """The end followed the last part, and seemed to have been held back by no link."""

    async def send_and_end(connection, request) -> None:
        await connection.send(UNFRAMED)
        await trio.sleep(HELD_BACK_S)
        for _ in range(parts):
            await connection.send(b"part")
            await trio.sleep(PART_INTERVAL_S)
        connection.endpoint.stop()

    endpoint = ScriptedEndpoint("engine-1", send_and_end)
    await nursery.start(endpoint.run)
    pool = OutboundPool()
    connection = await pool.acquire(f"{HOST}:{endpoint.port}", new_connection=True)
    await connection.send(b"GET", b"/", [(b"Host", b"guide")], b"")
    await read_body(connection, bytearray())
    assert (connection.arrivals.end_delay_s > HELD_BACK_S) == is_late
