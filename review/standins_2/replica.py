"""Stand-in for a replica of a service, which serves in a thread of the case's process.

It speaks what PROTOCOL.md says of replicas: heartbeats, ``Expect-Instance``, one
request at a time on a connection, ``/healthz`` and ``/report``. It keeps a list of what
it ran.
"""

import asyncio
import contextlib
import http.client
import json
import threading
import time
import urllib.parse

HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0


class Replica:
    """One replica; ``handler`` may replace how a request is run."""

    def __init__(
        self, site, name, service, port, control_ports, models=(), handler=None
    ):
        self.site, self.name, self.service, self.port = site, name, service, port
        self.control_ports = control_ports
        self.announced_port = port
        self.models = [{"name": m, "version": 1, "adapters": []} for m in models]
        self.handler = handler or self.answer_plainly
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.announces = True
        self.heartbeat_port = None
        self.is_known = False
        self.runs = []
        self.is_open = True
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()

    # Control calls.

    def call_control(self, method, body=None):
        """Call the daemons in turn; return whether one acknowledged the call."""
        path = f"/instances/{self.name}"
        data = json.dumps(body).encode() if body is not None else None
        ports = [self.heartbeat_port] if self.heartbeat_port else []
        for port in [*ports, *self.control_ports]:
            for _ in range(3):
                status, answer, location = _call(port, method, path, data)
                if status != 307 or not location:
                    break
                port = urllib.parse.urlsplit(location).port
            if 200 <= status < 300:
                address = json.loads(answer or b"{}").get("heartbeat-addr", "")
                self.heartbeat_port = (
                    int(address.rpartition(":")[2]) if address else None
                )
                return True
            self.heartbeat_port = None
        return False

    def announce(self):
        """Send one heartbeat; return whether any was acknowledged so far."""
        self.sequence += 1
        self.is_known |= self.call_control(
            "PUT",
            {
                "service": self.service,
                "address": f"{self.site.host}:{self.announced_port}",
                "zone": "leith",
                "version": "v1",
                "slots": 32,
                "state": self.state,
                "cold-remaining-ms": 0,
                "stage": "colocated",
                "models": self.models,
                "born": self.born,
                "sequence": self.sequence,
            },
        )
        return self.is_known

    def _announce_steadily(self):
        while self.is_open:
            if self.announces:
                self.announce()
            time.sleep(HEARTBEAT_S)

    def leave(self):
        """Send the departure; the replica goes on serving until ``stop``."""
        self.announces = False
        acknowledged = self.call_control("DELETE")
        self.site.note(
            "departure of", self.name, "acknowledged" if acknowledged else "unanswered"
        )
        return acknowledged

    # Serving.

    def start(self):
        """Listen, and begin to announce."""
        threading.Thread(target=self._run_loop, daemon=True).start()
        self._ready.wait()
        threading.Thread(target=self._announce_steadily, daemon=True).start()

    def _run_loop(self):
        asyncio.set_event_loop(self._loop)
        self._server = self._loop.run_until_complete(
            asyncio.start_server(self._serve, self.site.host, self.port)
        )
        self._ready.set()
        self._loop.run_forever()

    def stop(self):
        """End the replica: it listens no longer and its connections close."""
        self.is_open = False

        def close():
            self._server.close()
            for task in asyncio.all_tasks(self._loop):
                task.cancel()
            self._loop.call_later(0.05, self._loop.stop)

        self._loop.call_soon_threadsafe(close)
        self.site.note("replica", self.name, "ended")

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    key, _, value = line.partition(":")
                    if key:
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, writer, method, path, headers, body):
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.name) != self.name:
            await self.send(
                writer,
                "421 Misdirected Request",
                {"Not-Executed": "1"},
                b"",
                request_id,
            )
        elif not request_id and path == "/report":
            await self.send(writer, "200 OK", {}, json.dumps(self.report()).encode())
        elif not request_id and path == "/order":
            await self.order(writer, headers, body)
        elif not request_id:
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            await self.send(writer, status, {}, b"")
        else:
            await self.handler(writer, method, path, headers, body)

    def report(self):
        """Return the body of the answer to ``GET /report``."""
        report = {
            "stage": "colocated",
            "models": self.models,
            "busy": False,
            "sequence": 0,
        }
        report |= {
            "queued": 0,
            "active": 0,
            "kv-used": 0,
            "kv-total": 79169,
            "handles": 0,
        }
        return report | {"born": self.born, "state": self.state}

    async def order(self, writer, headers, body):
        """Answer an order; a plain replica knows none."""
        await self.send(writer, "400 Bad Request", {}, b"{}")

    def record_run(self, method, path, headers, body, **more):
        """Record that a request begins to run here."""
        run = {
            "at": time.monotonic(),
            "id": headers["request-id"],
            "replica": self.name,
        }
        run |= {"service": self.service, "method": method, "path": path}
        run |= {"headers": headers, "body": body} | more
        self.runs.append(run)
        self.site.note(
            "runs", run["id"], "at", self.name, f"({self.service})", *more.items()
        )
        return run

    async def answer_plainly(self, writer, method, path, headers, body):
        """Run a request and answer it with a body of its own."""
        self.record_run(method, path, headers, body)
        await asyncio.sleep(0.005)
        await self.send_run(
            writer, headers, f"{self.name} ran {headers['request-id']}".encode()
        )

    async def send_run(self, writer, headers, body, status="200 OK", more=None):
        """Send the answer of a run, with its signature."""
        own = {"Response-Signature": f"{self.name}.{headers['request-id']}"} | (
            more or {}
        )
        await self.send(writer, status, own, body, headers["request-id"])

    async def send(self, writer, status, headers, body, request_id=""):
        """Send an answer with a length."""
        headers = {"Instance-Id": self.name, "Content-Length": len(body)} | headers
        headers["Server-Load"] = "1,0,32"
        if request_id:
            headers["Request-Id"] = request_id
        lines = [f"HTTP/1.1 {status}", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


def _call(port, method, path, data):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=CALL_TIMEOUT_S)
    headers = {"Content-Type": "application/json"} if data else {}
    try:
        connection.request(method, path, body=data, headers=headers)
        answer = connection.getresponse()
        return answer.status, answer.read(), answer.getheader("Location", "")
    except (OSError, http.client.HTTPException):
        return 0, b"", ""
    finally:
        connection.close()
