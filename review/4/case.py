"""Machines are stopped in turn under load and cut requests just accepted."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path
from signal import SIGTERM

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from deployment import (  # noqa: E402
    BOUNDS,
    HOST,
    ZONES,
    CannotRun,
    call,
    configuration,
    main,
    new_id,
    route,
)

CLIENTS = 48
# Work takes up to 1,300 ms in the site file.
WORK_S = (0.7, 1.3)
DEADLINE_S = 8.0
# Clients keep an address list three times as long as it says, at most.
KEPT_FACTOR = 3
# The rule counts a request that was sent later than this after the SIGTERM, even if its
# replica was at work in the last sixth of GraceS.
EXCUSED_S = 3.0


class Client:
    """A client that sends one request after the other, each on a new connection."""

    def __init__(self, deployment, kept_factor: float, requests: list) -> None:
        self._deployment = deployment
        self._kept_factor = kept_factor
        self._requests = requests
        self._addresses: list = []
        self._valid_until = 0.0

    async def run(self, until: float) -> None:
        while time.monotonic() < until:
            if time.monotonic() > self._valid_until:
                await self._resolve()
            if not self._addresses:
                await asyncio.sleep(0.1)
                continue
            address = random.choice(self._addresses)
            request_id = new_id()
            sent_at = time.monotonic()
            request = {
                "Request-Id": request_id,
                "Deadline": str(int(DEADLINE_S * 1000)),
            }
            answer = await call(
                address, "POST", "/fetch/b", request, b"x" * 300, timeout=DEADLINE_S
            )
            if answer.error.startswith("no connection"):
                self._addresses.remove(address)
                continue
            self._requests.append((sent_at, address, request_id, answer))

    async def _resolve(self) -> None:
        for gateway in random.sample(self._deployment.gateways, 3):
            path = f"/-/resolve?Name={HOST}&Region=suomi-etela&Zone={gateway.zone}"
            answer = await call(gateway.directory, "GET", path, timeout=1.0)
            if answer.status != 200:
                continue
            listed = json.loads(answer.body)
            self._addresses = []
            for text in listed["addrs"]:
                host, _, port = text.rpartition(":")
                self._addresses.append((host, int(port)))
            lifetime = min(listed["ttl_s"], BOUNDS["ttl_max_s"])
            self._valid_until = time.monotonic() + self._kept_factor * lifetime
            return


async def case(deployment, trouble) -> bool:
    record = deployment.record
    await deployment.start()
    for number, zone in enumerate(ZONES):
        await deployment.add_replica(f"arkisto-{number}", "arkisto", zone)
    routes = [route("archive-fetch", "/fetch/", "unsafe", "arkisto")]
    await deployment.put(configuration(1, routes, ["arkisto"]))
    await deployment.wait_serving("/fetch/a", "POST")
    for replica in deployment.replicas:
        replica.draw_work = lambda: random.uniform(*WORK_S)
    requests: list = []
    clients = [
        Client(deployment, KEPT_FACTOR if number % 4 else 1, requests)
        for number in range(CLIENTS)
    ]
    stops: dict = {}
    started_at = time.monotonic()
    traffic = [asyncio.ensure_future(client.run(started_at + 42)) for client in clients]
    # Longer than ContactMs, so that the machines are in touch.
    await asyncio.sleep(6)
    for gateway in deployment.gateways:
        stops[gateway.front] = time.monotonic()
        if not trouble:
            await asyncio.sleep(11)
            continue
        deployment.signal(gateway, SIGTERM)
        while gateway.process.poll() is None:
            await asyncio.sleep(0.05)
        record(f"{gateway.name} has ended with exit code {gateway.process.poll()}")
        deployment.start_gateway(gateway)
        await asyncio.sleep(5)
    await asyncio.gather(*traffic)

    arrived = {
        run.request_id for replica in deployment.replicas for run in replica.runs
    }
    counted = lost = 0
    for sent_at, address, request_id, answer in sorted(requests, key=lambda r: r[0]):
        after = sent_at - stops[address]
        record(
            f"request {request_id}, sent to {address[0]} {after:+.3f} s after its "
            f"SIGTERM: {answer}"
        )
        if not EXCUSED_S < after <= BOUNDS["GraceS"] + 1:
            continue
        counted += 1
        if not answer.status and request_id in arrived:
            lost += 1
            record(f"{request_id} was passed on to a sound replica and cut")
    if trouble and not counted:
        raise CannotRun("no request in the time that is judged")
    record(
        f"of {counted} requests that a machine read later than {EXCUSED_S} s after its "
        f"SIGTERM, {lost} were passed on and got no answer"
    )
    return not lost


main(case, Path(__file__).parent, gateways=3, disks=3)
