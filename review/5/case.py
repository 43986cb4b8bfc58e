"""All processes are killed right after one has acknowledged that a replica is gone."""

import asyncio
import sys
import time
from pathlib import Path
from signal import SIGKILL

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from deployment import (  # noqa: E402
    BOUNDS,
    ZONES,
    CannotRun,
    call,
    configuration,
    main,
    new_id,
    route,
)

# How late a heartbeat arrives that the replica has sent before it left.
HEARTBEAT_DELAY_S = 3.0
# How long the replica serves after the acknowledgement that it is gone.
SERVES_ON_S = 12.0


async def case(deployment, trouble) -> bool:
    record = deployment.record
    await deployment.start()
    for number, zone in enumerate(ZONES):
        await deployment.add_replica(f"arkisto-{number}", "arkisto", zone)
    routes = [route("archive-fetch", "/fetch/", "unsafe", "arkisto")]
    await deployment.put(configuration(1, routes, ["arkisto"]))
    await deployment.wait_serving("/fetch/a", "POST")
    # Longer than ContactMs, so that the machines are in touch.
    await asyncio.sleep(6)
    leaving = deployment.replicas[0]
    leaving.beating = False
    await asyncio.sleep(0.1)
    late = leaving.about()
    record(f"{leaving.name} sends a heartbeat, which stays on its way: {late.decode()}")
    late_at = time.monotonic() + HEARTBEAT_DELAY_S
    if not await leaving.tell("deregister", leaving.about(), deployment.gateways[1:2]):
        raise CannotRun("the deregistration is not acknowledged")
    acknowledged_at = time.monotonic()
    name = deployment.gateways[1].name
    record(f"{leaving.name} deregisters at {name}: acknowledged; it serves on")
    if trouble:
        for gateway in deployment.gateways:
            deployment.signal(gateway, SIGKILL)
        for gateway in deployment.gateways:
            gateway.process.wait()
        await asyncio.sleep(0.3)
        for gateway in deployment.gateways:
            deployment.start_gateway(gateway)
    started_at = max(gateway.started_at for gateway in deployment.gateways)

    async def deliver_late_heartbeat() -> None:
        await asyncio.sleep(late_at - time.monotonic())
        told = await leaving.tell("heartbeat", late)
        record(f"the late heartbeat of {leaving.name} arrives: acknowledged {told}")

    delivery = asyncio.ensure_future(deliver_late_heartbeat())
    in_touch_at = max(
        started_at + BOUNDS["ContactMs"] / 1000,
        acknowledged_at + BOUNDS["DrainMs"] / 1000,
    )
    await asyncio.sleep(in_touch_at + 0.1 - time.monotonic())
    record("all machines are in touch, and DrainMs has passed")
    sent: set[str] = set()
    while time.monotonic() < acknowledged_at + SERVES_ON_S:
        for gateway in deployment.gateways:
            request_id = new_id()
            sent.add(request_id)
            request = {"Request-Id": request_id, "Deadline": "8000"}
            answer = await call(
                gateway.front, "POST", "/fetch/b", request, b"x" * 300, timeout=8
            )
            record(f"client gets from {gateway.name} for {request_id}: {answer}")
        await asyncio.sleep(0.05)
    await delivery
    late_runs = [run for run in leaving.runs if run.request_id in sent]
    if late_runs:
        after = late_runs[0].at - acknowledged_at
        record(f"the first request has reached {leaving.name} {after:.3f} s after it")
    record(
        f"of {len(sent)} requests, {len(late_runs)} reached {leaving.name} later than "
        f"{BOUNDS['DrainMs']} ms after the acknowledgement that it is gone"
    )
    return not late_runs


main(case, Path(__file__).parent)
