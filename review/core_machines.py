"""What the cases on replaced core machines share."""

import asyncio
import json

from harness import (
    BROKEN,
    CONTACT_S,
    HELD,
    TROUBLE,
    build_document,
    call,
    call_control,
)

READ_S = 4 * CONTACT_S
"""Time for which the operator asks for the configuration at the end."""
READ_INTERVAL_S = 2.0


async def send_version(record, deployment, version, seconds):
    """Send a configuration until it is acknowledged; return whether it was."""
    document = {**build_document([], []), "version": version}
    until = record.now() + seconds
    while record.now() < until:
        answer, _ = await call_control(
            "PUT", "/config", deployment.control_urls, document
        )
        if answer is not None:
            record.write("acknowledged", version=version)
            return True
        await asyncio.sleep(0.5)
    record.write("not-acknowledged", version=version, seconds=seconds)
    return False


async def replace(deployment, name, successor, successor_after_s):
    """Replace one core machine by an empty one at another address."""
    if not TROUBLE:
        await asyncio.sleep(successor_after_s)
        return
    zone_number = deployment.zone_numbers[name]
    deployment.remove_state(name)
    await asyncio.sleep(successor_after_s)
    deployment.add_state(successor, zone_number, seeds=deployment.state_names[:3])


async def read_back(record, deployment):
    """Return the newest version that any machine tells, 0 if none does."""
    newest = 0
    until = record.now() + READ_S
    while record.now() < until and not newest:
        for url in deployment.control_urls:
            answer, _ = await call_control("GET", "/config", [url])
            if answer is not None:
                newest = max(newest, json.loads(answer.body)["version"])
                continue
            answer = await call("GET", url + "/config")
            status = answer.status if answer is not None else 0
            record.write("read", url=url, status=status)
        await asyncio.sleep(READ_INTERVAL_S)
    record.write("read-back", version=newest)
    return newest


async def judge(record, deployment, acknowledged):
    """Read the configuration back; it is broken if the newest one doesn't come.

    ``acknowledged`` is the newest version with an acknowledgement. A later one that got
    no clear answer may be in force, too.
    """
    read = await read_back(record, deployment)
    running = [
        name
        for name in deployment.state_names
        if deployment.processes[name].poll() is None
    ]
    record.write("judged", acknowledged=acknowledged, read=read, running=running)
    return HELD if read >= acknowledged else BROKEN
