"""Steps that run entry instances and targets as processes and search through them."""

from configparser import ConfigParser
from json import loads
from shutil import rmtree

from behave import given, then, when
from behave.runner import Context
from fleet import Fleet, free_ports

_SERVICE = "kallioniemi/invoices"


@given(
    "{count:d} entry instances and a service of {shards:d} shards "
    "with {replicas:d} replicas"
)
def start_fleet(context: Context, count: int, shards: int, replicas: int) -> None:
    context.fleet = Fleet(context.folder)
    context.fleet.start_entries(count)
    context.fleet.start_targets(_SERVICE, shards, replicas)


@when("replica 0 of each shard is killed")
def kill_first_replicas(context: Context) -> None:
    for target in context.fleet.targets:
        if target.name.endswith("-0"):
            context.fleet.kill(target)


@when("the only replica of shard {shard:d} is killed")
def kill_shard(context: Context, shard: int) -> None:
    for target in context.fleet.targets:
        if target.shard == shard:
            context.fleet.kill(target)


@when('a caller searches for "{terms}"')
def search(context: Context, terms: str) -> None:
    document = {"service": _SERVICE, "terms": terms, "deadline_ms": 2000}
    port = context.fleet.entries[0].http_port
    context.answer = context.fleet.post(port, "/v1/search", document)


@then("the answer includes {included:d} of {shards:d} shards")
def check_coverage(context: Context, included: int, shards: int) -> None:
    coverage = context.answer["coverage"]
    assert len(coverage["included"]) == included, coverage
    assert coverage["shards"] == shards, coverage


@then("the answer names shard {shard:d} as missing")
def check_missing(context: Context, shard: int) -> None:
    missing = [gap["shard"] for gap in context.answer["coverage"]["missing"]]
    assert missing == [shard], context.answer["coverage"]


@when("the second one is started again while its {name} port is in use")
def start_with_port_in_use(context: Context, name: str) -> None:
    fleet = context.fleet
    other = "peer" if name == "http" else "http"
    path = fleet.entries[1].settings
    settings = ConfigParser()
    settings.read(path)
    # The running process has the port of the name, and its own folder.
    settings["instance"][f"{other}_port"] = str(free_ports(1)[0])
    folder = settings["instance"]["data_folder"] = str(context.folder / "second")
    rmtree(folder, ignore_errors=True)
    with path.open("w") as file:
        settings.write(file)
    running = fleet.entries[1]
    fleet.restart_entry(1)
    # The fleet ends both processes, whatever comes of the second one.
    fleet.entries.append(running)
    context.exit_code = fleet.entries[1].process.wait(30)


@then("it exits with code {code:d} and logs that the task {task} has ended")
def check_failed_start(context: Context, code: int, task: str) -> None:
    lines = (context.folder / "entry-2.log").read_text().splitlines()
    assert context.exit_code == code, (context.exit_code, lines)
    reasons = [loads(line)["reason"] for line in lines if "instance_failed" in line]
    assert len(reasons) == 1, lines
    assert f"'{task}' has ended" in reasons[0], reasons
    assert "in use" in reasons[0], reasons
