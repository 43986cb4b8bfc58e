"""Steps for gateway processes, run with the platform stand-in."""

from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from json import dumps, loads
from resource import RLIMIT_FSIZE, prlimit
from shutil import rmtree
from signal import SIGKILL
from socket import socket
from time import monotonic, sleep
from typing import Any

from behave import given, then, when
from behave.runner import Context
from platform_stand_in.fleet import HOST, PlatformFleet, Response

_SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")
_SERVICE = "archive"
_RECORD_BYTES = 16


@given("{count:d} gateways, 4 shards and a service")
def start_small_fleet(context: Context, count: int) -> None:
    start_fleet(context, count, count)


@given("{count:d} gateways, of which {disks:d} have a disk, 4 shards and a service")
def start_fleet(context: Context, count: int, disks: int) -> None:
    fleet = context.fleet = PlatformFleet(context.folder)
    fleet.sources = getattr(context, "sources_of_gateways", None)
    fleet.start(count, disks)
    fleet.start_replicas((*_SHARDS, _SERVICE))
    context.document = fleet.next_configuration(_SHARDS, (_SERVICE,), Version=7)
    fleet.wait_until(lambda: fleet.put_configuration(context.document).status == 200)
    fleet.wait_serving(len(_SHARDS))
    if fleet.sources is None:
        # Gateways of an earlier version may lack the metric.
        fleet.wait_replicas_known()


@given("the service works for {milliseconds:d} ms")
def slow_down_service(context: Context, milliseconds: int) -> None:
    names = [f"{_SERVICE}-{number}" for number in range(3)]
    context.fleet.send_command(names=names, work_ms=milliseconds)


@given("all replicas work for {milliseconds:d} ms")
def slow_down_replicas(context: Context, milliseconds: int) -> None:
    context.fleet.send_command(work_ms=milliseconds)


@given("one replica of each shard has the fault {fault}")
def inject_fault(context: Context, fault: str) -> None:
    names = [f"{shard}-0" for shard in _SHARDS]
    context.fleet.send_command(names=names, mode=fault)


@when("a caller sends a query to each gateway")
def send_queries(context: Context) -> None:
    context.answers = [_query(context.fleet, number, number) for number in range(3)]


@then("each answer holds 4 parts and the greatest 5 records")
def check_queries(context: Context) -> None:
    for answer in context.answers:
        _check_answer(answer)
        assert answer.headers.get("missing-parts", "0") == "0"
        assert len(answer.body) == 5 * _RECORD_BYTES


@when("a caller sends a request to the service through each gateway")
def send_requests(context: Context) -> None:
    context.answers = [
        context.fleet.get(f"/{_SERVICE}/1", number, **{"Request-Id": f"one-{number}"})
        for number in range(3)
    ]


@then("each answer comes from a replica of the service")
def check_requests(context: Context) -> None:
    for number, answer in enumerate(context.answers):
        assert answer.status == 200, answer
        assert answer.headers["request-id"] == f"one-{number}"
        assert answer.headers["server-stamp"].startswith(_SERVICE)


@when("a caller sends a HEAD request to the service through each gateway")
def send_head_requests(context: Context) -> None:
    fleet = context.fleet
    context.answers = [
        fleet.call(
            number,
            gateway.front_port,
            "HEAD",
            f"/{_SERVICE}/1",
            headers={"Request-Id": f"one-{number}"},
        )
        for number, gateway in enumerate(fleet.gateways)
    ]


@then("HEAD requests to the control port are answered as GET requests without a body")
def check_control_head(context: Context) -> None:
    fleet = context.fleet
    port = fleet.gateways[0].control_port
    for path, status in (("/metrics", 200), ("/none", 404)):
        answer = fleet.call(0, port, "HEAD", path)
        assert (answer.status, answer.body) == (status, b""), (path, answer)
        assert int(answer.headers["content-length"]) > 0, answer


@then("each answer comes from a replica of the service and states its length")
def check_head_requests(context: Context) -> None:
    check_requests(context)
    for answer in context.answers:
        assert answer.headers["content-length"] == str(25 * _RECORD_BYTES), answer
        assert answer.body == b"", answer


