"""Demonstrates a search over 10 shards, then the same one with replicas killed."""

from argparse import ArgumentParser
from pathlib import Path
from subprocess import run
from sys import executable, exit
from tempfile import TemporaryDirectory

from fleet import Fleet

_SERVICE = "kallioniemi/invoices"


def main() -> int:
    """Run the demonstration; return the exit code, 0 if both answers are complete."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument(
        "--program", default="", help="one-file program; the package if empty"
    )
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
        if _child_processes(entry.process.pid):
            print(f"{entry.name} started a child process")
            return 1
    command = [*program, "query", _SERVICE, "wedding album", "--deadline", "1000"]
    for entry in fleet.entries:
        command += ["--entry", f"127.0.0.1:{entry.http_port}"]
    print("a search:", flush=True)
    first_exit_code = run(command).returncode
    print("the same search with one replica of each shard killed:", flush=True)
    for target in fleet.targets[:shards]:
        fleet.kill(target)
    second_exit_code = run(command).returncode
    print(
        "both answers complete"
        if not first_exit_code and not second_exit_code
        else "INCOMPLETE"
    )
    return first_exit_code or second_exit_code


def _child_processes(pid: int) -> str:
    """Return the ids of the child processes of a process, separated by spaces."""
    return "".join(
        children.read_text()
        for children in Path(f"/proc/{pid}/task").glob("*/children")
    )


if __name__ == "__main__":
    exit(main())
