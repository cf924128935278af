"""A replica as a process of its own, which answers with streams without a length.

Example: ``python3 -m standins_2.streamer '{"name": "i-1", ...}'``. It writes the ID of
each request that it runs to its standard output.
"""

import asyncio
import contextlib
import json
import sys
import threading
import time

from standins_2.replica import Replica

EVENT_S = 0.1


class Streamer(Replica):
    """Sends an event every tenth of a second, and closes the connection at the end."""

    def __init__(self, *args):
        super().__init__(*args)
        self.handler = self.stream

    async def stream(self, writer, method, path, headers, body):
        """Send the events whose number the path names."""
        self.record_run(method, path, headers, body)
        count = int(path.rpartition("/")[2])
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {headers['request-id']}",
            f"Instance-Id: {self.name}",
            f"Response-Signature: {self.name}.{headers['request-id']}",
            "Content-Type: text/event-stream",
            "Connection: close",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(int(headers.get("last-event-id", 0)) + 1, count + 1):
            writer.write(f"id: {number}\ndata: {self.name} {number}\n\n".encode())
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.close()
        raise asyncio.CancelledError


class Announcing:
    """What a replica needs of its site."""

    host = "127.0.0.1"

    def note(self, *words):
        """Print one line."""
        print(*words, flush=True)


def main():
    """Serve until the process is ended."""
    settings = json.loads(sys.argv[1])
    replica = Streamer(
        Announcing(),
        settings["name"],
        settings["service"],
        settings["port"],
        settings["control_ports"],
    )
    replica.announced_port = settings["announced_port"]
    replica.start()
    while not replica.is_known:
        time.sleep(0.01)
    replica.site.note("announced", replica.name, "started at", replica.born)
    threading.Event().wait()


if __name__ == "__main__":
    main()
