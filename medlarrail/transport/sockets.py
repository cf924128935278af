"""Socket options that close connections to unresponsive peers."""

import select
import socket
import struct

import trio

KERNEL_BUFFER_BYTES = 65536
"""Size of a connection's kernel buffers, which the kernel doubles for its own needs:
enough for 4 MB within four seconds at a round trip of 60 ms."""
LISTEN_BACKLOG = 512
"""Maximum number of connections waiting to be accepted."""


def set_dead_peer_timeouts(
    sock, user_timeout_ms: int, idle_s: int, interval_s: int, probes: int
) -> None:
    """Make the kernel close a connection whose peer stops acknowledging data.

    ``user_timeout_ms`` bounds the time that sent data stays unacknowledged. After
    ``idle_s`` seconds without traffic, a keep-alive probe is sent every
    ``interval_s`` seconds. The first probe after ``user_timeout_ms`` without an answer
    closes the connection: while a user timeout is set, the kernel ignores the number
    of ``probes``.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, probes)


def set_reset_on_close(sock, reset: bool) -> None:
    """Set whether closing the connection, or ending the process, resets it."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", reset, 0))


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a listening socket on ``host:port``."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener


def limit_kernel_buffers(listener: socket.socket) -> None:
    """Limit what the kernel keeps for each connection that ``listener`` accepts.

    By default its buffers grow to megabytes for a peer that sends or does not read.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


def is_closed_by_peer(stream: trio.SocketStream) -> bool:
    """Return whether the peer has closed or reset a connection, without reading."""
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


async def connect(
    host: str, port: int, timeout_s: float, user_timeout_ms: int
) -> trio.SocketStream | None:
    """Return a connection, or None if it cannot be made within ``timeout_s``."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_dead_peer_timeouts(sock, user_timeout_ms, idle_s=1, interval_s=1, probes=2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        with trio.move_on_after(timeout_s):
            await sock.connect((host, port))
            return trio.SocketStream(sock)
    except OSError:
        pass
    sock.close()
    return None
