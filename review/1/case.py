"""A replica rejects one long request before its body is in."""

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
KEPT_CONNECTIONS = 8
# Of the rule LOST: more than this many connections closed without an answer.
ALLOWED = 3


async def small_request(gateway, path: str = "/fetch/a") -> None:
    request = {"Request-Id": new_id(), "Deadline": "8000"}
    await call(gateway.front, "POST", path, request, b"x" * 300, timeout=8)


async def send_long(deployment, gateway) -> None:
    """Send a long request while other clients go on."""
    request_id = new_id()
    deployment.record(
        f"client sends {request_id} (POST /fetch/b with a body of {LONG_BODY} B)"
    )
    request = {"Request-Id": request_id, "Deadline": "8000"}
    sending = asyncio.ensure_future(
        call(gateway.front, "POST", "/fetch/b", request, b"x" * LONG_BODY, timeout=9)
    )
    while not sending.done() and gateway.process.poll() is None:
        await asyncio.sleep(0.05)
        await small_request(gateway, "/remind/a")
    deployment.record(f"client gets for {request_id}: {await sending}")


async def case(deployment, trouble) -> bool:
    record = deployment.record
    await deployment.start()
    for number, zone in enumerate(ZONES):
        await deployment.add_replica(f"arkisto-{number}", "arkisto", ZONES[0])
        await deployment.add_replica(f"muistutus-{number}", "muistutus", zone)
    routes = [
        route("archive-fetch", "/fetch/", "unsafe", "arkisto"),
        route("reminders", "/remind/", "unsafe", "muistutus"),
    ]
    await deployment.put(configuration(1, routes, ["arkisto", "muistutus"]))
    await deployment.wait_serving("/fetch/a", "POST")
    await deployment.wait_serving("/remind/a", "POST")
    gateway = deployment.gateways[0]
    # Longer than ContactMs. The replica answers more than 50 requests, so that the one
    # that it rejects below is less than 0.02 of its answers.
    for _ in range(100):
        await asyncio.gather(
            *(small_request(other) for other in deployment.gateways[1:] * 2)
        )
        await asyncio.sleep(0.05)
    faulty = deployment.replicas[0]
    record(f"{faulty.name} has answered {len(faulty.runs)} requests")
    if len(faulty.runs) <= 50:
        raise CannotRun("too few answers")

    connections = [
        await Connection.open(gateway.front) for _ in range(KEPT_CONNECTIONS)
    ]
    for connection in connections:
        request = {"Host": HOST, "Request-Id": new_id(), "Deadline": "8000"}
        await connection.send("POST", "/remind/a", request, b"x" * 300)
        answer = await connection.receive(8)
        assert answer.status == 200 and answer.header("Connection") != "close", answer
    for replica in deployment.replicas:
        if replica.service == "muistutus":
            replica.work_s = 1.0
    rejected: list[str] = []

    def reject_one(replica, request_id, length) -> bool:
        """Reject the first long request before it is in."""
        if length != LONG_BODY or rejected:
            return False
        rejected.append(request_id)
        return True

    if trouble:
        faulty.rejects_early = reject_one

    ids = [new_id() for _ in connections]
    for connection, request_id in zip(connections, ids):
        record(f"client sends {request_id} (POST /remind/b) on a kept connection")
        request = {"Host": HOST, "Request-Id": request_id, "Deadline": "8000"}
        await connection.send("POST", "/remind/b", request, b"x" * 300)
    await asyncio.sleep(0.3)
    # At once, so that each goes to another replica.
    await asyncio.gather(*(send_long(deployment, gateway) for _ in range(4)))
    if trouble and not rejected:
        raise CannotRun("no long request has reached the faulty replica")
    answers = await asyncio.gather(
        *(connection.receive(9) for connection in connections)
    )
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
