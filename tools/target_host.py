"""Runs many target stand-ins in one process.

This reaches higher request rates than a process for each target. Options that are not
listed here are passed on to every target; see ``target.py --help``.
"""

from argparse import ArgumentDefaultsHelpFormatter, ArgumentParser
from collections.abc import Sequence
from signal import SIGINT, SIGTERM
from typing import Any

from curio import Task, TaskGroup, run
from msgspec.json import decode, encode
from target import Target, make_target

from lovagetray import Address, SystemClock
from lovagetray._signals import SignalListener
from lovagetray.wire import HttpRequest, HttpResponse, HttpServer, encode_failure


class TargetHost:
    """A set of targets, each on its own port, with an HTTP interface to change them.

    A target that is not alive refuses connections and sends no announcements, as after
    a crash; when it is started again, it has a new incarnation and another port.
    """

    def __init__(self, targets: Sequence[Target], control_port: int) -> None:
        self._targets = {target.name: target for target in targets}
        self._control_port = control_port
        self._tasks: dict[str, Task] = {}

    async def run(self) -> None:
        """Run the targets until SIGTERM or SIGINT."""
        signals = SignalListener((SIGTERM, SIGINT))
        server = HttpServer(self._handle, encode_failure, SystemClock())
        listener = server.listen(Address("127.0.0.1", self._control_port))
        async with TaskGroup(wait=None) as self._group:
            await self._group.spawn(server.run, listener)
            for name in self._targets:
                await self._start(name)
            await signals.receive()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        """Change the named targets, or all if none is named; return their counters."""
        document = decode(request.body)
        change = document.get("change", {})
        counters: dict[str, Any] = {}
        for name in document.get("targets") or list(self._targets):
            counters[name] = self._targets[name].change(change)
            match change.get("alive"):
                case False if name in self._tasks:
                    await self._tasks.pop(name).cancel()
                case True if name not in self._tasks:
                    await self._start(name)
        return HttpResponse(200, {"content-type": "application/json"}, encode(counters))

    async def _start(self, name: str) -> None:
        self._tasks[name] = await self._group.spawn(self._targets[name].serve)


def target_name(service: str, shard: int, replica: int) -> str:
    """Return the name of the target that is one replica of a shard."""
    return f"{service.split('/')[-1]}-{shard}-{replica}"


def main() -> None:
    """Run the targets of a service, or of a range of its shards."""
    parser = ArgumentParser(
        description=__doc__, formatter_class=ArgumentDefaultsHelpFormatter
    )
    parser.add_argument("--control-port", type=int, required=True)
    parser.add_argument("--service", default="kallioniemi/invoices")
    parser.add_argument("--shards", type=int, default=1)
    parser.add_argument("--replicas", type=int, default=1)
    parser.add_argument("--first-shard", type=int, default=0)
    parser.add_argument(
        "--last-shard",
        type=int,
        default=0,
        help="end of the range, excluded; 0: all shards",
    )
    parser.add_argument(
        "--data-centres",
        default="helsinki-1",
        help="of the replicas in turn, separated by commas",
    )
    arguments, target_options = parser.parse_known_args()
    data_centres = arguments.data_centres.split(",")
    targets = []
    for shard in range(arguments.first_shard, arguments.last_shard or arguments.shards):
        for replica in range(arguments.replicas):
            options = ["--service", arguments.service, "--shard", str(shard)]
            options += ["--shards", str(arguments.shards)]
            options += ["--name", target_name(arguments.service, shard, replica)]
            options += ["--data-centre", data_centres[replica % len(data_centres)]]
            targets.append(make_target([*options, *target_options]))
    run(TargetHost(targets, arguments.control_port).run)


if __name__ == "__main__":
    main()
