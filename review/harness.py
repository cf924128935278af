"""Stand-ins and process control for the scripted cases, with the standard library only.

Starts the programs with the commands of the deploy file and with the settings that the
deploy templates give, each machine at a loopback address of its own. Clients, replicas
and the operator follow the users' protocol page.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
EXIT_BROKEN = 10
START_TIMEOUT_S = 30.0
HEARTBEAT_S = 1.2
CALL_TIMEOUT_S = 1.0
GRACE_S = 8.0
DRAIN_S = 2.0
CONTACT_S = 3.0
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
HOST = "nylo40.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunnable(Exception):
    """The case could not run."""


class Record:
    """Writes one line of JSON for each event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, **fields):
        self.file.write(
            json.dumps({"t": round(self.now(), 3), "what": what, **fields}) + "\n"
        )
        self.file.flush()


class Message:
    """One HTTP message; ``complete`` tells whether its end was received."""

    def __init__(self, first="", headers=None, body=b"", complete=False):
        self.first = first
        self.headers = headers or {}
        self.body = body
        self.complete = complete

    @property
    def status(self):
        return int(self.first.split(" ")[1]) if self.first else 0

    def get(self, name, default=""):
        return self.headers.get(name, default)


async def read_message(reader, on_part=None):
    """Return a message; an incomplete one if the connection ends within it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Message()
    lines = head.decode("latin1").split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            message.headers[name.strip().lower()] = value.strip()
    try:
        if message.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                part = (await reader.readexactly(size + 2))[:-2]
                message.body += part
                if on_part and part:
                    on_part(part)
                if not size:
                    break
        else:
            size = int(message.get("content-length", "0"))
            message.body = await reader.readexactly(size)
        message.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return message


async def call(method, url, body=None, headers=None, timeout_s=CALL_TIMEOUT_S):
    """Make one control call; return the answer, or None without one in time."""
    address, _, path = url.removeprefix("http://").partition("/")
    host, _, port = address.partition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} /{path} HTTP/1.1",
        f"Host: {address}",
        f"Content-Length: {len(data)}",
        "Content-Type: application/json",
        "Connection: close",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            answer = await read_message(reader)
            return answer if answer.complete else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_control(method, path, urls, body=None):
    """Call the members in turn, following two redirects; return answer and URL."""
    for url in urls:
        target = url + path
        for _ in range(3):
            answer = await call(method, target, body)
            if answer is None or answer.status != 307:
                break
            target = answer.get("location")
        if answer is not None and 200 <= answer.status < 300:
            return answer, target.removesuffix(path)
    return None, ""


class Deployment:
    """Three state members and some gateways as separate processes."""

    def __init__(self, record, states=3, gateways=3):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="medlarrail-review-"))
        high, low = divmod(os.getpid(), 200)
        self.net = f"127.{60 + high % 60}.{low + 1}"
        self.processes = {}
        self.settings = {}
        self.control_port, self.front_port, self.ready_port, self.directory_port = (
            self.find_ports(4)
        )
        self.work_port = self.find_ports(1)[0]
        self.state_names = [f"core-{n + 1}" for n in range(states)]
        self.gateway_names = [f"edge-{n + 1}" for n in range(gateways)]
        self.ips = {
            name: f"{self.net}.{10 + n}"
            for n, name in enumerate(self.state_names + self.gateway_names)
        }
        self.zones = ["leith", "perth", "tay"]
        self.zone_numbers = {
            name: n % 3
            for names in (self.state_names, self.gateway_names)
            for n, name in enumerate(names)
        }
        self.first_seeds = self.control_urls[:3]
        self.seeds = {}

    def find_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        for probe in sockets:
            probe.bind((f"{self.net}.9", 0))
        ports = [probe.getsockname()[1] for probe in sockets]
        for probe in sockets:
            probe.close()
        return ports

    def add_state(self, name, zone_number, seeds):
        """Start a new core machine with an empty disk at an address of its own."""
        self.ips[name] = f"{self.net}.{10 + len(self.ips)}"
        self.state_names.append(name)
        self.zone_numbers[name] = zone_number
        self.seeds[name] = [self.control_url(seed) for seed in seeds]
        self.start(name)

    def remove_state(self, name):
        """Remove a core machine for good."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()
        self.state_names.remove(name)

    def control_url(self, name):
        return f"http://{self.ips[name]}:{self.control_port}"

    @property
    def control_urls(self):
        return [self.control_url(name) for name in self.state_names]

    def front(self, name):
        return f"{self.ips[name]}:{self.front_port}"

    def write_settings(self, name, first_start):
        """Write the file that the platform makes from the deploy templates."""
        ip = self.ips[name]
        common = {
            "name": name,
            "data_centre": self.zones[self.zone_numbers[name]],
            "keys": {"cluster": "replace-before-exposing-2f9c51"},
        }
        if name not in self.gateway_names:
            settings = {
                **common,
                "listen": {"host": ip, "port": 0, "url": self.control_url(name)},
                "data_folder": str(self.folder / name / "data"),
                "seeds": self.seeds.get(name, self.first_seeds),
                "first_start": first_start,
                "metrics_address": f"{ip}:9465",
                "rollout": {"at_once": 3},
            }
        else:
            settings = {
                **common,
                "listen": {"host": ip, "port": 0, "url": f"http://{self.front(name)}"},
                "state_urls": self.first_seeds,
                "health_address": f"{ip}:{self.ready_port}",
                "directory_address": f"{ip}:{self.directory_port}",
                "metrics_address": f"{ip}:9464",
                "work_address": f"{ip}:{self.work_port}",
                "isolation": {"mode": "last-known"},
                "retries": {"window_s": 10, "ratio": 0.2, "slack": 54},
            }
        (self.folder / name).mkdir(exist_ok=True)
        path = self.folder / name / "node.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, name, first_start=False):
        """Start one process with the command of the deploy file."""
        path = self.write_settings(name, first_start)
        role = "gateway" if name in self.gateway_names else "state"
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "MEDLARRAIL_BOOT": str(path),
        }
        with open(self.folder / name / "log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "medlarrail.platform", role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("started", process=name)

    def signal(self, name, number):
        self.record.write("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def start_all(self):
        if not (ROOT / "target" / "deps").is_dir():
            raise NotRunnable("the deploy file's build has not run")
        for name in self.state_names + self.gateway_names:
            self.start(name, first_start=True)

    def find_ended(self):
        """Return the exit codes of processes that have ended."""
        ended = {name: process.poll() for name, process in self.processes.items()}
        return {name: code for name, code in ended.items() if code is not None}

    def count_promotions(self):
        """Return how many members the logs say have become voters after the seeds."""
        logs = [self.folder / name / "log" for name in self.state_names]
        return sum(log.read_text().count('"reason":"promoted"') for log in logs)

    async def is_ready(self, name):
        answer = await call("GET", f"http://{self.ips[name]}:{self.ready_port}/readyz")
        return answer is not None and answer.status == 200

    async def configure(self, document):
        """Send a configuration until it is acknowledged and all gateways are ready."""
        until = time.monotonic() + START_TIMEOUT_S
        acknowledged = False
        while time.monotonic() < until:
            if not acknowledged:
                answer, _ = await call_control(
                    "PUT", "/config", self.control_urls, document
                )
                acknowledged = answer is not None
            ready = [await self.is_ready(name) for name in self.gateway_names]
            if acknowledged and all(ready):
                self.record.write("ready")
                return
            await asyncio.sleep(0.3)
        raise NotRunnable("the deployment did not become ready")

    async def find_leader(self):
        """Return the member that answers a read of the configuration itself."""
        for name in self.state_names:
            answer = await call("GET", self.control_url(name) + "/config")
            if answer is not None and answer.status == 200:
                return name
        return ""

    def stop(self):
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Replica:
    """A replica that answers requests with events, and announces itself."""

    def __init__(self, record, deployment, number, service, event_s=0.1, **announced):
        self.record = record
        self.deployment = deployment
        self.name = f"i-{number:08x}"
        self.ip = f"{deployment.net}.{50 + number}"
        self.service = service
        self.event_s = event_s
        self.announced = announced
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.active = 0
        self.runs = {}
        self.run_times = []
        self.server = None
        self.task = None
        self.port = 0
        self.unfinished = {}
        """Tasks that serve requests, by the ID of the request."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self.beat_steadily())

    def build_beat(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "leith",
            "version": "v1",
            "slots": 32,
            "state": self.state,
            "cold-remaining-ms": 0,
            "born": self.born,
            "sequence": self.sequence,
            **self.announced,
        }

    async def beat(self, urls=None):
        answer, url = await call_control(
            "PUT",
            f"/instances/{self.name}",
            urls or self.deployment.control_urls,
            self.build_beat(),
        )
        return answer, url

    async def beat_steadily(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def end(self):
        """End the process of this replica; return the requests that it breaks off."""
        if self.task is not None:
            self.task.cancel()
        self.server.close()
        broken_off = list(self.unfinished)
        for task in self.unfinished.values():
            task.cancel()
        for request_id in broken_off:
            self.record.write("broken-off", replica=self.name, id=request_id)
        return broken_off

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)).complete:
                await self.answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        _method, path, _version = request.first.split(" ")
        if path == "/report":
            report = {
                "stage": "colocated",
                "models": self.announced.get("models", []),
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "active": self.active,
                "kv-used": 0,
                "kv-total": 90000,
                "handles": 0,
                "born": self.born,
            }
            return await self.send(writer, request, "200 OK", json.dumps(report))
        expected = request.get("expect-instance")
        if expected and expected != self.name:
            return await self.send(
                writer, request, "421 Misdirected Request", "", {"Not-Executed": "1"}
            )
        request_id = request.get("request-id")
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.run_times.append((self.record.now(), request_id))
        self.record.write("run", replica=self.name, id=request_id)
        self.active += 1
        self.unfinished[request_id] = asyncio.current_task()
        try:
            if "token-usage" in request.headers:
                await self.stream(request, writer)
            else:
                await asyncio.sleep(self.event_s)
                await self.send(
                    writer, request, "200 OK", "x" * 800, self.sign(request_id)
                )
        finally:
            self.active -= 1
            self.unfinished.pop(request_id, None)

    def sign(self, request_id):
        return {"Response-Signature": f"{self.name}.{request_id}"}

    async def send(self, writer, request, status, body, headers=None):
        data = body.encode()
        fields = {
            "Request-Id": request.get("request-id"),
            "Instance-Id": self.name,
            "Content-Length": len(data),
            "Server-Load": f"{self.active},0,32",
            **(headers or {}),
        }
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()

    async def stream(self, request, writer):
        """Send as many events as the request asks for at most."""
        request_id = request.get("request-id")
        count = int(request.get("token-usage").split(",")[1])
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nInstance-Id: {self.name}"
            f"\r\nResponse-Signature: {self.name}.{request_id}"
            f"\r\nServer-Load: {self.active},0,32\r\nWeight-Versions: 1"
            "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        sent = 0
        try:
            for number in range(1, count + 1):
                await asyncio.sleep(self.event_s)
                event = f"id: {number}\ndata: {number} of {count}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                sent = number
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.record.write(
                "run-end", replica=self.name, id=request_id, events=sent, of=count
            )


class Client:
    """A client that keeps an answer of the directory for ``keep_s`` seconds."""

    def __init__(self, record, deployment, keep_s, seed):
        self.record = record
        self.deployment = deployment
        self.keep_s = keep_s
        self.random = random.Random(seed)
        self.addresses = []
        self.failed = set()
        """Addresses that failed since the answer."""
        self.resolved_at = float("-inf")

    async def resolve(self):
        """Ask the directory if the answer is too old; it stays if there is no new."""
        if time.monotonic() - self.resolved_at < self.keep_s:
            return
        names = list(self.deployment.gateway_names)
        self.random.shuffle(names)
        for name in names:
            ip = self.deployment.ips[name]
            url = f"http://{ip}:{self.deployment.directory_port}/resolve"
            answer = await call("GET", f"{url}?name={HOST}&region=scot-east&zone=leith")
            if answer is not None and answer.status == 200:
                self.addresses = json.loads(answer.body)["addresses"]
                self.failed.clear()
                self.resolved_at = time.monotonic()
                return

    async def send(self, request_id, path, headers, method="POST", address=""):
        """Send one request on a new connection; return what became of it."""
        await self.resolve()
        usable = [one for one in self.addresses if one not in self.failed]
        address = address or self.random.choice(usable or self.addresses)
        outcome = {
            "id": request_id,
            "address": address,
            "sent_at": self.record.now(),
            "events": 0,
            "status": 0,
            "complete": False,
        }
        host, _, port = address.partition(":")
        body = b"{}" if method == "POST" else b""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Api-Key: {KEY}",
            f"Content-Length: {len(body)}",
        ]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.record.write("sent", id=request_id, address=address, **headers)

        def count(part):
            outcome["events"] += part.count(b"id: ")

        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1.0
            )
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            limit_s = int(headers["Deadline-Ms"]) / 1000
            answer = await asyncio.wait_for(read_message(reader, count), limit_s)
            outcome["status"] = answer.status
            outcome["complete"] = answer.complete
            outcome["signature"] = answer.get("response-signature")
        except TimeoutError:
            outcome["timeout"] = True
        except OSError as error:
            outcome["error"] = type(error).__name__
            self.failed.add(address)
        finally:
            if writer is not None:
                writer.close()
        outcome["ended_at"] = self.record.now()
        self.record.write("answered", **outcome)
        return outcome


def build_document(routes, services):
    """Return a configuration with one tenant."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }


def run_case(folder, play):
    """Run ``play(record, deployment)``; exit with what the case found.

    ``run.sh`` turns ``EXIT_BROKEN`` into 1, and anything unknown into 2: an error of
    a stand-in, for which Python exits with 1, is no broken rule.
    """
    record = Record(folder)
    deployment = None
    code = NOT_RUN

    async def run():
        nonlocal deployment
        deployment = play.build(record)
        deployment.start_all()
        return await play.run(record, deployment)

    # The processes are ended below, also if this one is asked to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = asyncio.run(asyncio.wait_for(run(), 110))
    except Exception as error:
        record.write("not-run", reason=repr(error))
    finally:
        if deployment is not None:
            deployment.stop()
    record.write("result", code=code)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(EXIT_BROKEN if code == BROKEN else code)
