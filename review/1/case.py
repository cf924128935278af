"""Two of three core machines are replaced, the second well after the first."""

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

SUCCESSOR_AFTER_S = 2.0
"""From the end of a machine to the start of its successor."""
APART_S = 20.0
"""From the start of the first successor to the second loss."""
RECOVERY_S = 25.0
"""From the start of the second successor to the last change."""


class Play:
    """Builds the deployment and plays the case."""

    def build(self, record):
        return Deployment(record, states=3, gateways=2)

    async def run(self, record, deployment):
        await deployment.configure(build_document([], []))
        await asyncio.sleep(6)
        await replace(deployment, "core-1", "core-4", SUCCESSOR_AFTER_S)
        await asyncio.sleep(APART_S)
        if not await send_version(record, deployment, 8, 10.0):
            raise NotRunnable("the first loss has not been overcome yet")
        await replace(deployment, "core-2", "core-5", SUCCESSOR_AFTER_S)
        await asyncio.sleep(RECOVERY_S)
        is_acknowledged = await send_version(record, deployment, 9, 10.0)
        return await judge(record, deployment, 9 if is_acknowledged else 8)


run_case(FOLDER, Play())
