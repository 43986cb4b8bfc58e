"""Admission control: limits running queries and queues the rest fairly by member."""

from collections import deque
from datetime import timedelta

from curio import Event
from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._errors import Overloaded
from lovagetray._telemetry import ADMISSION_RUNNING, ADMISSION_WAITING

_ZERO = timedelta(0)
_RUN_TIME_WEIGHT = 0.1
# A single decrease at most halves the limit, because the queues of the replicas react
# to it with a delay.
_MIN_DECREASE_FACTOR = 0.5
_MIN_LIMIT = 2.0
# A query is admitted only if this many mean run times are left before its deadline.
# With 1, 10% of the answers under overload were partial because queries started too
# late.
_MIN_RUN_TIMES_LEFT = 2
# Turns that a member may catch up on after its queue was briefly empty. Without them,
# members with a lower request rate got 12% less than their fair share under overload;
# with 16 turns, 5% less.
_MAX_CATCH_UP_TURNS = 32
# Number of members with a turn count above which counts without effect are removed.
_MAX_TURN_COUNTS = 1_000


class _Ticket:
    """A query waiting for admission."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.event = Event()
        self.admitted = False


class _ServiceLimiter:
    """Adaptive concurrency limit and fair queue of one service.

    Additive increase, multiplicative decrease: queries without load pressure raise
    the limit by 1/limit each; a query with pressure above 1 lowers it, at most once
    per mean run time. Each member has a turn count, and the waiting member with the
    lowest count is admitted next.
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = float(ceiling)
        self._limit = float(ceiling)
        self._running = 0
        self._waiting: dict[str, deque[_Ticket]] = {}
        self._turn_counts: dict[str, int] = {}
        self._current_turn = 0
        self._mean_run_time = _ZERO
        self._decreased_at = _ZERO

    @property
    def running(self) -> int:
        """Number of running queries."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of queries waiting for admission."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def limit(self) -> float:
        """Current concurrency limit; below the configured ceiling under load."""
        return self._limit

    @property
    def mean_run_time(self) -> timedelta:
        """Moving average of the time from admission to the end of a query."""
        return self._mean_run_time

    def set_ceiling(self, ceiling: int) -> None:
        """Apply a changed ``admission.queries`` setting."""
        if ceiling != self._ceiling:
            self._ceiling = float(ceiling)
            self._limit = min(self._limit, self._ceiling)

    def try_acquire(self, member: str) -> bool:
        """Admit a query immediately if none waits and the limit is not reached."""
        if self._waiting or not self._below_limit():
            return False
        self._admit(member)
        return True

    def expected_wait(self, member: str) -> timedelta:
        """Estimate how long another query of a member would wait for admission."""
        own = len(self._waiting.get(member, ()))
        turn = self._turn_of(member) + own
        ahead = own + sum(
            min(len(queue), max(0, turn - self._turn_of(name) + 1))
            for name, queue in self._waiting.items()
            if name != member
        )
        return self._mean_run_time * ((ahead + 1) / self._limit)

    def append(self, ticket: _Ticket) -> None:
        """Append a query to its member's queue."""
        self._waiting.setdefault(ticket.member, deque()).append(ticket)

    def remove(self, ticket: _Ticket) -> None:
        """Remove a query from its member's queue."""
        queue = self._waiting[ticket.member]
        queue.remove(ticket)
        if not queue:
            del self._waiting[ticket.member]

    def admit_next(self) -> _Ticket | None:
        """Admit the next waiting query of the member with the fewest turns."""
        if not self._waiting or not self._below_limit():
            return None
        member = min(self._waiting, key=self._turn_of)
        queue = self._waiting.pop(member)
        ticket = queue.popleft()
        if queue:
            self._waiting[member] = queue
        ticket.admitted = True
        self._admit(member)
        return ticket

    def release(self) -> None:
        """Release the slot of a running query."""
        self._running -= 1

    def adjust_limit(
        self, run_time: timedelta, pressure: float, now: timedelta
    ) -> None:
        """Adjust the limit after a query ended.

        Parameters
        ----------
        run_time
            Time from the admission to the end of the query.
        pressure
            Load pressure that the query observed; above 1 lowers the limit.
        now
            Current time on the monotonic clock.
        """
        if self._mean_run_time == _ZERO:
            self._mean_run_time = run_time
        self._mean_run_time += (run_time - self._mean_run_time) * _RUN_TIME_WEIGHT
        if pressure <= 1:
            self._limit = min(self._ceiling, self._limit + 1 / self._limit)
        elif now - self._decreased_at > self._mean_run_time:
            in_use = min(self._limit, float(self._running))
            self._limit = in_use * max(_MIN_DECREASE_FACTOR, 1 / pressure)
            self._limit = max(_MIN_LIMIT, self._limit)
            self._decreased_at = now

    def _turn_of(self, member: str) -> int:
        return max(
            self._turn_counts.get(member, 0), self._current_turn - _MAX_CATCH_UP_TURNS
        )

    def _admit(self, member: str) -> None:
        self._running += 1
        turn = self._turn_of(member)
        self._turn_counts[member] = turn + 1
        self._current_turn = max(self._current_turn, turn)
        if len(self._turn_counts) > _MAX_TURN_COUNTS:
            oldest = self._current_turn - _MAX_CATCH_UP_TURNS
            self._turn_counts = {
                name: turn for name, turn in self._turn_counts.items() if turn > oldest
            }

    def _below_limit(self) -> bool:
        return self._running < max(1, int(self._limit))


