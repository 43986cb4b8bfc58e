"""Open-loop load generator: sends requests at planned times, independent of answers.

Prints a table and can write a JSON report. Latency is counted from the planned time of
a request, so that a stall of the system or of this tool shows in the percentiles.
"""

from argparse import ArgumentDefaultsHelpFormatter, ArgumentParser, ArgumentTypeError
from collections.abc import Callable, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple, NotRequired, TypedDict

from curio import Queue, TaskGroup, run
from expression import Result
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder, decode, encode, format as format_json
from prometheus_client.parser import text_string_to_metric_families
from recording import Arrival, Phase, PhaseRecorder, PhaseReport, arrivals, table

from lovagetray import Address, Clock, SystemClock
from lovagetray.cli._arguments import address_argument
from lovagetray.cli._caller import Caller
from lovagetray.wire import HttpConnection, HttpResponse

# The line on standard output that tells a parent process that the warm-up is over.
MEASURING = "measuring"
_SUB_REQUEST_METRIC = "lovagetray_sub_requests_total"
_EXCHANGE_TIMEOUT = timedelta(seconds=3)
# The reply may still be in transit when the deadline of the search passes.
_REPLY_MARGIN = timedelta(seconds=1)


class _Coverage(TypedDict):
    shards: int
    included: list[int]


class _Refusal(TypedDict):
    code: str
    not_run: bool


class _Response(TypedDict):
    coverage: NotRequired[_Coverage]
    error: NotRequired[_Refusal]


_response_decoder = Decoder(_Response)


class LoadPlan(NamedTuple):
    """The requests of a run and the processes that they go to.

    Parameters
    ----------
    entries
        Addresses of entry instances.
    callers
        Number of callers of each member; each has at most one request in flight.
    timeout
        Time that each request has for its answer, sent as ``deadline_ms``.
    latency_goal
        Latency up to which an answer counts as in time.
    warm_up
        Duration of load at the rate of the first phase, which is not recorded.
    seed
        Determines the planned times of the requests.
    count_targets
        Control addresses of target hosts. Their counters are read if the instances
        count no sub-requests.
    tell_start
        Whether to print a line when the warm-up is over.
    """

    service: str
    terms: str
    entries: Sequence[Address]
    data_centres: Sequence[str]
    members: Sequence[str]
    callers: int
    timeout: timedelta
    latency_goal: timedelta
    phases: Sequence[Phase]
    warm_up: timedelta
    seed: int
    count_targets: Sequence[Address] = ()
    tell_start: bool = False


class _Request(NamedTuple):
    arrival: Arrival
    planned_time: timedelta
    recorder: PhaseRecorder


