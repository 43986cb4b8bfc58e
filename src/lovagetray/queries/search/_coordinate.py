"""Coordinates a search from admission to the answer or refusal."""

from random import Random

from expression import Error, Ok, Result
from msgspec import Struct
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._errors import Failure, Incomplete, UnknownService, proves_not_run
from lovagetray._telemetry import (
    ADMISSION_SECONDS,
    QUERY_RESTARTS,
    SEARCH_REFUSALS,
    SHARDS_INCLUDED,
)
from lovagetray._types import Answer, SearchRequest, Snapshot
from lovagetray._violations import FalseNotRun, Violations
from lovagetray.queries.search._admission import Admission
from lovagetray.queries.search._dependencies import (
    Query,
    SearchDependencies,
    query_limits,
)
from lovagetray.queries.search._fan_out import FanOut, Gathered, SnapshotLost
from lovagetray.queries.search._replica_stats_store import ReplicaStatsStore
from lovagetray.queries.search._retry_budget import (
    HEDGE_BURST,
    HEDGE_RESERVE,
    RETRY_BURST,
    RetryBudget,
)
from lovagetray.queries.search._settings import (
    SettingsOf,
    default_settings,
)
from lovagetray.queries.search._snapshot import choose_snapshot
from lovagetray.state import TargetDirectory
from lovagetray.targets import SubRequestSender

_log = get_logger()
_MAX_RESTARTS = 2


class _QueryRun(Struct, frozen=True):
    """Result of a query and the load that it caused and observed.

    Parameters
    ----------
    result
        The answer, or the failure.
    sent
        Number of sub-requests passed to the sender.
    pressure
        Load pressure; above 1 if replicas were overloaded or had long queues.
    """

    result: Result[Answer, Failure]
    sent: int
    pressure: float


class Searcher:
    """Coordinator of searches; each runs in the task of the caller's connection.

    Parameters
    ----------
    directory
        Announced targets.
    sender
        Sends sub-requests to the owners of replicas.
    clock
        Source of monotonic time and timeouts.
    violations
        Receives violations of invariants.
    settings_of
        Returns the settings in force for a service.
    random
        Breaks near-ties between replicas and generates query ids.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        sender: SubRequestSender,
        clock: Clock,
        violations: Violations,
        settings_of: SettingsOf = default_settings,
        random: Random | None = None,
    ) -> None:
        self._dependencies = SearchDependencies(
            directory=directory,
            sender=sender,
            clock=clock,
            violations=violations,
            stats=ReplicaStatsStore(),
            hedges=RetryBudget("hedge.budget", HEDGE_BURST, HEDGE_RESERVE, violations),
            retries=RetryBudget("retry.budget", RETRY_BURST, RETRY_BURST, violations),
            random=random or Random(),
        )
        self._settings_of = settings_of
        self._admission = Admission(clock)

    @property
    def admission(self) -> Admission:
        """Admission control of this instance."""
        return self._admission

    async def search(self, request: SearchRequest) -> Result[Answer, Failure]:
        """Return the answer to a search before its deadline, or the failure."""
        dependencies = self._dependencies
        query = Query(
            f"{dependencies.random.getrandbits(128):032x}",
            request,
            self._settings_of(request.service),
            query_limits(request.time_left, dependencies.clock.monotonic_time()),
        )
        run = await self._admit_and_run(query)
        match run.result:
            case Result(tag="ok", ok=answer):
                self._log_answer(query, answer, run)
            case Result(error=failure):
                if run.sent and proves_not_run(failure):
                    dependencies.violations.report(FalseNotRun(request.request_id))
                self._log_refusal(query, failure, run)
        return run.result

    async def _admit_and_run(self, query: Query) -> _QueryRun:
        service = query.request.service
        clock = self._dependencies.clock
        if not self._dependencies.directory.snapshots(service):
            return _QueryRun(Error(UnknownService(service)), 0, 0.0)
        admission = await self._admission.acquire(
            service,
            query.request.member,
            query.limits.deadline,
            query.settings.admission_queries,
        )
        match admission:
            case Result(tag="ok", ok=waited):
                ADMISSION_SECONDS.labels(service).observe(waited.total_seconds())
            case Result(error=overloaded):
                return _QueryRun(Error(overloaded), 0, 0.0)
        started = clock.monotonic_time()
        pressure = 0.0
        try:
            run = await self._run(query)
            pressure = run.pressure
        finally:
            await self._admission.release(
                service, clock.monotonic_time() - started, pressure
            )
        return run

    async def _run(self, query: Query) -> _QueryRun:
        """Run an admitted query; restart it at a newer snapshot if its own is lost."""
        dependencies = self._dependencies
        service = query.request.service
        now = dependencies.clock.monotonic_time()
        snapshot = choose_snapshot(
            dependencies.directory, dependencies.stats, service, now
        )
        if snapshot is None:
            return _QueryRun(Error(UnknownService(service)), 0, 0.0)
        sent = 0
        for restarts_left in range(_MAX_RESTARTS, -1, -1):
            fan_out = self._fan_out(query, snapshot, restarts_left > 0)
            outcome = await fan_out.gather()
            sent += fan_out.sent
            match outcome:
                case SnapshotLost(newer=newer):
                    QUERY_RESTARTS.labels(service).inc()
                    snapshot = newer
                case Gathered(answer=answer):
                    result = self._enforce_completeness(query, answer)
                    return _QueryRun(result, sent, fan_out.pressure)
        raise AssertionError("query requested a restart after its last restart")

    def _fan_out(self, query: Query, snapshot: Snapshot, may_restart: bool) -> FanOut:
        return FanOut(self._dependencies, query, snapshot, may_restart)

    def _enforce_completeness(
        self, query: Query, answer: Answer
    ) -> Result[Answer, Failure]:
        coverage = answer.coverage
        if query.request.require_complete and not coverage.complete:
            missing = tuple(gap.shard for gap in coverage.missing)
            return Error(Incomplete(missing, coverage.shards))
        return Ok(answer)

    def _log_answer(self, query: Query, answer: Answer, run: _QueryRun) -> None:
        coverage = answer.coverage
        SHARDS_INCLUDED.labels(answer.service).inc(len(coverage.included))
        _log.debug(
            "search_answered",
            request_id=answer.request_id,
            query_id=query.id,
            service=answer.service,
            version=answer.snapshot.version,
            included=len(coverage.included),
            missing=len(coverage.missing),
            sub_requests=run.sent,
        )

    def _log_refusal(self, query: Query, failure: Failure, run: _QueryRun) -> None:
        service = query.request.service
        SEARCH_REFUSALS.labels(service, failure.code).inc()
        _log.info(
            "search_refused",
            request_id=query.request.request_id,
            query_id=query.id,
            service=service,
            code=failure.code,
            reason=str(failure),
            sub_requests=run.sent,
        )
