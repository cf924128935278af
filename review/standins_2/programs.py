"""Starts the project's programs for one case, and plays its operator and its clients.

The programs run with the commands of the deploy file, with settings as its templates
give them for a small deployment, on loopback addresses and free ports. Everything that
was sent, answered and run goes into ``record.txt``.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CLUSTER_KEY = "a-key-of-this-case"
CONTACT_S, CONFIG_S, DRAIN_S = 3.0, 2.0, 2.0
"""``contact-ms``, ``config-ms`` and ``drain-ms`` of the first sites, in seconds."""
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""


class CannotRun(Exception):
    """The case did not come to the point that it is about."""


class Program:
    """One process of the system."""

    def __init__(self, site, name, role, settings):
        self.site, self.name, self.role, self.settings = site, name, role, settings
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        file = self.site.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.settings))
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["MEDLARRAIL_BOOT"] = str(file)
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "medlarrail.platform", self.role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.site.note("started", self.name)

    def signal(self, number):
        """Send a signal to the process."""
        self.site.note(signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def read_log(self):
        """Return the log lines that are JSON."""
        lines = (self.site.folder / f"{self.name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Site:
    """The processes of one case, its operator and its clients."""

    host = HOST

    def __init__(self, record):
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.began_at = time.monotonic()
        self.record = record.open("w")
        self.programs, self.states, self.gateways, self.replicas = [], [], [], []
        self._ports = set()
        self._lock = threading.Lock()

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self.began_at

    def note(self, *words):
        """Write one line to the record."""
        with self._lock:
            print(f"{self.now():8.3f}", *words, file=self.record, flush=True)

    def free_port(self):
        """Return a port that nothing listens on."""
        while True:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                port = probe.getsockname()[1]
            if port not in self._ports:
                self._ports.add(port)
                return port

    # Programs.

    def add_states(self, count):
        """Add the state members of a system that starts for the first time."""
        ports = [self.free_port() for _ in range(count)]
        for number, port in enumerate(ports, 1):
            name = f"core-{number}"
            settings = {
                "name": name,
                "data_centre": "leith",
                "listen": {"host": HOST, "port": 0, "url": f"http://{HOST}:{port}"},
                "keys": {"cluster": CLUSTER_KEY},
                "data_folder": str(self.folder / name),
                "seeds": [f"http://{HOST}:{seed}" for seed in ports[:3]],
                "first_start": True,
                "metrics_address": f"{HOST}:{self.free_port()}",
                "memory_limit_mb": 296,
                "rollout": {"at_once": 3},
            }
            state = Program(self, name, "state", settings)
            state.port = port
            self.states.append(state)
            self.programs.append(state)

    def add_gateway(self, name):
        """Add a gateway."""
        front, ready, directory, metrics, work = (self.free_port() for _ in range(5))
        settings = {
            "name": name,
            "data_centre": "leith",
            "listen": {"host": HOST, "port": 0, "url": f"http://{HOST}:{front}"},
            "keys": {"cluster": CLUSTER_KEY},
            "state_urls": [f"http://{HOST}:{state.port}" for state in self.states[:3]],
            "health_address": f"{HOST}:{ready}",
            "directory_address": f"{HOST}:{directory}",
            "metrics_address": f"{HOST}:{metrics}",
            "memory_limit_mb": 300,
            "work_address": f"{HOST}:{work}",
            "isolation": {"mode": "last-known"},
            "retries": {"window_s": 10, "ratio": 0.2, "slack": 54},
        }
        gateway = Program(self, name, "gateway", settings)
        gateway.port, gateway.ready_port = front, ready
        self.gateways.append(gateway)
        self.programs.append(gateway)
        return gateway

    def start_all(self, configuration):
        """Start the processes and wait until the gateways are ready."""
        for program in self.programs:
            program.start()
        self.configure(configuration, limit_s=40)
        for gateway in self.gateways:
            self.wait("readiness of " + gateway.name, 20, lambda g=gateway: is_ready(g))

    def wait(self, what, limit_s, condition):
        """Wait until a condition holds; raises ``CannotRun`` after ``limit_s``."""
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"no {what} within {limit_s} s")
            time.sleep(0.05)

    def end(self):
        """End all processes, also suspended ones."""
        for replica in self.replicas:
            replica.is_open = False
        for program in self.programs:
            if program.process is not None and program.process.poll() is None:
                program.process.kill()
                program.process.wait()
        self.note("all processes have ended")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def operate(self, method, path, body=None, limit_s=10.0, states=None):
        """Make a call as the operator does; return its status and answer.

        It follows a 307 twice and moves on to another daemon after a failure, a 5xx or
        a second without a response. The status is 0 if no response was clear.
        """
        ports = [state.port for state in states or self.states]
        end = time.monotonic() + limit_s
        attempt = 0
        while time.monotonic() < end:
            port = ports[attempt % len(ports)]
            attempt += 1
            for _ in range(3):
                status, answer, headers = call(port, method, path, body)
                if status != 307:
                    break
                port = urllib.parse.urlsplit(headers["location"]).port
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self.note("operator:", method, path, "->", status)
                return status, answer
            time.sleep(min(0.05 * attempt, 0.5))
        self.note("operator:", method, path, "-> no clear response")
        return 0, b""

    def configure(self, configuration, limit_s=10.0):
        """Send a configuration; raises ``CannotRun`` unless it is acknowledged."""
        body = json.dumps(configuration).encode()
        self.note("operator sends version", configuration["version"])
        if self.operate("PUT", "/config", body, limit_s)[0] != 200:
            raise CannotRun("a configuration was not acknowledged")

    def find_leader(self):
        """Return the state member that takes the operator's calls itself."""
        for state in self.states:
            if (
                state.process.poll() is None
                and call(state.port, "GET", "/config")[0] == 200
            ):
                return state
        raise CannotRun("no state member leads")

    # Clients.

    def request(
        self, gateway, method, path, request_id, headers=None, body=None, limit_s=5.0
    ):
        """Send one request on a new connection; return status, answer, headers."""
        deadline = {"Request-Id": request_id, "Deadline-Ms": str(int(limit_s * 1000))}
        sent = {"Host": "nylo40.example"} | deadline | (headers or {})
        self.note(
            "client sends", request_id, method, path, "to", gateway.name, headers or ""
        )
        status, answer, got = call(gateway.port, method, path, body, sent, limit_s)
        signature = got.get("response-signature", "none")
        self.note(
            "client gets", request_id, status or "no answer,", "signature", signature
        )
        return status, answer, got


