"""All replicas of a service fall silent while long requests are sent to them."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from deployment import (  # noqa: E402
    ZONES,
    call,
    configuration,
    main,
    new_id,
    route,
)

LONG_BODY = 250_000
TIMEOUT_S = 2.0
SLACK_S = 0.5
SILENCE_S = 4.5
REQUESTS = 12
# Of the rule CONFIG: eight or more, and over a quarter, without a final answer.
LEAST, SHARE = 8, 0.25


async def small_request(gateway) -> None:
    request = {"Request-Id": new_id(), "Deadline": "8000"}
    await call(gateway.front, "POST", "/fetch/a", request, b"x" * 300, timeout=8)


async def long_request(deployment, gateway) -> float | None:
    """Return when the answer came, in seconds after the request; None if none came."""
    request_id = new_id()
    deployment.record(
        f"client sends {request_id} (POST /fetch/b with a body of {LONG_BODY} B)"
    )
    sent_at = time.monotonic()
    request = {"Request-Id": request_id, "Deadline": "8000"}
    answer = await call(
        gateway.front, "POST", "/fetch/b", request, b"x" * LONG_BODY, timeout=8
    )
    took = time.monotonic() - sent_at
    deployment.record(f"client gets for {request_id} after {took:.3f} s: {answer}")
    return took if answer.status else None


async def case(deployment, trouble) -> bool:
    record = deployment.record
    await deployment.start()
    for number, zone in enumerate(ZONES):
        await deployment.add_replica(f"arkisto-{number}", "arkisto", zone, work_s=0.1)
    routes = [
        route("archive-fetch", "/fetch/", "unsafe", "arkisto", TimeoutMs=2000),
    ]
    await deployment.put(configuration(1, routes, ["arkisto"]))
    await deployment.wait_serving("/fetch/a", "POST")
    gateway = deployment.gateways[0]
    await asyncio.sleep(4.5)
    # Clients that come at the same time: the connections to the replicas stay open.
    await asyncio.gather(*(small_request(gateway) for _ in range(16)))
    await asyncio.sleep(0.5)

    async def fall_silent() -> None:
        for replica in deployment.replicas:
            replica.silent = True
        record("all replicas fall silent")
        await asyncio.sleep(SILENCE_S)
        for replica in deployment.replicas:
            replica.silent = False
        record("all replicas answer new connections again")

    silence = asyncio.ensure_future(fall_silent() if trouble else asyncio.sleep(0))
    await asyncio.sleep(0.05)
    took = await asyncio.gather(
        *(long_request(deployment, gateway) for _ in range(REQUESTS))
    )
    await silence
    lasting = [at for at in took if at is None or at > TIMEOUT_S]
    unanswered = [at for at in lasting if at is None or at > TIMEOUT_S + SLACK_S]
    record(f"{gateway.name}: exit code {gateway.process.poll()} (None: it runs)")
    record(
        f"of {REQUESTS} requests, {len(lasting)} lasted longer than the {TIMEOUT_S} s "
        f"of their route, and {len(unanswered)} of these had no final answer "
        f"{SLACK_S} s later"
    )
    return len(unanswered) < LEAST or len(unanswered) <= SHARE * len(lasting)


main(case, Path(__file__).parent)