@then("every gateway lists all front addresses")
def check_addresses(context: Context) -> None:
    def all_listed() -> bool:
        listed = [_address_list(context, number) for number in range(3)]
        assert all(0 < part["ttl_s"] <= 5 for part in listed), listed
        return [len(part["addrs"]) for part in listed] == [3, 3, 3]

    # An instance learns by a message that another one serves: with 100 busy processes a
    # first list held 1 of 3 addresses, and all of them 0.1 s later.
    context.fleet.wait_until(all_listed)


@when("the operator sends the configuration again")
def resend_configuration(context: Context) -> None:
    context.responses = [context.fleet.put_configuration(context.document, 1)]


@when("the operator sends an older version")
def send_older_version(context: Context) -> None:
    older = context.fleet.next_configuration(_SHARDS[:2], Version=3)
    context.responses = [context.fleet.put_configuration(older, 2)]


@when("the operator sends other content under the same version")
def send_changed_version(context: Context) -> None:
    changed = context.fleet.next_configuration(_SHARDS[:2], Version=7)
    context.responses = [context.fleet.put_configuration(changed, 0)]


@then("it is acknowledged and reads back unchanged")
def check_acknowledged(context: Context) -> None:
    assert [answer.status for answer in context.responses] == [200], context.responses
    check_read_back(context)


@when("{count:d} gateways start, and the {name} port of the last one is in use")
def start_with_port_in_use(context: Context, count: int, name: str) -> None:
    fleet = context.fleet = PlatformFleet(context.folder)
    with socket() as listener:
        listener.bind((f"127.0.1.{count}", fleet.port(name)))
        listener.listen()
        fleet.start(count, count)
        # The server of callers starts only with a configuration, which needs all seeds.
        document = fleet.next_configuration(_SHARDS, (_SERVICE,))
        last = fleet.gateways[-1].process
        fleet.wait_until(
            lambda: fleet.put_configuration(document).status == 200
            or last.poll() is not None
        )
        context.exit_code = fleet.wait_stopped(count - 1, 30)


@then("the last one exits with code {code:d} and logs that the task {task} has ended")
def check_failed_start(context: Context, code: int, task: str) -> None:
    assert context.exit_code == code, context.exit_code
    last = len(context.fleet.gateways)
    lines = (context.folder / f"entry-{last}.log").read_text().splitlines()
    reasons = [loads(line)["reason"] for line in lines if "gateway_failed" in line]
    assert len(reasons) == 1, lines
    assert f"'{task}' has ended" in reasons[0], reasons
    assert "in use" in reasons[0], reasons


@when("the operator sends invalid configurations")
def send_invalid_configurations(context: Context) -> None:
    valid = context.fleet.next_configuration(_SHARDS, (_SERVICE,), Version=99)
    route = valid["Routes"][0]
    split_route = {"Name": "x", "Host": HOST, "PathPrefix": "/x/", "RouteType": "safe"}
    weights = [{"Service": _SERVICE, "Weight": 0}]
    invalid: list[Any] = [
        dumps(valid).encode()[:-20],
        b"\xff\xfe",
        valid | {"Version": "99"},
        valid | {"Routes": [route, route]},
        valid | {"Routes": [route | {"TimeoutMs": 0}]},
        valid | {"Routes": [route | {"Gather": ["nobody"]}]},
        valid | {"Routes": [route | {"RouteType": "perhaps"}]},
        valid | {"Routes": [split_route | {"TimeoutMs": 9, "TrafficSplit": weights}]},
    ]
    context.responses = [
        context.fleet.put_configuration(document) for document in invalid
    ]


@then("each is refused with 400 and reads back unchanged")
def check_refused(context: Context) -> None:
    assert {answer.status for answer in context.responses} == {400}, context.responses
    check_read_back(context)


@then("the configuration reads back unchanged")
def check_read_back(context: Context) -> None:
    fleet = context.fleet

    def any_readable() -> bool:
        return any(
            _read_configuration(fleet, number).status == 200 for number in range(3)
        )

    fleet.wait_until(any_readable)
    for number in range(3):
        # Two instances can elect a leader while the third is still starting.
        fleet.wait_until(lambda: _read_configuration(fleet, number).status != 0)
        answer = _read_configuration(fleet, number)
        assert answer.status in (200, 307, 503), answer
        if answer.status == 200:
            assert loads(answer.body) == context.document


