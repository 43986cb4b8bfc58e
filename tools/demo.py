"""Demonstration: a search over 10 shards, then the same with replicas killed."""

from argparse import ArgumentParser
from pathlib import Path
from subprocess import run
from sys import executable, exit
from tempfile import TemporaryDirectory

from fleet import Fleet

_SERVICE = "kallioniemi/invoices"


def main() -> int:
    """Run the demonstration; return 0 if both answers were complete."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="", help="the one-file program to use")
    parser.add_argument("--shards", type=int, default=10)
    arguments = parser.parse_args()
    program = [executable, "-m", "lovagetray"]
    if arguments.program:
        program = [executable, arguments.program]
    with TemporaryDirectory() as folder:
        with Fleet(Path(folder), program) as fleet:
            return _demonstrate(fleet, program, arguments.shards)


def _demonstrate(fleet: Fleet, program: list[str], shards: int) -> int:
    print("starting 3 entry instances", flush=True)
    fleet.start_entries(3, voters=3)
    print(f"starting {shards} shards with 3 replicas each", flush=True)
    fleet.start_targets(_SERVICE, shards, 3)
    for entry in fleet.entries:
        if _children(entry.process.pid):
            print(f"{entry.name} started another process")
            return 1
    command = [*program, "query", _SERVICE, "wedding album", "--deadline", "1000"]
    for entry in fleet.entries:
        command += ["--entry", f"127.0.0.1:{entry.http_port}"]
    print("a search:", flush=True)
    first = run(command).returncode
    print("the same search with one replica of each shard killed:", flush=True)
    for target in fleet.targets[:shards]:
        fleet.kill(target)
    second = run(command).returncode
    print("both answers complete" if not first and not second else "INCOMPLETE")
    return first or second


def _children(pid: int) -> str:
    """Return the ids of the processes that a process has started."""
    return "".join(
        children.read_text()
        for children in Path(f"/proc/{pid}/task").glob("*/children")
    )


if __name__ == "__main__":
    exit(main())