def is_ready(gateway):
    """Return whether a gateway says that it is ready."""
    return call(gateway.ready_port, "GET", "/readyz")[0] == 200


def call(port, method, path, body=None, headers=None, limit_s=1.0):
    """Make one HTTP call; return status, body and headers, with status 0 for none."""
    connection = http.client.HTTPConnection(HOST, port, timeout=limit_s)
    if body is not None:
        headers = {"Content-Type": "application/json"} | (headers or {})
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, data, {k.lower(): v for k, v in answer.getheaders()}
    except (OSError, http.client.HTTPException):
        return 0, b"", {}
    finally:
        connection.close()


def build_route(name, prefix, kind, service, **more):
    """Return a route of a configuration."""
    route = {
        "name": name,
        "host": "nylo40.example",
        "path-prefix": prefix,
        "kind": kind,
    }
    route |= {"timeout-ms": 5000, "target-latency-ms": 200, "priority": 1}
    route |= {"service": service, "max-attempts": 2, "public": False, "sticky": False}
    return route | {"resumable": False, "target-gap-ms": 400} | more


def build_service(name, **more):
    """Return a service of a configuration."""
    service = {"name": name, "health-path": "/healthz", "max-connections": 100}
    service |= {"protocol": "h1", "tls": False, "cold-start-s": 0.0, "cold-per-s": 0.0}
    return service | more


LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def run_case(play):
    """Run ``play(site, trouble)`` and exit with 1 if it returns violations.

    The environment variable ``TROUBLE=0`` leaves the disruption out.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Site(Path(sys.argv[1]))
    code = NOT_RUN
    try:
        site.note("the disruption is", "played" if trouble else "left out")
        violations = play(site, trouble)
        for violation in violations:
            site.note("VIOLATION:", violation)
        code = BROKEN if violations else HELD
    except CannotRun as error:
        site.note("the case could not run:", error)
    except Exception:
        site.note("the case could not run:", traceback.format_exc())
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    site.note("result:", verdict[code])
    site.end()
    sys.stdout.write(verdict[code] + "\n")
    sys.stdout.flush()
    os._exit(code)