@when("notices with missing and wrong fields arrive")
def send_invalid_notices(context: Context) -> None:
    valid = {
        "Service": _SHARDS[0],
        "Address": "127.0.0.1:1",
        "Zone": "zone-1",
        "Slots": 5,
        "State": "ready",
        "Sequence": 1,
        "born": 5,
    }
    invalid: list[bytes] = [b"", b"\xff\x00", b"[]", b'"ready"']
    invalid += [dumps({**valid, name: None}).encode() for name in valid]
    invalid += [
        dumps(valid | change).encode()
        for change in (
            {"State": "asleep"},
            {"Address": "nowhere"},
            {"Address": "127.0.0.1:²"},
            {"born": "5"},
            {"Address": "127.0.0.1:0"},
            {"Address": "127.0.0.1:70000"},
            {"WarmupLeftMs": 1e300},
            {"Sequence": 10**30},
        )
    ]
    nested = b"[" * 100_000
    invalid.append(dumps(valid).encode()[:-1] + b',"x":' + nested + b"}")
    control = context.fleet.gateways[0].control_port
    context.responses = [
        context.fleet.call(0, control, "POST", "/-/instances/i-9/heartbeat", body)
        for body in invalid
    ]


@then("each is refused with 400")
def check_all_refused(context: Context) -> None:
    assert {answer.status for answer in context.responses} == {400}, context.responses


@then("a query is answered with 4 parts")
def check_served(context: Context) -> None:
    context.fleet.wait_serving(len(_SHARDS))


@when("callers send requests to a gateway that receives SIGTERM")
def stop_under_load(context: Context) -> None:
    fleet = context.fleet
    context.interrupted = []
    context.answered = []
    context.statuses = {}

    def call(caller: int) -> None:
        end = monotonic() + 7
        number = 0
        while monotonic() < end:
            number += 1
            connection = HTTPConnection(
                "127.0.1.2", fleet.gateways[1].front_port, timeout=9
            )
            try:
                connection.connect()
                headers = {"Host": HOST, "Request-Id": f"stop-{caller}-{number}"}
                connection.request("GET", f"/{_SERVICE}/1", headers=headers)
            except OSError:
                # No request was accepted: the gateway does not listen any more.
                sleep(0.05)
                continue
            try:
                status = connection.getresponse().status
                context.answered.append(status)
                context.statuses[headers["Request-Id"]] = status
            except (OSError, HTTPException) as error:
                context.interrupted.append((headers["Request-Id"], repr(error)))
            finally:
                connection.close()

    with ThreadPoolExecutor(4) as threads:
        callers = [threads.submit(call, caller) for caller in range(4)]
        sleep(0.5)
        terminated_at = monotonic()
        fleet.terminate(1)
        context.exit_code = fleet.wait_stopped(1, 10)
        context.stopped_after = monotonic() - terminated_at
        for caller in callers:
            caller.result()


@then("every request that it accepted was answered")
def check_all_answered(context: Context) -> None:
    arrived = _arrived(context.fleet)
    lost = [(name, error) for name, error in context.interrupted if name in arrived]
    assert not lost, lost
    assert len(context.answered) > 10, context.answered
    assert set(context.answered) == {200}, context.answered


@then("every request that it accepted got a complete answer")
def check_all_complete(context: Context) -> None:
    arrived = _arrived(context.fleet)
    lost = [(name, error) for name, error in context.interrupted if name in arrived]
    assert not lost, lost
    assert len(context.answered) > 10, context.answered


@then("none that ran was refused")
def check_none_refused(context: Context) -> None:
    ran = _arrived(context.fleet)
    refused = [name for name, status in context.statuses.items() if status == 503]
    assert not ran & set(refused), ran & set(refused)


@when(
    "a gateway receives SIGTERM and a connection that was open before is used after "
    "{seconds:g} s"
)
def use_late(context: Context, seconds: float) -> None:
    fleet = context.fleet
    connection = HTTPConnection("127.0.1.2", fleet.gateways[1].front_port, timeout=9)
    connection.connect()
    fleet.terminate(1)
    sleep(seconds)
    context.late_status = 0
    try:
        headers = {"Host": HOST, "Request-Id": "late-1"}
        connection.request("GET", f"/{_SERVICE}/1", headers=headers)
        context.late_status = connection.getresponse().status
    except (OSError, HTTPException) as error:
        context.late_error = error
    finally:
        connection.close()


@then("its request got a complete answer")
def check_late_answer(context: Context) -> None:
    # Closing a connection before its request is read is a promise that it did not run.
    assert context.late_status or "late-1" not in _arrived(
        context.fleet
    ), context.late_error


