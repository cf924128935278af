"""A gateway is stopped while clients with a kept address go on to send streams."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    BROKEN,
    GRACE_S,
    HELD,
    TROUBLE,
    Client,
    Deployment,
    NotRunnable,
    Replica,
    build_document,
    run_case,
)

MODELS = [{"name": "daka510000", "version": 1, "adapters": []}]
ROUTE = {
    "name": "r-brief",
    "host": "nylo40.example",
    "path-prefix": "/brief/",
    "kind": "streaming",
    "timeout-ms": 8000,
    "target-latency-ms": 600,
    "priority": 1,
    "service": "llm",
    "max-attempts": 1,
    "public": False,
    "sticky": True,
    "resumable": False,
    "target-gap-ms": 250,
}
SERVICE = {
    "name": "llm",
    "health-path": "/healthz",
    "max-connections": 230,
    "protocol": "h1",
    "tls": False,
    "cold-start-s": 0.0,
    "cold-per-s": 0.0,
    "engine": {
        "slots": 32,
        "kv-capacity-tokens": 79169,
        "kv-token-bytes": 18432,
        "link-mbps": 180000.0,
        "max-in-flight": 12,
        "models": [{"name": "daka510000"}],
    },
}
DEADLINE_MS = 8000
USUAL_EVENTS, LONG_EVENTS = (6, 15), 40
"""Events of an answer, one each 0.1 s."""
WARM_UP_S = 8.0
REQUEST_INTERVAL_S = 0.08
TTL_S = 2.0
LATE_S = (3.3, 3.7, 4.1, 4.5)
"""When clients with a kept address send long streams, after the SIGTERM."""


class Play:
    """Builds the deployment and plays the case."""

    def build(self, record):
        return Deployment(record)

    async def run(self, record, deployment):
        replicas = [
            Replica(record, deployment, n, "llm", 0.1, stage="colocated", models=MODELS)
            for n in range(1, 4)
        ]
        for replica in replicas:
            await replica.start()
        await deployment.configure(build_document([ROUTE], [SERVICE]))
        await asyncio.sleep(5)
        # Each third client keeps an answer three times as long.
        clients = [
            Client(record, deployment, TTL_S * (3 if n % 3 == 0 else 1), n)
            for n in range(12)
        ]
        tasks = set()
        outcomes = []

        async def send(client, number, events, address=""):
            headers = {
                "Model": "daka510000",
                "Token-Usage": f"120,{events}",
                "Prefix-Hash": f"{number % 5:08x}:80,{number + 4096:08x}:40",
                "Deadline-Ms": str(DEADLINE_MS),
            }
            outcomes.append(
                await client.send(
                    f"q{number:06d}", "/brief/1", headers, "POST", address
                )
            )

        def begin(coroutine):
            task = asyncio.create_task(coroutine)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

        number = 0

        async def send_usual(until):
            nonlocal number
            while record.now() < until:
                number += 1
                client = clients[number % len(clients)]
                events = client.random.randint(*USUAL_EVENTS)
                begin(send(client, number, events))
                await asyncio.sleep(REQUEST_INTERVAL_S)

        await send_usual(record.now() + WARM_UP_S)
        if not any(outcome["complete"] for outcome in outcomes):
            raise NotRunnable("nothing was answered before the stop")
        name = deployment.gateway_names[0]
        keeper = Client(record, deployment, 3 * TTL_S, 99)
        await keeper.resolve()
        if deployment.front(name) not in keeper.addresses:
            raise NotRunnable("the directory does not list the gateway")
        stopped_at = record.now()
        if TROUBLE:
            deployment.signal(name, signal.SIGTERM)

        async def send_late(delay_s, number):
            await asyncio.sleep(delay_s)
            await send(keeper, number, LONG_EVENTS, deployment.front(name))

        for index, delay_s in enumerate(LATE_S):
            begin(send_late(delay_s, 900000 + index))
        await send_usual(stopped_at + GRACE_S)
        if TROUBLE and deployment.processes[name].poll() is None:
            deployment.signal(name, signal.SIGKILL)
        await asyncio.sleep(DEADLINE_MS / 1000 - 2)
        await asyncio.gather(*tasks)
        ran = {request for replica in replicas for request in replica.runs}
        for replica in replicas:
            replica.end()
        return self.judge(record, deployment.front(name), stopped_at, outcomes, ran)

    def judge(self, record, address, stopped_at, outcomes, ran):
        """Count the requests that were passed on and ended without their answer.

        Those sent up to 3 s after the SIGTERM are left out, as are those that have
        come to their deadline.
        """
        lost = [
            outcome
            for outcome in outcomes
            if outcome["address"] == address
            and stopped_at + 3.0 < outcome["sent_at"] < stopped_at + GRACE_S + 1.0
            and outcome["id"] in ran
            and not outcome["complete"]
            and outcome["ended_at"] - outcome["sent_at"] < DEADLINE_MS / 1000
        ]
        for outcome in lost:
            record.write(
                "lost",
                id=outcome["id"],
                after_stop_s=round(outcome["sent_at"] - stopped_at, 2),
                cut_after_s=round(outcome["ended_at"] - stopped_at, 2),
                events=outcome["events"],
            )
        incomplete = sum(not outcome["complete"] for outcome in outcomes)
        record.write(
            "judged", requests=len(outcomes), incomplete=incomplete, lost=len(lost)
        )
        return BROKEN if lost else HELD


run_case(FOLDER, Play())
