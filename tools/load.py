"""Open-loop load: requests are sent at planned times, whatever the answers do.

Prints a table and writes JSON. Latency is counted from the planned time of each
request, so that a stall of the system or of this tool shows in the percentiles.
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

# Tells the parent process that the warm-up is over.
MEASURING = "measuring"
_SUB_REQUESTS = "lovagetray_sub_requests_total"
_ASK_LIMIT = timedelta(seconds=3)
# The reply needs time to travel after the deadline of the search has passed.
_REPLY_MARGIN = timedelta(seconds=1)


class _Coverage(TypedDict):
    shards: int
    included: list[int]


class _Problem(TypedDict):
    code: str
    not_run: bool


class _Response(TypedDict):
    coverage: NotRequired[_Coverage]
    error: NotRequired[_Problem]


_response_decoder = Decoder(_Response)


class LoadPlan(NamedTuple):
    """What a run sends.

    Parameters
    ----------
    callers
        Callers of each member; each has one request in flight at most.
    deadline
        Deadline that the requests state.
    latency_goal
        Time within which an answer counts as in time.
    warm_up
        Time at the rate of the first phase that is not recorded.
    count_targets
        Control addresses of target hosts, read if instances count no sub-requests.
    tell_start
        Whether to print a line when the warm-up is over.
    """

    service: str
    terms: str
    entries: Sequence[Address]
    data_centres: Sequence[str]
    members: Sequence[str]
    callers: int
    deadline: timedelta
    latency_goal: timedelta
    phases: Sequence[Phase]
    warm_up: timedelta
    seed: int
    count_targets: Sequence[Address] = ()
    tell_start: bool = False


class _Request(NamedTuple):
    arrival: Arrival
    intended: timedelta
    record: PhaseRecorder


class LoadGenerator:
    """One run of a plan: one task plans, one task for each caller sends.

    Parameters
    ----------
    make_caller
        Returns the caller of a name and a data centre.
    """

    def __init__(
        self,
        plan: LoadPlan,
        clock: Clock,
        make_caller: Callable[[str, str], Caller] | None = None,
    ) -> None:
        self._plan = plan
        self._make_caller = make_caller or self._follow_addresses
        self._clock = clock
        self._queues = {member: Queue() for member in plan.members}

    async def run(self) -> list[PhaseReport]:
        """Send all phases and return their reports."""
        plan = self._plan
        async with TaskGroup(wait=None) as group:
            for number in range(plan.callers * len(plan.members)):
                member = plan.members[number % len(plan.members)]
                data_centre = plan.data_centres[number % len(plan.data_centres)]
                name = f"{member}-{number}"
                caller = self._make_caller(name, data_centre)
                await group.spawn(self._serve, caller, member)
            if plan.warm_up:
                await self._send(
                    Phase(plan.phases[0].rate, plan.warm_up), plan.seed - 1
                )
            return await self._measure(group)

    def _follow_addresses(self, name: str, data_centre: str) -> Caller:
        return Caller(self._plan.entries, name, data_centre, self._clock)

    async def _measure(self, group: TaskGroup) -> list[PhaseReport]:
        """Send the phases without a pause; in-flight requests cross the boundary.

        The sub-requests of a phase are those between its boundaries, so that some of
        them belong to requests of the phase before.
        """
        counts = [await group.spawn(read_sub_requests, self._plan, self._clock)]
        if self._plan.tell_start:
            print(MEASURING, flush=True)
        records = []
        for number, phase in enumerate(self._plan.phases):
            records.append(await self._send(phase, self._plan.seed + number))
            if number == len(self._plan.phases) - 1:
                for queue in self._queues.values():
                    await queue.join()
            counts.append(await group.spawn(read_sub_requests, self._plan, self._clock))
        told = [await count.join() for count in counts]
        for record, before, after in zip(records, told, told[1:]):
            record.count_sub_requests(
                {kind: count - before.get(kind, 0) for kind, count in after.items()}
            )
        return [record.report() for record in records]

    async def _send(self, phase: Phase, seed: int) -> PhaseRecorder:
        record = PhaseRecorder(phase, self._plan.members, self._plan.latency_goal)
        start = self._clock.monotonic_time()
        for arrival in arrivals(phase, self._plan.members, seed):
            intended = start + arrival.at
            await self._clock.sleep(intended - self._clock.monotonic_time())
            request = _Request(arrival, intended, record)
            await self._queues[arrival.member].put(request)
        await self._clock.sleep(start + phase.duration - self._clock.monotonic_time())
        return record

    async def _serve(self, caller: Caller, member: str) -> None:
        queue = self._queues[member]
        try:
            while True:
                request = await queue.get()
                await self._ask(caller, request)
                await queue.task_done()
        finally:
            await caller.close()

    async def _ask(self, caller: Caller, request: _Request) -> None:
        body = {
            "service": self._plan.service,
            "terms": self._plan.terms,
            "member": request.arrival.member,
            "deadline_ms": int(self._plan.deadline / timedelta(milliseconds=1)),
            "limit": 5,
        }
        limit = self._plan.deadline + _REPLY_MARGIN
        replied = await caller.call("POST", "/v1/search", encode(body), limit)
        latency = self._clock.monotonic_time() - request.intended
        match replied:
            case Result(tag="ok", ok=response):
                _record(request, latency, response)
            case Result(error=failure):
                member = request.arrival.member
                request.record.record_no_reply(member, type(failure).__name__, latency)


def _record(request: _Request, latency: timedelta, response: HttpResponse) -> None:
    member = request.arrival.member
    try:
        document = _response_decoder.decode(response.body)
    except (DecodeError, ValidationError):
        request.record.record_no_reply(member, "malformed", latency)
        return
    match document:
        case {"coverage": coverage}:
            request.record.record_answer(member, latency, coverage)
        case {"error": problem}:
            request.record.record_refusal(member, problem["code"], problem["not_run"])
        case _:
            request.record.record_no_reply(member, "malformed", latency)


async def read_sub_requests(plan: LoadPlan, clock: Clock) -> dict[str, float]:
    """Return the sub-requests so far, by kind.

    The instances count them; while they count none, the targets' own count is used.
    """
    counts: dict[str, float] = {}
    for address in plan.entries:
        text = await _exchange(address, clock, "GET", "/metrics", b"")
        for family in text_string_to_metric_families(text.decode()):
            for sample in family.samples:
                if sample.name != _SUB_REQUESTS:
                    continue
                if sample.labels.get("service") == plan.service:
                    kind = sample.labels.get("kind", "")
                    counts[kind] = counts.get(kind, 0) + sample.value
    if counts:
        return counts
    for address in plan.count_targets:
        reply = await _exchange(address, clock, "POST", "/control", b"{}")
        told = decode(reply or b"{}")
        received = sum(one["received"] for one in told.values())
        counts["received"] = counts.get("received", 0) + received
    return counts


async def _exchange(
    address: Address, clock: Clock, method: str, path: str, body: bytes
) -> bytes:
    """Return the body of a response, or an empty one if there is none."""
    opened = await HttpConnection.open(str(address), address, clock, _ASK_LIMIT)
    match opened:
        case Result(tag="ok", ok=connection):
            replied = await connection.exchange(method, path, {}, body, _ASK_LIMIT)
            await connection.close()
        case _:
            return b""
    match replied:
        case Result(tag="ok", ok=response):
            return response.body
        case _:
            return b""


def phase_argument(text: str) -> Phase:
    """Return the phase written as ``RATE:SECONDS``."""
    rate, _, seconds = text.partition(":")
    try:
        phase = Phase(float(rate), timedelta(seconds=float(seconds)))
    except ValueError:
        raise ArgumentTypeError(f"{text!r} is not RATE:SECONDS") from None
    if phase.rate <= 0 or phase.duration <= timedelta(0):
        raise ArgumentTypeError(f"{text!r} must be above 0")
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
    parser.add_argument("--data-centres", default="helsinki-1", help="with commas")
    parser.add_argument("--members", type=int, default=4)
    parser.add_argument("--callers", type=int, default=64, help="of each member")
    parser.add_argument(
        "--deadline", type=_milliseconds, default="330", help="in requests, ms"
    )
    parser.add_argument(
        "--wanted", type=_milliseconds, default="330", help="time for an answer, ms"
    )
    parser.add_argument(
        "--phase",
        type=phase_argument,
        action="append",
        required=True,
        help="RATE:SECONDS; may be repeated",
    )
    parser.add_argument("--warm-up", type=float, default=2, help="seconds")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--count-targets", type=address_argument, action="append", default=[]
    )
    parser.add_argument("--output", type=Path, help="file for the JSON report")
    return parser


def main() -> None:
    """Run the load that the command line describes."""
    arguments = _parser().parse_args()
    plan = LoadPlan(
        service=arguments.service,
        terms=arguments.terms,
        entries=arguments.entry,
        data_centres=arguments.data_centres.split(","),
        members=[f"member-{number}" for number in range(1, arguments.members + 1)],
        callers=arguments.callers,
        deadline=arguments.deadline,
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
