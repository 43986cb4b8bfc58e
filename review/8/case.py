"""Replicas are released while a machine is frozen that has their deregister unread."""

import asyncio
import sys
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from signal import SIGCONT, SIGSTOP

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "lib2")]

from replicas import Replica, ReplicaThread  # noqa: E402
from small_deployment import (  # noqa: E402
    HOST,
    LIMITS,
    CannotRun,
    SmallDeployment,
    run_case,
    wait_until,
)

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
REQUEST_INTERVAL_SECONDS = 0.2


def _route(name, service):
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": "safe",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2,
    }


def _configuration(version, routes):
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": service,
                "HealthPath": "/health",
                "MaxConnections": 130,
                "Protocol": "h1",
                "Tls": False,
            }
            for service in ("arkisto", "muistutus")
        ],
        "Limits": LIMITS,
    }


class _Client:
    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record
        self._count = 0

    def ask(self, route):
        """Return the status of one request on a route, at each machine in turn."""
        self._count += 1
        ip = self._deployment.ips[self._count // 2 % len(self._deployment.ips)]
        request_id = f"c-{self._count}"
        connection = HTTPConnection(ip, self._deployment.ports["front"], timeout=3)
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline": "2000"}
        try:
            connection.request("GET", f"/{route}/x", headers=headers)
            response = connection.getresponse()
            status = response.status
            response.read()
        except (OSError, HTTPException):
            status = 0
        finally:
            connection.close()
        self._record.add(f"{request_id} on /{route}/ at {ip}: {status or 'no answer'}")
        return status

    def served_share(self, route_names, seconds):
        """Return the number of requests and of successes of each route."""
        counts = {name: [0, 0] for name in route_names}
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for name in route_names:
                counts[name][0] += 1
                counts[name][1] += self.ask(name) == 200
            time.sleep(REQUEST_INTERVAL_SECONDS)
        return counts


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
        for number in range(len(deployment.ips)):
            deployment.start(number, first_start=True)
        first_route = [_route("archive", "arkisto")]
        if deployment.put_configuration(_configuration(1, first_route), 15) is None:
            raise CannotRun("the first configuration was not acknowledged")
        replicas = {
            service: [
                Replica(
                    f"{service}-{number}",
                    service,
                    f"etela-{'abc'[number % 3]}",
                    deployment.control_addresses,
                    record,
                )
                for number in range(4)
            ]
            for service in ("arkisto", "muistutus")
        }
        for replica in replicas["arkisto"] + replicas["muistutus"]:
            thread.do(replica.start())
        wait_until(
            lambda: all(map(deployment.is_ready, range(len(deployment.ips)))),
            15,
            "all machines ready",
        )
        routes = [*first_route, _route("reminders", "muistutus")]
        if deployment.put_configuration(_configuration(2, routes), 5) is None:
            raise CannotRun("the route was not added")
        time.sleep(5)
        client = _Client(deployment, record)
        before = client.served_share(("archive", "reminders"), 2)
        if any(asked != served for asked, served in before.values()):
            raise CannotRun(f"not all was served before: {before}")
        frozen = deployment.processes[FROZEN]
        first_address = deployment.control_addresses[FROZEN]
        for half in (replicas["muistutus"][:2], replicas["muistutus"][2:]):
            if trouble:
                frozen.send_signal(SIGSTOP)
                record.add(f"{deployment.ips[FROZEN]} freezes")
            thawed_at = time.monotonic() + FREEZE_SECONDS
            released = thread.begin(_release(half, first_address))
            time.sleep(thawed_at - time.monotonic())
            if trouble:
                frozen.send_signal(SIGCONT)
                record.add(f"{deployment.ips[FROZEN]} wakes")
            released.result(10)
            time.sleep(SETTLE_SECONDS)
        counts = client.served_share(("archive", "reminders"), JUDGED_SECONDS)
    finally:
        deployment.stop()
    for replica in replicas["muistutus"]:
        record.add(f"{replica.name} has run {replica.ran} requests")
    for log in sorted(deployment.folder.glob("gateway-*.log")):
        for line in log.read_text().splitlines():
            if "replica_left" in line:
                record.add(f"{log.name}: {line}")
    deployment.remove_files()
    record.add(f"asked and served, first and later route: {counts}")
    (first_asked, first_served) = counts["archive"]
    (later_asked, later_served) = counts["reminders"]
    if later_asked < 20 or not first_served:
        raise CannotRun("too few requests to judge")
    return later_served / later_asked >= 0.25 * first_served / first_asked


if __name__ == "__main__":
    run_case(play, FOLDER)
