"""The leader is killed after a replica left; a late heartbeat of it arrives then."""

import asyncio
import json
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BROKEN,
    CALL_TIMEOUT_S,
    CONTACT_S,
    DRAIN_S,
    HELD,
    TROUBLE,
    Client,
    Deployment,
    NotRunnable,
    Replica,
    build_document,
    call,
    run_case,
)

ROUTE = {
    "name": "r-buy",
    "host": "nylo40.example",
    "path-prefix": "/buy/",
    "kind": "unsafe",
    "timeout-ms": 1000,
    "target-latency-ms": 125,
    "priority": 2,
    "service": "box",
    "max-attempts": 1,
    "public": False,
    "sticky": False,
    "resumable": False,
}
SERVICE = {
    "name": "box",
    "health-path": "/healthz",
    "max-connections": 100,
    "protocol": "h1",
    "tls": False,
    "cold-start-s": 0.0,
    "cold-per-s": 0.0,
}
REQUEST_INTERVAL_S = 0.05
HEARTBEAT_DELAY_S = 6.0
"""How late the two delayed heartbeats arrive."""
DOWN_S = 3.5
"""How long the killed process is down."""
SERVES_ON_S = 14.0
"""How long the replica serves after its departure was acknowledged."""


async def send_late(record, replica, url, delay_s):
    """Send a heartbeat that the network holds back; nobody waits for its answer."""
    beat = replica.build_beat()
    record.write("heartbeat-sent", to=url, sequence=beat["sequence"])
    await asyncio.sleep(delay_s)
    answer = await call("PUT", f"{url}/instances/{replica.name}", beat)
    status = answer.status if answer is not None else 0
    record.write("heartbeat-arrived", to=url, sequence=beat["sequence"], status=status)


class Play:
    """Builds the deployment and plays the case."""

    def build(self, record):
        return Deployment(record)

    async def run(self, record, deployment):
        replicas = [
            Replica(record, deployment, n, "box", 0.2, slots=6) for n in range(1, 4)
        ]
        for replica in replicas:
            await replica.start()
        await deployment.configure(build_document([ROUTE], [SERVICE]))
        await asyncio.sleep(6)
        clients = [Client(record, deployment, 2.0, n) for n in range(8)]
        tasks = set()
        outcomes = []

        def begin(coroutine):
            task = asyncio.create_task(coroutine)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        number = 0

        async def send(client, number):
            headers = {"Deadline-Ms": "1000"}
            outcomes.append(await client.send(f"q{number:06d}", "/buy/1", headers))

        async def send_usual(seconds):
            nonlocal number
            until = record.now() + seconds
            while record.now() < until:
                number += 1
                begin(send(clients[number % len(clients)], number))
                await asyncio.sleep(REQUEST_INTERVAL_S)

        await send_usual(3)
        leader = await deployment.find_leader()
        left = replicas[0]
        if not leader or not left.runs:
            raise NotRunnable("no leader, or the replica has got no request")
        others = [name for name in deployment.state_names if name != leader]

        async def leave():
            """Announce once more, at the leader in the end, and then leave."""
            left.task.cancel()
            for name in others:
                begin(
                    send_late(
                        record, left, deployment.control_url(name), HEARTBEAT_DELAY_S
                    )
                )
                # Without an answer within a second the next daemon is called.
                await asyncio.sleep(CALL_TIMEOUT_S)
            url = deployment.control_url(leader)
            beat = left.build_beat()
            answer = await call("PUT", f"{url}/instances/{left.name}", beat)
            record.write(
                "heartbeat-acknowledged",
                sequence=beat["sequence"],
                status=answer.status if answer else 0,
            )
            answer = await call("DELETE", f"{url}/instances/{left.name}")
            if answer is None or answer.status != 200:
                raise NotRunnable("the departure was not acknowledged")
            record.write("departure-acknowledged", replica=left.name)

        leaving = asyncio.create_task(leave())
        await send_usual(2 * CALL_TIMEOUT_S + 0.3)
        await leaving
        left_at = record.now()
        stable_at = left_at
        if TROUBLE:
            deployment.signal(leader, signal.SIGKILL)
            await send_usual(DOWN_S)
            deployment.start(leader)
            stable_at = record.now() + CONTACT_S
        await send_usual(left_at + SERVES_ON_S - record.now())
        broken_off = left.end()
        await asyncio.gather(*tasks)
        for replica in replicas[1:]:
            replica.end()
        record.write("leader", before=leader, after=await deployment.find_leader())
        counted_from = max(left_at + DRAIN_S, stable_at)
        return self.judge(record, left, counted_from, outcomes, broken_off)

    def judge(self, record, left, begin_at, outcomes, broken_off):
        """Count requests that reached the replica while all machines were in touch.

        Counted are those that clients sent after ``begin_at``.
        """
        sent_at = {outcome["id"]: outcome["sent_at"] for outcome in outcomes}
        late = [
            (at, request)
            for at, request in left.run_times
            if at > begin_at and sent_at.get(request, 0.0) > begin_at
        ]
        record.write(
            "judged",
            requests=len(outcomes),
            answered=sum(outcome["status"] == 200 for outcome in outcomes),
            counted_from=round(begin_at, 3),
            late=len(late),
            first=json.dumps(late[:3]),
            broken_off=len(broken_off),
        )
        return BROKEN if late else HELD


run_case(FOLDER, Play())
