"""Another writer sends heartbeats of a service that no configuration names."""

import sys
import time
from json import dumps
from pathlib import Path

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

# HeartbeatMs is 1.2 s: each sound replica has sent several heartbeats since.
SETTLE_SECONDS = 10.0
JUDGED_SECONDS = 20.0


def _send_odd_heartbeat(deployment, number, replica, record):
    """Send a heartbeat of an unknown service that names a sound replica's address."""
    body = dumps(
        {
            "Service": "varasto",
            "Address": f"127.0.0.1:{replica.port}",
            "Zone": "etela-a",
            "Version": "v1",
            "Slots": 4,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
    )
    path = f"/-/instances/odd-{number}/heartbeat"
    machine = number % len(deployment.ips)
    status, _ = deployment.call(machine, "control", "POST", path, body.encode())
    record.add(f"another writer: {path} {body} to machine {machine + 1}: {status}")


def play(record, trouble):
    deployment = SmallDeployment()
    thread = ReplicaThread()
    try:
        sound = start_all(deployment, thread, record)["muistutus"]
        for number, replica in enumerate(sound):
            if trouble:
                _send_odd_heartbeat(deployment, number, replica, record)
            time.sleep(1)
        time.sleep(SETTLE_SECONDS)
        counts = Client(deployment, record).served(JUDGED_SECONDS)
    finally:
        deployment.stop()
    record_departures(deployment, record)
    deployment.remove_files()
    return later_route_holds(counts, record)


if __name__ == "__main__":
    run_case(play, FOLDER)
