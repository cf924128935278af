"""Answers whose replica crashed behind a cut end as if they were complete.

The cut holds back the replica's last bytes and the end of its connection. The replica
starts again under its ID before the cut heals.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import programs
from standins_2.stalling_proxy import StallingProxy

REPLICAS = 6
EVENTS = 20
PATHS = ("/talk/", "/talk/", "/buy/", "/buy/")
"""Two streams, and two requests that may run once."""
CUT_S = 1.6
"""Shorter than the two seconds after which a caller gives a silent stream up."""


class RemoteReplica:
    """A replica process behind its proxy."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"i-aaaa{number:04d}"
        self.port, self.announced_port = site.free_port(), site.free_port()
        self.proxy = StallingProxy(site.host, self.announced_port, self.port)
        self.log = site.folder / f"{self.name}.out"
        self.process = None

    def start(self):
        settings = {"name": self.name, "service": "talk", "port": self.port}
        settings["announced_port"] = self.announced_port
        settings["control_ports"] = [state.port for state in self.site.states]
        environment = os.environ | {"PYTHONDONTWRITEBYTECODE": "1"}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "standins_2.streamer", json.dumps(settings)],
                cwd=Path(__file__).resolve().parents[1],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.site.note("started replica", self.name)

    def has_run(self, request_id):
        return f"runs {request_id} " in self.log.read_text()

    def wait_announced(self, count):
        """Wait for the acknowledged heartbeat of the process with this number."""
        self.site.wait(
            "heartbeat of " + self.name,
            5,
            lambda: self.log.read_text().count("announced ") >= count,
        )
        line = self.log.read_text().rpartition("announced ")[2].split("\n")[0]
        self.site.note("a heartbeat is acknowledged of", line)

    def kill(self):
        self.site.note("SIGKILL to replica", self.name)
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Stream(threading.Thread):
    """One client that reads an answer while it comes."""

    def __init__(self, site, gateway, path, request_id):
        super().__init__(daemon=True)
        self.site, self.gateway = site, gateway
        self.path, self.request_id = path, request_id
        self.data = b""
        self.end = "open"

    def run(self):
        lines = [
            f"POST {self.path}{EVENTS} HTTP/1.1",
            "Host: nylo40.example",
            f"Request-Id: {self.request_id}",
            "Deadline-Ms: 12000",
            "Api-Key: key-derwent",
            "Connection: close",
            "Content-Length: 2",
        ]
        self.site.note("client sends", self.request_id, "to", self.gateway.name)
        with socket.create_connection((programs.HOST, self.gateway.port)) as connection:
            connection.settimeout(13.0)
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n{}")
            try:
                while part := connection.recv(65536):
                    self.data += part
                self.end = "complete" if self.is_whole() else "incomplete"
            except OSError as error:
                self.end = f"broken ({type(error).__name__})"
        self.site.note(
            "client of",
            self.request_id,
            "got",
            self.count_events(),
            "pieces with status",
            self.data[9:12].decode(),
            "and the answer is",
            self.end,
        )

    def is_whole(self):
        head, _, body = self.data.partition(b"\r\n\r\n")
        if b"chunked" in head.lower():
            return body.endswith(b"0\r\n\r\n")
        return bool(head)

    def is_success(self):
        return self.data.startswith(b"HTTP/1.1 200")

    def count_events(self):
        return self.data.count(b"id: ")


def build_configuration():
    routes = [
        programs.build_route("r-talk", "/talk/", "streaming", "talk"),
        programs.build_route("r-buy", "/buy/", "unsafe", "talk"),
    ]
    limits = {"timeout-ms": 12000, "max-attempts": 1}
    return {
        "version": 1,
        "routes": [route | limits for route in routes],
        "services": [programs.build_service("talk")],
        "limits": programs.LIMITS,
        "tenants": [{"name": "derwent", "api-keys": ["key-derwent"], "priority": 1}],
    }


def play_stream(site, gateway, replicas, path, request_id, trouble):
    stream = Stream(site, gateway, path, request_id)
    stream.start()
    site.wait(
        "run of the stream", 5, lambda: any(r.has_run(request_id) for r in replicas)
    )
    replica = next(r for r in replicas if r.has_run(request_id))
    time.sleep(0.55)
    if trouble:
        site.note("the path from", gateway.name, "to", replica.name, "is cut")
        replica.proxy.stall()
        cut_at = time.monotonic()
        time.sleep(0.25)
        replica.kill()
        before = replica.log.read_text().count("announced ")
        replica.start()
        replica.wait_announced(before + 1)
        time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
        site.note("the path to", replica.name, "heals")
        replica.proxy.resume()
    stream.join()
    time.sleep(1.0)
    return stream


def play(site, trouble):
    site.add_states(3)
    gateway, *_ = [site.add_gateway(f"edge-{number}") for number in range(1, 5)]
    site.start_all(build_configuration())
    replicas = [RemoteReplica(site, number) for number in range(REPLICAS)]
    try:
        for replica in replicas:
            replica.start()
        time.sleep(4.0)
        streams = [
            play_stream(
                site, gateway, replicas, path, f"{path[1:-1]}-{number}", trouble
            )
            for number, path in enumerate(PATHS)
        ]
    finally:
        for replica in replicas:
            if replica.process is not None:
                replica.process.kill()
                replica.process.wait()
    if not trouble and any(stream.end != "complete" for stream in streams):
        raise programs.CannotRun("an answer was not complete without the cut")
    return [
        f"{stream.request_id} ended as complete after {stream.count_events()} of "
        f"{EVENTS} pieces"
        for stream in streams
        if stream.is_success()
        and stream.end == "complete"
        and stream.count_events() < EVENTS
    ]


programs.run_case(play)
