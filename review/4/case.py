"""The leading one of five core machines is replaced three times."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from core_machines import judge, replace, send_version  # noqa: E402
from harness import (  # noqa: E402
    Deployment,
    NotRunnable,
    build_document,
    run_case,
)

SUCCESSOR_AFTER_S = 1.0
"""From the end of a machine to the start of its successor."""
CATCH_UP_S = 4.0
"""Time from its start after which a new machine does not count as lost any more."""
MARGIN_S = 0.3
REPLACEMENTS = 3
RECOVERY_S = 30.0
"""From the start of the last successor to the last change."""
LEADER_WAIT_S = 1.5
"""Time for which a leader is looked for before the next replacement."""


class Play:
    """Builds the deployment and plays the case."""

    def build(self, record):
        return Deployment(record, states=5, gateways=2)

    async def run(self, record, deployment):
        await deployment.configure(build_document([], []))
        await asyncio.sleep(10)
        promotions = deployment.count_promotions()
        record.write("voters", seeds=3, promoted=promotions)
        if promotions != 2:
            raise NotRunnable("not all five members are voters yet")
        if not await send_version(record, deployment, 8, 5.0):
            raise NotRunnable("no configuration is acknowledged before the trouble")
        for number in range(REPLACEMENTS):
            name = await self.find_leader(record, deployment)
            successor = f"core-{6 + number}"
            record.write("replaced", machine=name, by=successor)
            await replace(deployment, name, successor, SUCCESSOR_AFTER_S)
            await asyncio.sleep(CATCH_UP_S + MARGIN_S)
        await asyncio.sleep(RECOVERY_S)
        is_acknowledged = await send_version(record, deployment, 9, 10.0)
        return await judge(record, deployment, 9 if is_acknowledged else 8)

    async def find_leader(self, record, deployment):
        until = record.now() + LEADER_WAIT_S
        while record.now() < until:
            name = await deployment.find_leader()
            if name:
                return name
            await asyncio.sleep(0.1)
        raise NotRunnable("no leader before a replacement")


run_case(FOLDER, Play())
