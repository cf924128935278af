"""Tests that the proxy adds no failure but those that it is told to."""

from functools import partial

import pytest
import trio
import trio.testing

from medlarrail.testing.fault_proxy import TO_CALLER, TO_TARGET, FaultProxy
from medlarrail.testing.scripted_endpoints import HOST
from medlarrail.transport.sockets import set_reset_on_close

STALL_S = 0.2
WAIT_TIMEOUT_S = 5.0


@pytest.fixture
async def target_streams(nursery):
    """The connections of the process behind the proxy."""
    send, receive = trio.open_memory_channel(9)
    done = trio.Event()

    async def keep(stream):
        send.send_nowait(stream)
        await done.wait()

    listeners = await nursery.start(partial(trio.serve_tcp, keep, 0, host=HOST))
    receive.port = listeners[0].socket.getsockname()[1]
    yield receive
    done.set()


@pytest.fixture
async def proxy(nursery, target_streams):
    """A proxy that listens."""
    proxy = FaultProxy(HOST, 0, target_streams.port)
    listeners = await nursery.start(proxy.run)
    proxy.port = listeners[0].socket.getsockname()[1]
    return proxy


async def connect(proxy, target_streams):
    """Return the caller's end and the target's end of a connection."""
    caller = await trio.open_tcp_stream(HOST, proxy.port)
    with trio.fail_after(WAIT_TIMEOUT_S):
        target = await target_streams.receive()
    return caller, target


async def test_regular_end_arrives_as_a_reset(proxy, target_streams):
    caller, target = await connect(proxy, target_streams)
    await target.send_all(b"whole")
    await target.send_eof()
    with trio.fail_after(WAIT_TIMEOUT_S):
        assert b"".join([part async for part in caller]) == b"whole"
        await caller.send_all(b"more")
        assert await target.receive_some() == b"more"


async def test_reset_arrives_as_a_regular_end(proxy, target_streams):
    """An answer without a length would look complete."""
    caller, target = await connect(proxy, target_streams)
    set_reset_on_close(target.socket, True)
    target.socket.close()
    with trio.fail_after(WAIT_TIMEOUT_S), pytest.raises(trio.BrokenResourceError):
        await caller.receive_some()


@pytest.mark.parametrize("direction", [TO_TARGET, TO_CALLER])
async def test_stalled_link_loses_data_or_passes_it(proxy, target_streams, direction):
    caller, target = await connect(proxy, target_streams)
    source, sink = (caller, target) if direction == TO_TARGET else (target, caller)
    proxy.stall([direction])
    await source.send_all(b"held")
    await source.send_eof()
    await sink.send_all(b"passes")
    with trio.fail_after(WAIT_TIMEOUT_S):
        assert await source.receive_some() == b"passes"
        with trio.move_on_after(STALL_S) as scope:
            await sink.receive_some()
        assert scope.cancelled_caught
        proxy.resume()
        assert await sink.receive_some() == b"held"
        assert await sink.receive_some() == b""


async def test_proxy_accepts_after_it_stopped_listening(proxy, target_streams):
    caller, target = await connect(proxy, target_streams)
    proxy.stop_listening()
    await trio.testing.wait_all_tasks_blocked()
    with pytest.raises(OSError):
        await trio.open_tcp_stream(HOST, proxy.port)
    await caller.send_all(b"goes on")
    assert await target.receive_some() == b"goes on"
