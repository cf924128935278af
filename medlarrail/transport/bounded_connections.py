"""hypercorn's connections, with bounds on their number and on what is read ahead.

hypercorn parses all that it has received in one turn of the event loop, also after the
request was answered. A body in chunks of one byte, or requests that were sent ahead,
then delay all others, so little is received at a time until a body is known to be long.
"""

import errno
import socket
from collections.abc import Awaitable, Callable
from copy import copy
from math import inf

import eliot
import h11
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import WorkerContext

from medlarrail.core.metrics import get_metrics
from medlarrail.policy.connection_room import (
    SINGLE_REQUEST_S,
    Admission,
    choose_admission,
)
from medlarrail.policy.held_memory import Holding
from medlarrail.transport.memory_gate import MemoryGate

LISTENER = "peers"
"""Name of these connections in counters and log lines."""
MAX_CONNECTIONS = 3400
"""Concurrent connections: 300 gateways and 3,000 endpoints keep theirs open. Of the
4,096 descriptors of a VM, 200 are reserved and some hundred are for files and calls."""
CONNECTION_BYTES = 16384
"""Memory that each connection needs: a member with 2,000 of them has 75 MB, 46 MB
without any."""
FIRST_READ_BYTES = 2048
"""Bytes per read of a head, and of the beginning of a body."""
LONG_BODY_BYTES = 32768
"""Bytes of a body from which on it is read in large parts."""
MAX_ACCEPTS_PER_TURN = 64
"""Connections accepted in one turn of the event loop: more would delay the requests of
those that are open."""
ACCEPT_RETRY_PAUSE_S = 0.1
WRITE_BYTES = 65536
"""Bytes of an answer that are written at a time, and noted as progress."""
CAPACITY_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
"""Errors of the system while the process, or the VM, has no room for a connection."""


class BoundedConnection(TCPServer):
    """One connection that receives little at a time until a body is long."""

    holding: Holding
    _is_closed_by_peer: bool = False

    async def protocol_send(self, event: Event) -> None:
        """Send an event of the protocol, and note whether a request is served."""
        if isinstance(event, RawData):
            await self._write(event.data)
            return
        if isinstance(event, Updated):
            if self._is_closed_by_peer:
                return
            state = "idle" if event.idle else "working"
            self.holding.start(state, trio.current_time())
        await super().protocol_send(event)

    async def _write(self, data: bytes) -> None:
        """Write all of ``data``, noting what the peer reads."""
        async with self.send_lock:
            try:
                # A part of an event must not be left out; ``abort`` ends the write.
                with trio.CancelScope(shield=True), memoryview(data) as view:
                    for start in range(0, len(view), WRITE_BYTES):
                        part = view[start : start + WRITE_BYTES]
                        await self.stream.send_all(part)
                        self.holding.record_bytes(len(part), trio.current_time())
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self.protocol.handle(Closed())

    async def _read_data(self) -> None:
        body_bytes = 0
        while True:
            in_body = self._is_in_body()
            body_bytes = body_bytes if in_body else 0
            limit = MAX_RECV if body_bytes >= LONG_BODY_BYTES else FIRST_READ_BYTES
            try:
                with trio.fail_after(self.config.read_timeout or inf):
                    data = await self.stream.receive_some(limit)
            except (
                trio.ClosedResourceError,
                trio.BrokenResourceError,
                trio.TooSlowError,
            ):
                break
            body_bytes += len(data)
            await self.protocol.handle(RawData(bytes(data)))
            if not data:
                break
        self._is_closed_by_peer = True
        # hypercorn ends a connection only together with its idle timer.
        await self.idle_task.stop()
        await self.protocol.handle(Closed())

    def _is_in_body(self) -> bool:
        connection = getattr(self.protocol.protocol, "connection", None)
        return connection is not None and connection.their_state is h11.SEND_BODY


async def serve_connections(
    app: Callable,
    config: Config,
    listener: socket.socket,
    gate: MemoryGate,
    wait_stop: Callable[[], Awaitable[None]],
) -> None:
    """Serve ``app`` until ``wait_stop`` returns, then let connections end in time."""
    context = WorkerContext(None)
    single_config = copy(config)
    single_config.keep_alive_max_requests = 1
    single_config.keep_alive_timeout = SINGLE_REQUEST_S
    open_connections = 0

    async def serve_one(stream: trio.SocketStream) -> None:
        nonlocal open_connections
        admission = _admit(gate, open_connections)
        if admission is Admission.REFUSED:
            get_metrics().count("connections_refused")
            gate.log.record("connection-refused", LISTENER, open=open_connections)
            return
        is_single = admission is Admission.SINGLE
        if is_single:
            get_metrics().count("connections_for_one_request")
        open_connections += 1
        scope = trio.CancelScope()
        own_config = single_config if is_single else config

        def abort() -> None:
            scope.cancel()
            # hypercorn shields its writes, so that only this ends them.
            stream.socket.close()

        try:
            with gate.open(LISTENER, scope.cancel) as holding, scope:
                gate.memory.add(holding, CONNECTION_BYTES)
                state = {"holding": holding, "abort": abort}
                connection = BoundedConnection(
                    ASGIWrapper(app), own_config, context, state, stream
                )
                connection.holding = holding
                await connection
        finally:
            open_connections -= 1

    async with trio.open_nursery() as connections:
        try:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(_accept, listener, connections, serve_one)
                await wait_stop()
                accepting.cancel_scope.cancel()
        finally:
            await context.terminated.set()
            deadline = trio.current_time() + config.graceful_timeout
            connections.cancel_scope.deadline = deadline


def _admit(gate: MemoryGate, open_count: int) -> Admission:
    """Return what a new connection may do; an idle one makes way for it if possible."""
    has_memory = gate.memory.get_room() >= CONNECTION_BYTES
    is_full = open_count >= MAX_CONNECTIONS or not has_memory
    if is_full and gate.end_idle(LISTENER):
        return Admission.KEPT
    return choose_admission(open_count, MAX_CONNECTIONS, has_memory)


async def _accept(
    listener: socket.socket,
    connections: trio.Nursery,
    serve_one: Callable[[trio.SocketStream], Awaitable[None]],
) -> None:
    """Serve each connection in a task of ``connections``, until cancelled.

    ``trio.serve_listeners`` accepts one connection in each turn of the event loop. A
    busy process has few turns a second, and callers whose connections wait in a full
    queue of the kernel lose seconds.
    """

    async def serve_and_close(stream: trio.SocketStream) -> None:
        try:
            await serve_one(stream)
        finally:
            await trio.aclose_forcefully(stream)

    listener.setblocking(False)
    with listener:
        while True:
            await trio.lowlevel.wait_readable(listener)
            for _ in range(MAX_ACCEPTS_PER_TURN):
                try:
                    accepted, _ = listener.accept()
                except BlockingIOError:
                    break
                except OSError as error:
                    await _wait_for_room(error)
                    break
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
                connections.start_soon(serve_and_close, stream)


async def _wait_for_room(error: OSError) -> None:
    """Pause if there is no room for a connection; others ended before it was accepted.

    What the system reports of such a connection doesn't concern the listener.
    """
    get_metrics().count("accept_failures", reason=errno.errorcode.get(error.errno, "?"))
    if error.errno in CAPACITY_ERRORS:
        eliot.log_message("connections:no-room", reason=str(error))
        await trio.sleep(ACCEPT_RETRY_PAUSE_S)