class LoadGenerator:
    """A run of a load plan.

    One task queues the requests at their planned times; one task for each caller sends
    them.

    Parameters
    ----------
    make_caller
        Returns a caller with a name and in a data centre; by default one that follows
        the address lists of the entry instances.
    """

    def __init__(
        self,
        plan: LoadPlan,
        clock: Clock,
        make_caller: Callable[[str, str], Caller] | None = None,
    ) -> None:
        self._plan = plan
        self._make_caller = make_caller or self._make_default_caller
        self._clock = clock
        self._queues = {member: Queue() for member in plan.members}

    async def run(self) -> list[PhaseReport]:
        """Run the warm-up and all phases and return the reports of the phases."""
        plan = self._plan
        async with TaskGroup(wait=None) as group:
            for number in range(plan.callers * len(plan.members)):
                member = plan.members[number % len(plan.members)]
                data_centre = plan.data_centres[number % len(plan.data_centres)]
                name = f"{member}-{number}"
                caller = self._make_caller(name, data_centre)
                await group.spawn(self._run_caller, caller, member)
            if plan.warm_up:
                await self._send_phase(
                    Phase(plan.phases[0].rate, plan.warm_up), plan.seed - 1
                )
            return await self._run_phases(group)

    def _make_default_caller(self, name: str, data_centre: str) -> Caller:
        return Caller(self._plan.entries, name, data_centre, self._clock)

    async def _run_phases(self, group: TaskGroup) -> list[PhaseReport]:
        """Run the phases without a pause in between and return their reports.

        Requests that are in flight at the end of a phase continue during the next one;
        the last phase waits for the end of its requests. The sub-requests of a phase
        are those that were sent between its start and its end, so that some of them
        belong to requests of the previous phase.
        """
        counts = [await group.spawn(read_sub_requests, self._plan, self._clock)]
        if self._plan.tell_start:
            print(MEASURING, flush=True)
        recorders = []
        for number, phase in enumerate(self._plan.phases):
            recorders.append(await self._send_phase(phase, self._plan.seed + number))
            if number == len(self._plan.phases) - 1:
                for queue in self._queues.values():
                    await queue.join()
            counts.append(await group.spawn(read_sub_requests, self._plan, self._clock))
        totals = [await count.join() for count in counts]
        for recorder, before, after in zip(recorders, totals, totals[1:]):
            recorder.count_sub_requests(
                {kind: count - before.get(kind, 0) for kind, count in after.items()}
            )
        return [recorder.report() for recorder in recorders]

    async def _send_phase(self, phase: Phase, seed: int) -> PhaseRecorder:
        """Queue the requests of a phase at their times; return their recorder."""
        recorder = PhaseRecorder(phase, self._plan.members, self._plan.latency_goal)
        start = self._clock.monotonic_time()
        for arrival in arrivals(phase, self._plan.members, seed):
            planned_time = start + arrival.offset
            await self._clock.sleep(planned_time - self._clock.monotonic_time())
            request = _Request(arrival, planned_time, recorder)
            await self._queues[arrival.member].put(request)
        await self._clock.sleep(start + phase.duration - self._clock.monotonic_time())
        return recorder

    async def _run_caller(self, caller: Caller, member: str) -> None:
        queue = self._queues[member]
        try:
            while True:
                request = await queue.get()
                await self._send_search(caller, request)
                await queue.task_done()
        finally:
            await caller.close()

    async def _send_search(self, caller: Caller, request: _Request) -> None:
        body = {
            "service": self._plan.service,
            "terms": self._plan.terms,
            "member": request.arrival.member,
            "deadline_ms": int(self._plan.timeout / timedelta(milliseconds=1)),
            "limit": 5,
        }
        timeout = self._plan.timeout + _REPLY_MARGIN
        replied = await caller.call("POST", "/v1/search", encode(body), timeout)
        latency = self._clock.monotonic_time() - request.planned_time
        match replied:
            case Result(tag="ok", ok=response):
                _record_response(request, latency, response)
            case Result(error=failure):
                member = request.arrival.member
                request.recorder.record_no_reply(
                    member, type(failure).__name__, latency
                )


def _record_response(
    request: _Request, latency: timedelta, response: HttpResponse
) -> None:
    member = request.arrival.member
    try:
        document = _response_decoder.decode(response.body)
    except (DecodeError, ValidationError):
        request.recorder.record_no_reply(member, "malformed", latency)
        return
    match document:
        case {"coverage": coverage}:
            request.recorder.record_answer(member, latency, coverage)
        case {"error": refusal}:
            request.recorder.record_refusal(member, refusal["code"], refusal["not_run"])
        case _:
            request.recorder.record_no_reply(member, "malformed", latency)


async def read_sub_requests(plan: LoadPlan, clock: Clock) -> dict[str, float]:
    """Return the number of sub-requests so far by kind.

    The numbers are the instances' counters or, while these have none, the requests that
    the targets received.
    """
    counts: dict[str, float] = {}
    for address in plan.entries:
        text = await _exchange(address, clock, "GET", "/metrics", b"")
        for family in text_string_to_metric_families(text.decode()):
            for sample in family.samples:
                if sample.name != _SUB_REQUEST_METRIC:
                    continue
                if sample.labels.get("service") == plan.service:
                    kind = sample.labels.get("kind", "")
                    counts[kind] = counts.get(kind, 0) + sample.value
    if counts:
        return counts
    for address in plan.count_targets:
        reply = await _exchange(address, clock, "POST", "/control", b"{}")
        targets = decode(reply or b"{}")
        received = sum(target["received"] for target in targets.values())
        counts["received"] = counts.get("received", 0) + received
    return counts


