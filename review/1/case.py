"""One replica crashes while long requests are on their way to it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from deployment import (  # noqa: E402
    HOST,
    ZONES,
    CannotRun,
    Connection,
    call,
    configuration,
    main,
    new_id,
    route,
)

LONG_BODY = 250_000
REPLICAS = 6
LONG_REQUESTS = 42
KEPT_CONNECTIONS = 8
# Of the rule LOST: more than this many connections closed without an answer.
ALLOWED = 3


async def small_request(gateway, path: str = "/fetch/a") -> None:
    request = {"Request-Id": new_id(), "Deadline": "8000"}
    await call(gateway.front, "POST", path, request, b"x" * 300, timeout=8)


async def long_request(deployment, gateway) -> int:
    """Send a long request and return the status of its answer."""
    request_id = new_id()
    deployment.record(
        f"client sends {request_id} (POST /fetch/b with a body of {LONG_BODY} B)"
    )
    request = {"Request-Id": request_id, "Deadline": "8000"}
    answer = await call(
        gateway.front, "POST", "/fetch/b", request, b"x" * LONG_BODY, timeout=9
    )
    deployment.record(f"client gets for {request_id}: {answer}")
    return answer.status


async def case(deployment, trouble) -> bool:
    record = deployment.record
    await deployment.start()
    for number in range(REPLICAS):
        await deployment.add_replica(
            f"arkisto-{number}", "arkisto", ZONES[0], work_s=0.3
        )
    for number, zone in enumerate(ZONES):
        await deployment.add_replica(f"muistutus-{number}", "muistutus", zone)
    routes = [
        route("archive-fetch", "/fetch/", "unsafe", "arkisto"),
        route("reminders", "/remind/", "unsafe", "muistutus"),
    ]
    await deployment.put(configuration(1, routes, ["arkisto", "muistutus"]))
    await deployment.wait_serving("/fetch/a", "POST")
    await deployment.wait_serving("/remind/a", "POST")
    gateway = deployment.gateways[0]
    # Longer than ContactMs.
    await asyncio.sleep(4.5)
    # Clients that come at the same time: the connections to the replicas stay open.
    await asyncio.gather(*(small_request(gateway) for _ in range(LONG_REQUESTS)))

    connections = [
        await Connection.open(gateway.front) for _ in range(KEPT_CONNECTIONS)
    ]
    for connection in connections:
        request = {"Host": HOST, "Request-Id": new_id(), "Deadline": "8000"}
        await connection.send("POST", "/remind/a", request, b"x" * 300)
        answer = await connection.receive(8)
        if answer.status != 200 or answer.header("Connection") == "close":
            raise CannotRun(f"a connection is not kept: {answer}")
    for replica in deployment.replicas:
        if replica.service == "muistutus":
            replica.work_s = 1.0

    ids = [new_id() for _ in connections]
    for connection, request_id in zip(connections, ids):
        record(f"client sends {request_id} (POST /remind/b) on a kept connection")
        request = {"Host": HOST, "Request-Id": request_id, "Deadline": "8000"}
        await connection.send("POST", "/remind/b", request, b"x" * 300)
    await asyncio.sleep(0.1)
    long_requests = [
        asyncio.ensure_future(long_request(deployment, gateway))
        for _ in range(LONG_REQUESTS)
    ]
    await asyncio.sleep(0.25)
    if trouble:
        deployment.replicas[0].crash()
    # Other clients go on meanwhile.
    for _ in range(5):
        await small_request(gateway, "/remind/a")
    answers = await asyncio.gather(
        *(connection.receive(9) for connection in connections)
    )
    statuses = await asyncio.gather(*long_requests)
    lost = 0
    for request_id, answer in zip(ids, answers):
        run = next(
            run
            for replica in deployment.replicas
            for run in replica.runs
            if run.request_id == request_id
        )
        record(f"client gets for {request_id}: {answer} (replica: {run.outcome})")
        lost += answer.error.startswith("connection")
    record(
        f"of {LONG_REQUESTS} long requests, {statuses.count(200)} are answered 200 and "
        f"{statuses.count(0)} got no answer"
    )
    code = gateway.process.poll()
    record(f"{gateway.name}: exit code {code} (None: it runs)")
    if code is not None:
        for line in deployment.log_of(gateway).splitlines():
            # The lines of tracebacks that name no file.
            if not line.startswith(("{", " ")):
                record(f"{gateway.name} has written: {line[:200]}")
    record(
        f"{lost} of {len(ids)} requests on kept connections were passed on to a sound "
        f"replica and got no answer; the rule allows {ALLOWED}"
    )
    return lost <= ALLOWED


main(case, Path(__file__).parent)