class Admission:
    """Concurrency limits for the queries of each service on this instance.

    Each member has its own queue of waiting queries. The queues are served
    round-robin, so that a member with a higher request rate gets no larger share.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limiters: dict[str, _ServiceLimiter] = {}

    def limit(self, service: str) -> float:
        """Return the current concurrency limit of a service."""
        return self._limiters[service].limit

    def waiting(self, service: str) -> int:
        """Return how many queries of a service are waiting for admission."""
        return self._limiters[service].waiting

    async def acquire(
        self, service: str, member: str, deadline: timedelta, ceiling: int
    ) -> Result[timedelta, Overloaded]:
        """Wait until a query may run and return the time spent waiting.

        Call `release` when an admitted query has ended.

        Parameters
        ----------
        service
            Service that the query searches.
        member
            Member on whose behalf the query runs.
        deadline
            Deadline of the query on the monotonic clock.
        ceiling
            Largest number of concurrent queries, the setting ``admission.queries``.

        Returns
        -------
        Result
            The waiting time, or `Overloaded` if the query could not end before its
            deadline.
        """
        limiter = self._limiters.setdefault(service, _ServiceLimiter(ceiling))
        limiter.set_ceiling(ceiling)
        if limiter.try_acquire(member):
            self._update_gauges(service, limiter)
            return Ok(_ZERO)
        started = self._clock.monotonic_time()
        wait = limiter.expected_wait(member)
        max_wait = deadline - started - limiter.mean_run_time * _MIN_RUN_TIMES_LEFT
        if wait > max_wait:
            return Error(Overloaded(wait))
        ticket = _Ticket(member)
        limiter.append(ticket)
        self._update_gauges(service, limiter)
        admitted = False
        try:
            await self._clock.with_timeout(max_wait, ticket.event.wait())
            admitted = ticket.admitted
        finally:
            if not ticket.admitted:
                limiter.remove(ticket)
            elif not admitted:
                await self._release_and_admit(service, limiter)
        if not admitted:
            return Error(Overloaded(limiter.expected_wait(member)))
        return Ok(self._clock.monotonic_time() - started)

    async def release(self, service: str, run_time: timedelta, pressure: float) -> None:
        """Release the slot of an admitted query and adjust the limit.

        Parameters
        ----------
        service
            Service that the query searched.
        run_time
            Time from the admission to the end of the query.
        pressure
            Load pressure; above 1 if replicas were overloaded or had long queues.
        """
        limiter = self._limiters[service]
        limiter.adjust_limit(run_time, pressure, self._clock.monotonic_time())
        await self._release_and_admit(service, limiter)

    async def _release_and_admit(self, service: str, limiter: _ServiceLimiter) -> None:
        limiter.release()
        while (ticket := limiter.admit_next()) is not None:
            await ticket.event.set()
        self._update_gauges(service, limiter)

    def _update_gauges(self, service: str, limiter: _ServiceLimiter) -> None:
        ADMISSION_RUNNING.labels(service).set(limiter.running)
        ADMISSION_WAITING.labels(service).set(limiter.waiting)
