"""Steps for fleets in which two versions of the program run."""

from json import loads
from pathlib import Path
from subprocess import run

from behave import given, then, when
from behave.runner import Context
from platform_stand_in.fleet import PlatformFleet

_REPOSITORY = Path(__file__).parent.parent.parent
_OWN_SOURCES = _REPOSITORY / "src"


@given("3 gateways of version {version}, 4 shards and a service")
def start_old_fleet(context: Context, version: str) -> None:
    context.sources_of_gateways = _extract_sources(context.folder, version)
    context.execute_steps("Given 3 gateways, 4 shards and a service")
    context.states = []


@when("each gateway in turn is stopped and started with this version")
def replace_all(context: Context) -> None:
    for number in range(3):
        _replace(context, number, _OWN_SOURCES)


@when("the operator submits a configuration")
def submit(context: Context) -> None:
    fleet: PlatformFleet = context.fleet
    shards = ("shard-a", "shard-b", "shard-c", "shard-d")
    context.document = fleet.next_configuration(shards, ("archive",), Version=9)
    answer = fleet.put_configuration(context.document)
    assert answer.status == 200, answer


@when("the last gateway is stopped and started with version {version}")
def replace_back(context: Context, version: str) -> None:
    _replace(context, 2, context.sources_of_gateways)


@then("after each step the configuration reads back and every gateway answers")
def check_states(context: Context) -> None:
    assert context.states
    for read_back, parts in context.states:
        assert read_back and parts == [4, 4, 4], context.states
    context.states = []


def _extract_sources(folder: Path, version: str) -> Path:
    target = folder / f"sources-{version}"
    target.mkdir()
    archive = run(
        ["git", "archive", version, "src"],
        cwd=_REPOSITORY,
        capture_output=True,
        check=True,
    )
    run(["tar", "-x", "-C", target], input=archive.stdout, check=True)
    return target / "src"


def _replace(context: Context, number: int, sources: Path) -> None:
    fleet: PlatformFleet = context.fleet
    process = fleet.gateways[number].process
    process.terminate()
    process.wait(10)
    fleet.sources = sources
    fleet.start_gateway(number, disk=True, first_start=False)
    fleet.wait_serving(4)
    fleet.wait_until(lambda: _reads_back(context))
    context.states.append(
        (_reads_back(context), [_parts(fleet, other, number) for other in range(3)])
    )


def _reads_back(context: Context) -> bool:
    fleet: PlatformFleet = context.fleet
    bodies = []
    for number in range(3):
        control = fleet.gateways[number].control_port
        answer = fleet.call(number, control, "GET", "/-/config/get")
        if answer.status == 200:
            bodies.append(loads(answer.body))
    return bodies == [context.document]


def _parts(fleet: PlatformFleet, number: int, step: int) -> int:
    headers = {"Request-Id": f"update-{step}-{number}", "Deadline": "2000"}
    answer = fleet.get("/all/q", number, **headers)
    if answer.status != 200:
        return 0
    return len(answer.headers["part-stamps"].split(","))
