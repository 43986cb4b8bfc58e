"""Which queries run now and which wait, member by member."""

from collections import deque
from datetime import timedelta

from curio import Event
from expression import Error, Ok, Result

from lovagetray._clock import Clock
from lovagetray._errors import Overloaded
from lovagetray._telemetry import ADMISSION_RUNNING, ADMISSION_WAITING

_ZERO = timedelta(0)
_RUN_WEIGHT = 0.1
# Queues follow the limit with a delay, so a single cut must not be deeper.
_DEEPEST_CUT = 0.5
_SMALLEST_LIMIT = 2.0
# A query must have this many mean run times left when it is admitted. With one, a tenth
# of the answers under overload were partial because queries started too late.
_RUNS_LEFT = 2
# Turns that a member may make up for after its queue was empty for a moment. Without
# them, members that ask less often got 12% less than their share under overload; with
# 16 they got 5% less.
_CREDIT = 32


# Members whose turns are remembered before those without effect are dropped.
_MOST_TURNS = 1_000


class _Ticket:
    """A query that waits to be admitted."""

    def __init__(self, member: str) -> None:
        self.member = member
        self.event = Event()
        self.admitted = False


class _Gate:
    """The queries of one service: those that run and those that wait.

    The limit falls when replicas are under pressure, at most once in the time that a
    query takes, and grows by one for each limit's worth of queries that met none.
    Each member has a count of turns; the waiting member with the lowest is next.
    """

    def __init__(self, ceiling: int) -> None:
        self._ceiling = float(ceiling)
        self._limit = float(ceiling)
        self._running = 0
        self._waiting: dict[str, deque[_Ticket]] = {}
        self._turns: dict[str, int] = {}
        self._round = 0
        self._mean_run = _ZERO
        self._cut_at = _ZERO

    @property
    def running(self) -> int:
        """Queries that run now."""
        return self._running

    @property
    def waiting(self) -> int:
        """Queries that wait."""
        return sum(len(queue) for queue in self._waiting.values())

    @property
    def limit(self) -> float:
        """Queries that may run at once; lower than the setting under pressure."""
        return self._limit

    @property
    def mean_run(self) -> timedelta:
        """How long a query recently took once it was admitted."""
        return self._mean_run

    def set_ceiling(self, ceiling: int) -> None:
        """Follow the setting."""
        if ceiling != self._ceiling:
            self._ceiling = float(ceiling)
            self._limit = min(self._limit, self._ceiling)

    def try_enter(self, member: str) -> bool:
        """Admit a query at once, if none waits and there is room."""
        if self._waiting or not self._has_room():
            return False
        self._admit(member)
        return True

    def expected_wait(self, member: str) -> timedelta:
        """Return how long one more query of a member would wait."""
        own = len(self._waiting.get(member, ()))
        turn = self._turn(member) + own
        ahead = own + sum(
            min(len(queue), max(0, turn - self._turn(name) + 1))
            for name, queue in self._waiting.items()
            if name != member
        )
        return self._mean_run * ((ahead + 1) / self._limit)

    def append(self, ticket: _Ticket) -> None:
        """Put a query at the end of its member's queue."""
        self._waiting.setdefault(ticket.member, deque()).append(ticket)

    def withdraw(self, ticket: _Ticket) -> None:
        """Take a query out of its member's queue."""
        queue = self._waiting[ticket.member]
        queue.remove(ticket)
        if not queue:
            del self._waiting[ticket.member]

    def next_admitted(self) -> _Ticket | None:
        """Admit the next waiting query, one member after the other."""
        if not self._waiting or not self._has_room():
            return None
        member = min(self._waiting, key=self._turn)
        queue = self._waiting.pop(member)
        ticket = queue.popleft()
        if queue:
            self._waiting[member] = queue
        ticket.admitted = True
        self._admit(member)
        return ticket

    def leave(self) -> None:
        """Give back the place of a query."""
        self._running -= 1

    def learn(self, run: timedelta, pressure: float, now: timedelta) -> None:
        """Adapt the limit to what a query met."""
        if self._mean_run == _ZERO:
            self._mean_run = run
        self._mean_run += (run - self._mean_run) * _RUN_WEIGHT
        if pressure <= 1:
            self._limit = min(self._ceiling, self._limit + 1 / self._limit)
        elif now - self._cut_at > self._mean_run:
            in_use = min(self._limit, float(self._running))
            self._limit = in_use * max(_DEEPEST_CUT, 1 / pressure)
            self._limit = max(_SMALLEST_LIMIT, self._limit)
            self._cut_at = now

    def _turn(self, member: str) -> int:
        return max(self._turns.get(member, 0), self._round - _CREDIT)

    def _admit(self, member: str) -> None:
        self._running += 1
        turn = self._turn(member)
        self._turns[member] = turn + 1
        self._round = max(self._round, turn)
        if len(self._turns) > _MOST_TURNS:
            oldest = self._round - _CREDIT
            self._turns = {one: at for one, at in self._turns.items() if at > oldest}

    def _has_room(self) -> bool:
        return self._running < max(1, int(self._limit))


class Admission:
    """Limits the queries of each service in flight on this instance.

    Waiting queries stand in one queue for each member, served round-robin, so that a
    member that asks more often gets no larger share.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._gates: dict[str, _Gate] = {}

    def limit(self, service: str) -> float:
        """Return how many queries of a service may run at once now."""
        return self._gates[service].limit

    def waiting(self, service: str) -> int:
        """Return how many queries of a service wait."""
        return self._gates[service].waiting

    async def enter(
        self, service: str, member: str, deadline: timedelta, ceiling: int
    ) -> Result[timedelta, Overloaded]:
        """Wait until a query may run; return how long it waited.

        Parameters
        ----------
        deadline
            On the monotonic clock.
        ceiling
            The setting ``admission.queries``.

        Returns
        -------
        Result
            `Overloaded` if the query could not end in time. An admitted query must
            `leave`.
        """
        gate = self._gates.setdefault(service, _Gate(ceiling))
        gate.set_ceiling(ceiling)
        if gate.try_enter(member):
            self._show(service, gate)
            return Ok(_ZERO)
        started = self._clock.monotonic_time()
        wait = gate.expected_wait(member)
        longest = deadline - started - gate.mean_run * _RUNS_LEFT
        if wait > longest:
            return Error(Overloaded(wait))
        ticket = _Ticket(member)
        gate.append(ticket)
        self._show(service, gate)
        kept = False
        try:
            await self._clock.with_timeout(longest, ticket.event.wait())
            kept = ticket.admitted
        finally:
            if not ticket.admitted:
                gate.withdraw(ticket)
            elif not kept:
                await self._pass_on(service, gate)
        if not kept:
            return Error(Overloaded(gate.expected_wait(member)))
        return Ok(self._clock.monotonic_time() - started)

    async def leave(self, service: str, run: timedelta, pressure: float) -> None:
        """Give back the place of an admitted query.

        Parameters
        ----------
        run
            How long the query ran.
        pressure
            Above one if replicas were overloaded or their queues long.
        """
        gate = self._gates[service]
        gate.learn(run, pressure, self._clock.monotonic_time())
        await self._pass_on(service, gate)

    async def _pass_on(self, service: str, gate: _Gate) -> None:
        gate.leave()
        while (ticket := gate.next_admitted()) is not None:
            await ticket.event.set()
        self._show(service, gate)

    def _show(self, service: str, gate: _Gate) -> None:
        ADMISSION_RUNNING.labels(service).set(gate.running)
        ADMISSION_WAITING.labels(service).set(gate.waiting)
