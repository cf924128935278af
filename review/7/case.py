"""A gateway sends requests to a replica that has left, after a change of the leader.

The gateway is frozen while the departure of the replica is acknowledged. The machine
that acknowledged it loses power before the gateway goes on.
"""

import asyncio
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import programs
from standins_2.replica import Replica

REPLICAS = ("i-aaaa0001", "i-aaaa0002", "i-aaaa0003")
SERVES_ON_S = 4.8
"""Time for which the leaving replica goes on after the acknowledgement."""
RUN_S = 0.15


class Box(Replica):
    """A replica whose runs take a moment, and are lost if it ends before them."""

    def __init__(self, *args):
        super().__init__(*args)
        self.handler = self.run_slowly

    async def run_slowly(self, writer, method, path, headers, body):
        self.record_run(method, path, headers, body)
        await asyncio.sleep(RUN_S)
        await self.send_run(writer, headers, b"bought")


class Clients(threading.Thread):
    """Sends twenty requests a second to one gateway."""

    def __init__(self, site, gateway, label):
        super().__init__(daemon=True)
        self.site, self.gateway, self.label = site, gateway, label
        self.is_open = True
        self.sent, self.answers, self.threads = {}, {}, []

    def run(self):
        while self.is_open:
            name = f"{self.label}-{len(self.sent) + 1}"
            self.sent[name] = time.monotonic()
            thread = threading.Thread(target=self.send, args=(name,), daemon=True)
            thread.start()
            self.threads.append(thread)
            time.sleep(0.05)

    def send(self, name):
        headers = {"Api-Key": "key-derwent"}
        answer = self.site.request(
            self.gateway, "POST", "/buy/1", name, headers, b"{}", 2.0
        )
        self.answers[name] = answer[0]

    def stop(self):
        self.is_open = False
        self.join()
        for thread in self.threads:
            thread.join()


def build_configuration():
    return {
        "version": 1,
        "routes": [programs.build_route("r-buy", "/buy/", "unsafe", "box")],
        "services": [programs.build_service("box")],
        "limits": programs.LIMITS,
        "tenants": [{"name": "derwent", "api-keys": ["key-derwent"], "priority": 1}],
    }


def play(site, trouble):
    site.add_states(3)
    gateway = site.add_gateway("edge-1")
    site.start_all(build_configuration())
    ports = [state.port for state in site.states]
    for name in REPLICAS:
        replica = Box(site, name, "box", site.free_port(), ports)
        site.replicas.append(replica)
        replica.start()
    leaving = site.replicas[0]
    time.sleep(6.0)
    clients = Clients(site, gateway, "before")
    clients.start()
    time.sleep(1.0)
    clients.stop()
    if not leaving.runs:
        raise programs.CannotRun("the replica got no request before it left")

    leader = site.find_leader()
    time.sleep(0.6)
    if trouble:
        gateway.signal(signal.SIGSTOP)
        # A call for news that the gateway has open is answered meanwhile, without any.
        time.sleep(1.5)
    if not leaving.leave():
        raise programs.CannotRun("the departure was not acknowledged")
    left_at = time.monotonic()
    time.sleep(0.3)
    if trouble:
        site.note(leader.name, "loses power")
        leader.kill()
        time.sleep(0.1)
        gateway.signal(signal.SIGCONT)
    calm_at = time.monotonic() + programs.CONTACT_S
    site.note(
        "all machines that run are in touch from", round(calm_at - site.began_at, 3)
    )
    due_at = max(calm_at, left_at + programs.DRAIN_S)
    time.sleep(due_at - time.monotonic())
    clients = Clients(site, gateway, "after")
    clients.start()
    time.sleep(max(0.0, left_at + SERVES_ON_S - time.monotonic()))
    leaving.stop()
    time.sleep(0.5)
    clients.stop()
    if site.operate("GET", "/config")[0] != 200:
        raise programs.CannotRun("no leader was elected")
    lost = [name for name, status in clients.answers.items() if status != 200]
    site.note("requests without a good answer:", lost)
    return [
        f"{run['id']} reaches {leaving.name}, whose departure was acknowledged "
        f"{run['at'] - left_at:.2f} s before"
        for run in leaving.runs
        if run["id"] in clients.sent and run["at"] > due_at
    ]


programs.run_case(play)