async def _exchange(
    address: Address, clock: Clock, method: str, path: str, body: bytes
) -> bytes:
    """Return the body of the response, empty if there is no response."""
    opened = await HttpConnection.open(str(address), address, clock, _EXCHANGE_TIMEOUT)
    match opened:
        case Result(tag="ok", ok=connection):
            replied = await connection.exchange(
                method, path, {}, body, _EXCHANGE_TIMEOUT
            )
            await connection.close()
        case _:
            return b""
    match replied:
        case Result(tag="ok", ok=response):
            return response.body
        case _:
            return b""


def phase_argument(text: str) -> Phase:
    """Return the phase that is written as ``RATE:SECONDS``."""
    rate, _, seconds = text.partition(":")
    try:
        phase = Phase(float(rate), timedelta(seconds=float(seconds)))
    except ValueError:
        raise ArgumentTypeError(f"{text!r} is not RATE:SECONDS") from None
    if phase.rate <= 0 or phase.duration <= timedelta(0):
        raise ArgumentTypeError(f"{text!r}: rate and duration must be above 0")
    return phase


def _milliseconds(text: str) -> timedelta:
    return timedelta(milliseconds=float(text))


def _parser() -> ArgumentParser:
    parser = ArgumentParser(
        description=__doc__, formatter_class=ArgumentDefaultsHelpFormatter
    )
    parser.add_argument("--service", default="kallioniemi/invoices")
    parser.add_argument("--terms", default="wedding album")
    parser.add_argument(
        "--entry", type=address_argument, action="append", required=True
    )
    parser.add_argument(
        "--data-centres", default="helsinki-1", help="separated by commas"
    )
    parser.add_argument("--members", type=int, default=4)
    parser.add_argument(
        "--callers", type=int, default=64, help="number for each member"
    )
    parser.add_argument(
        "--deadline",
        type=_milliseconds,
        default="330",
        help="deadline sent in requests, ms",
    )
    parser.add_argument(
        "--wanted",
        type=_milliseconds,
        default="330",
        help="latency up to which an answer is in time, ms",
    )
    parser.add_argument(
        "--phase",
        type=phase_argument,
        action="append",
        required=True,
        help="RATE:SECONDS, rate in requests a second; may be repeated",
    )
    parser.add_argument("--warm-up", type=float, default=2, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--count-targets", type=address_argument, action="append", default=[]
    )
    parser.add_argument("--output", type=Path, help="file for the JSON report")
    return parser


def main() -> None:
    """Run the load that the command line describes and report on it."""
    arguments = _parser().parse_args()
    plan = LoadPlan(
        service=arguments.service,
        terms=arguments.terms,
        entries=arguments.entry,
        data_centres=arguments.data_centres.split(","),
        members=[f"member-{number}" for number in range(1, arguments.members + 1)],
        callers=arguments.callers,
        timeout=arguments.deadline,
        latency_goal=arguments.wanted,
        phases=arguments.phase,
        warm_up=timedelta(seconds=arguments.warm_up),
        seed=arguments.seed,
        count_targets=arguments.count_targets,
        tell_start=True,
    )
    reports = run(LoadGenerator(plan, SystemClock()).run)
    document: dict[str, Any] = {"seed": plan.seed, "phases": reports}
    print(f"seed {plan.seed}")
    print(table(reports))
    if arguments.output:
        arguments.output.write_bytes(format_json(encode(document), indent=2))


if __name__ == "__main__":
    main()
