"""Replicas are released while a machine is frozen that has their deregister unread."""

import asyncio
import sys
import time
from pathlib import Path
from signal import SIGCONT, SIGSTOP

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "lib2")]

from later_route import (  # noqa: E402
    Client,
    later_route_holds,
    record_departures,
    start_all,
)
from replicas import ReplicaThread  # noqa: E402
from small_deployment import SmallDeployment, run_case  # noqa: E402

FROZEN = 2
# The site file freezes machines of the core for up to 7.6 s.
FREEZE_SECONDS = 7.0
# DrainMs, and a little longer.
SERVES_ON_SECONDS = 3.1
RESTART_SECONDS = 0.3
RELEASE_GAP_SECONDS = 1.0
# ContactMs is 4 s, HeartbeatMs 1.2 s; the calm goes on for far longer.
SETTLE_SECONDS = 10.0
JUDGED_SECONDS = 20.0


async def _release(replicas, first_address):
    """Replace replicas one after the other; each starts again under its id."""

    async def replace(replica):
        await replica.deregister(first_address)
        await asyncio.sleep(SERVES_ON_SECONDS)
        await replica.exit()
        await asyncio.sleep(RESTART_SECONDS)
        await replica.start()

    running = []
    for replica in replicas:
        running.append(asyncio.ensure_future(replace(replica)))
        await asyncio.sleep(RELEASE_GAP_SECONDS)
    await asyncio.gather(*running)


def play(record, trouble):
    deployment = SmallDeployment()
    thread = ReplicaThread()
    try:
        released = start_all(deployment, thread, record)["muistutus"]
        frozen = deployment.processes[FROZEN]
        first_address = deployment.control_addresses[FROZEN]
        for half in (released[:2], released[2:]):
            if trouble:
                frozen.send_signal(SIGSTOP)
                record.add(f"{deployment.ips[FROZEN]} freezes")
            thawed_at = time.monotonic() + FREEZE_SECONDS
            release = thread.begin(_release(half, first_address))
            time.sleep(thawed_at - time.monotonic())
            if trouble:
                frozen.send_signal(SIGCONT)
                record.add(f"{deployment.ips[FROZEN]} wakes")
            release.result(10)
            time.sleep(SETTLE_SECONDS)
        counts = Client(deployment, record).served(JUDGED_SECONDS)
    finally:
        deployment.stop()
    record_departures(deployment, record)
    deployment.remove_files()
    return later_route_holds(counts, record)


if __name__ == "__main__":
    run_case(play, FOLDER)