@then("it exits within {seconds:d} s with exit code 0")
def check_stopped_in_time(context: Context, seconds: int) -> None:
    assert context.exit_code == 0
    assert context.stopped_after < seconds, context.stopped_after


@when("all gateways are killed and started again")
def restart_all(context: Context) -> None:
    for number in range(3):
        context.fleet.kill(number)
    for number in range(3):
        context.fleet.start_gateway(number, disk=True, first_start=False)


@when("a replica deregisters, and all gateways are killed at once and started again")
def deregister_and_restart(context: Context) -> None:
    fleet = context.fleet
    context.drained = f"{_SHARDS[0]}-1"
    # The stand-in goes on to send notices, like those that were held up.
    path = f"/-/instances/{context.drained}/deregister"
    answer = fleet.call(1, fleet.gateways[1].control_port, "POST", path)
    for gateway in fleet.gateways:
        gateway.process.send_signal(SIGKILL)
    assert answer.status == 200, answer
    restart_all(context)
    fleet.wait_serving(len(_SHARDS))
    # Notices of all replicas come in meanwhile.
    sleep(2)
    context.arrived_before = len(_replica(fleet, context.drained)["arrived"])
    for number in range(60):
        _query(fleet, number % 3, f"left-{number}")


@when("all gateways are killed and started again with seed nodes that are down")
def restart_all_without_seeds(context: Context) -> None:
    for number in range(3):
        context.fleet.kill(number)
    down = [f"127.0.1.{number}" for number in (10, 11, 12)]
    for number in range(3):
        context.fleet.start_gateway(number, disk=True, first_start=False, seeds=down)


@when("each gateway in turn is killed and started with an empty disk")
def lose_disks(context: Context) -> None:
    fleet = context.fleet
    for number in range(3):
        fleet.kill(number)
        rmtree(context.folder / f"entry-{number + 1}")
        fleet.start_gateway(number, disk=True, first_start=False)
        fleet.wait_until(lambda: fleet.ready(number))
        # The platform gives a replaced machine this long to catch up.
        sleep(4)


@when("the disk of one gateway is full and a configuration is accepted")
def fill_disk(context: Context) -> None:
    fleet = context.fleet
    process = fleet.gateways[1].process
    # No file may grow any more. Python ignores SIGXFSZ, so writes fail with an error.
    prlimit(process.pid, RLIMIT_FSIZE, (0, 0))
    newer = fleet.next_configuration(_SHARDS[:3], (_SERVICE,), Version=8)
    context.document = newer
    fleet.wait_until(lambda: fleet.put_configuration(newer).status == 200)


@then("that gateway exits with code {code:d}")
def check_exit_code(context: Context, code: int) -> None:
    assert context.fleet.wait_stopped(1, 10) == code


@then("after a restart with free disk space it serves the new configuration")
def check_restarted(context: Context) -> None:
    context.fleet.start_gateway(1, disk=True, first_start=False)
    context.fleet.wait_serving(3)


@when("a replica announces to one gateway that it is draining")
def drain(context: Context) -> None:
    fleet = context.fleet
    context.drained = f"{_SHARDS[0]}-1"
    fleet.send_command(names=[context.drained], state="draining")
    told = fleet.send_command(names=[context.drained], tell="heartbeat")["told"]
    assert told == {context.drained: 200}, told
    context.arrived_before = len(_replica(fleet, context.drained)["arrived"])
    for number in range(60):
        _query(fleet, number % 3, f"drain-{number}")


@then("it receives no more requests through any gateway")
def check_drained(context: Context) -> None:
    arrived = _replica(context.fleet, context.drained)["arrived"]
    assert len(arrived) == context.arrived_before, arrived[context.arrived_before :]


@when("a deregistration of an earlier run of a replica arrives")
def deregister_earlier_run(context: Context) -> None:
    context.drained = f"{_SHARDS[0]}-1"
    context.answer = _send_notice(context, context.drained, "deregister", born=5)


@then("it is acknowledged, and the replica is still used")
def check_still_used(context: Context) -> None:
    assert context.answer.status == 200, context.answer
    before = len(_replica(context.fleet, context.drained)["arrived"])
    for number in range(60):
        _query(context.fleet, number % 3, f"used-{number}")
    assert len(_replica(context.fleet, context.drained)["arrived"]) > before


