"""A TCP proxy in front of one replica that can hold back what passes it.

While it is stalled, bytes and the ends of connections wait, as those that a partition
holds up do, and arrive in their order when it heals.
"""

import contextlib
import socket
import threading

PART_BYTES = 65536


class StallingProxy:
    """Forwards connections from ``port`` to ``target_port``."""

    def __init__(self, host, port, target_port):
        self.host, self.target_port = host, target_port
        self._passable = threading.Event()
        self._passable.set()
        self._listener = socket.create_server((host, port), backlog=64)
        threading.Thread(target=self._accept, daemon=True).start()

    def stall(self):
        """Hold back everything from now on."""
        self._passable.clear()

    def resume(self):
        """Pass on what was held back."""
        self._passable.set()

    def _accept(self):
        while True:
            caller, _ = self._listener.accept()
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller):
        self._passable.wait()
        try:
            target = socket.create_connection((self.host, self.target_port))
        except OSError:
            caller.close()
            return
        for one, other in ((caller, target), (target, caller)):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._forward, args=(one, other), daemon=True
            ).start()

    def _forward(self, source, sink):
        with contextlib.suppress(OSError):
            while part := source.recv(PART_BYTES):
                self._passable.wait()
                sink.sendall(part)
            self._passable.wait()
            sink.shutdown(socket.SHUT_WR)
