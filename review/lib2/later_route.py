"""Two routes, one added later, and how often each is served.

Shared by the cases that judge the rule CONFIG for routes that were added later.
"""

import time
from http.client import HTTPConnection, HTTPException

from replicas import Replica
from small_deployment import HOST, LIMITS, CannotRun, wait_until

REPLICAS_OF_A_SERVICE = 4
REQUEST_INTERVAL_SECONDS = 0.2
# Services of the first route and of the one that is added later.
SERVICES = ("arkisto", "muistutus")


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
            for service in SERVICES
        ],
        "Limits": LIMITS,
    }


class Client:
    """A caller that asks each machine in turn."""

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record
        self._count = 0

    def _ask(self, route):
        """Return the status of one request on a route."""
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

    def served(self, seconds):
        """Return the number of requests and of successes of each route."""
        counts = {"archive": [0, 0], "reminders": [0, 0]}
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for route, count in counts.items():
                count[0] += 1
                count[1] += self._ask(route) == 200
            time.sleep(REQUEST_INTERVAL_SECONDS)
        return counts


def start_all(deployment, thread, record):
    """Start gateways and replicas and add the second route; return the replicas.

    Raises
    ------
    CannotRun
        If not all requests on both routes are served at the end.
    """
    for number in range(len(deployment.ips)):
        deployment.start(number, first_start=True)
    first_route = [_route("archive", SERVICES[0])]
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
            for number in range(REPLICAS_OF_A_SERVICE)
        ]
        for service in SERVICES
    }
    for of_service in replicas.values():
        for replica in of_service:
            thread.do(replica.start())
    wait_until(
        lambda: all(map(deployment.is_ready, range(len(deployment.ips)))),
        15,
        "all machines ready",
    )
    routes = [*first_route, _route("reminders", SERVICES[1])]
    if deployment.put_configuration(_configuration(2, routes), 5) is None:
        raise CannotRun("the route was not added")
    time.sleep(5)
    before = Client(deployment, record).served(2)
    if any(asked != served for asked, served in before.values()):
        raise CannotRun(f"not all was served before: {before}")
    return replicas


def later_route_holds(counts, record):
    """Return whether the later route is served a quarter as often as the first."""
    record.add(f"asked and served, first and later route: {counts}")
    first_asked, first_served = counts["archive"]
    later_asked, later_served = counts["reminders"]
    if later_asked < 20 or not first_served:
        raise CannotRun("too few requests to judge")
    return later_served / later_asked >= 0.25 * first_served / first_asked


def record_departures(deployment, record):
    """Copy what the gateways log of replicas that leave or announce themselves."""
    for log in sorted(deployment.folder.glob("gateway-*.log")):
        for line in log.read_text().splitlines():
            if "replica_left" in line or "replica_announced" in line:
                record.add(f"{log.name}: {line}")