@when("an unknown replica deregisters and its earlier notice arrives after that")
def deregister_unknown(context: Context) -> None:
    context.drained = f"{_SHARDS[0]}-1"
    # Later than the start of the replica that has the address.
    born = 2**45
    _send_notice(context, "unknown-1", "deregister", born=born, Sequence=7)
    _send_notice(context, "unknown-1", "heartbeat", born=born, Sequence=6)


@then("it does not take over the address of a known replica")
def check_unknown_unused(context: Context) -> None:
    for number in range(60):
        _query(context.fleet, number % 3, f"unknown-{number}")
    arrived = _replica(context.fleet, context.drained)["arrived"]
    assert any(request[0].startswith("query-unknown") for request in arrived), arrived


@when("a caller closes its connection during a query")
def disconnect(context: Context) -> None:
    connection = HTTPConnection("127.0.1.1", context.fleet.gateways[0].front_port)
    headers = {"Host": HOST, "Request-Id": "leaves"}
    connection.request("GET", "/all/q", headers=headers)
    context.fleet.wait_until(lambda: "leaves" in _arrived(context.fleet))
    connection.close()


@then("the replicas stop working within half a second")
def check_stopped(context: Context) -> None:
    # The platform allows half a second; the rest allows for delays of the test machine.
    context.fleet.wait_until(lambda: _running(context.fleet) == 0, 1.0)


@when("callers send {count:d} queries")
def send_many_queries(context: Context, count: int) -> None:
    with ThreadPoolExecutor(4) as threads:
        context.answers = list(
            threads.map(
                lambda number: _query(context.fleet, number % 3, number), range(count)
            )
        )


@then("each successful answer is consistent and at least {count:d} are complete")
def check_answers(context: Context, count: int) -> None:
    successes = [answer for answer in context.answers if answer.status == 200]
    for answer in successes:
        _check_answer(answer)
    complete = [
        answer for answer in successes if answer.headers["missing-parts"] == "0"
    ]
    assert len(complete) >= count, [answer.status for answer in context.answers]


def _address_list(context: Context, number: int) -> Any:
    path = f"/-/resolve?Name={HOST}&Region=r&Zone=zone-1"
    port = context.fleet.gateways[number].directory_port
    return loads(context.fleet.call(number, port, "GET", path).body)


def _send_notice(context: Context, name: str, action: str, **fields: Any) -> Response:
    """Send a notice at the address of the replica that the scenario is about."""
    fleet = context.fleet
    notice = {
        "Service": _SHARDS[0],
        "Address": f"127.0.0.1:{_replica(fleet, context.drained)['port']}",
        "Zone": "zone-1",
        "Slots": 5,
        "State": "ready",
        "Sequence": 1,
        "born": 1,
        **fields,
    }
    path = f"/-/instances/{name}/{action}"
    control = fleet.gateways[1].control_port
    return fleet.call(1, control, "POST", path, dumps(notice).encode())


def _query(fleet: PlatformFleet, number: int, name: object) -> Response:
    headers = {"Request-Id": f"query-{name}", "Deadline": "2000"}
    return fleet.get("/all/q", number, **headers)


def _check_answer(answer: Response) -> None:
    assert answer.status == 200, answer
    stamps = [stamp.strip() for stamp in answer.headers["part-stamps"].split(",")]
    services = {stamp.rsplit("-", 1)[0] for stamp in stamps}
    assert len(services) == len(stamps), stamps
    missing = int(answer.headers["missing-parts"])
    assert len(stamps) + missing == len(_SHARDS), answer.headers
    records = [
        answer.body[start : start + _RECORD_BYTES]
        for start in range(0, len(answer.body), _RECORD_BYTES)
    ]
    assert records == sorted(records, reverse=True)


def _read_configuration(fleet: PlatformFleet, number: int) -> Response:
    control = fleet.gateways[number].control_port
    return fleet.call(number, control, "GET", "/-/config/get")


def _replica(fleet: PlatformFleet, name: str) -> Any:
    return fleet.send_command(names=[name])["replicas"][name]


def _arrived(fleet: PlatformFleet) -> set[str]:
    replicas = fleet.send_command()["replicas"].values()
    return {request[0] for replica in replicas for request in replica["arrived"]}


def _running(fleet: PlatformFleet) -> int:
    return sum(
        replica["running"] for replica in fleet.send_command()["replicas"].values()
    )
