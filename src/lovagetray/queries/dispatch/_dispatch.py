"""Sends a request to one replica of each of several services.

Each service gets a first attempt, and retries or hedges as long as the attempt limit,
the retry budget and the deadline allow. The code that uses a dispatch decides when to
stop waiting.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from curio import Event

from lovagetray._clock import Clock
from lovagetray._routing_types import (
    CallerRequest,
    ReplicaNotice,
    ReplicaReply,
    RetrySafety,
    Route,
)
from lovagetray._target_errors import (
    ConnectFailed,
    ConnectionLost,
    NotSent,
    ResponseNotHeld,
)
from lovagetray._telemetry import DISPATCH_ATTEMPTS
from lovagetray.queries.load_balancing import ExpectedWork, LoadBalancer
from lovagetray.state import AnswerLimit, ResponseMemory, unlimited_memory
from lovagetray.targets import ConnectionPool, Exchange, Outcome

# With less time left before the deadline, an answer cannot be delivered any more.
_MIN_TIME_LEFT = timedelta(milliseconds=2)
# Time for the final answer to reach the caller before the caller stops waiting.
_FINAL_ANSWER_MARGIN = timedelta(milliseconds=20)


def response_cutoff(timeout: timedelta) -> timedelta:
    """Return how long after the start of a request the final answer is due.

    Parameters
    ----------
    timeout
        Time that the caller waits for the answer.
    """
    return timeout - min(_FINAL_ANSWER_MARGIN, timeout * 0.1)


class RequestEncoder(NamedTuple):
    """Encoder of requests; the part common to all replicas is encoded only once.

    Parameters
    ----------
    encode_shared
        Returns the encoded part that is the same for all replicas.
    encode_for_replica
        Returns head and body of the request for one replica, given the time left for
        it. The body is the same object for all replicas.
    """

    encode_shared: Callable[[CallerRequest], tuple[bytes, bytes]]
    encode_for_replica: Callable[
        [tuple[bytes, bytes], str, timedelta], tuple[bytes, bytes]
    ]


class DispatchDependencies(NamedTuple):
    """Dependencies shared by all dispatches.

    Parameters
    ----------
    balancer
        Selects replicas and records the outcome of exchanges.
    connection_pool
        Sends exchanges over pooled connections.
    encoder
        Encodes requests.
    clock
        Source of monotonic time and timeouts.
    report_leaving
        Called with the notice of a replica whose response states that it is leaving.
    answer_limit
        When all requests must be answered because the instance stops.
    """

    balancer: LoadBalancer
    connection_pool: ConnectionPool
    encoder: RequestEncoder
    clock: Clock
    report_leaving: Callable[[ReplicaNotice], Awaitable[None]]
    answer_limit: AnswerLimit


@dataclass(slots=True, eq=False)
class ServiceCall:
    """State of the request at one service.

    Parameters
    ----------
    service
        Name of the service.
    tried
        Replicas that the request was sent to.
    in_flight
        Exchanges in flight, oldest first.
    reply
        Successful response.
    failure_reply
        Newest response with a failure of a replica that may have run the request.
    may_have_run
        Whether any replica may have run the request.
    exhausted
        Whether no further attempt is possible.
    failed
        Whether all attempts so far have failed and a retry is to be decided.
    last_failure
        Code or status of the newest failure, for logs.
    attempts
        Number of attempts, without those that could not be sent.
    expected
        Expected cost of the request; None if it does not matter for its placement.
    """

    service: str
    tried: set[str] = field(default_factory=set)
    in_flight: list[Exchange] = field(default_factory=list)
    reply: ReplicaReply | None = None
    failure_reply: ReplicaReply | None = None
    may_have_run: bool = False
    exhausted: bool = False
    failed: bool = False
    last_failure: str = ""
    attempts: int = 0
    expected: ExpectedWork | None = None

    @property
    def settled(self) -> bool:
        """Whether the service has replied or no further attempt is possible."""
        return self.reply is not None or self.exhausted

    @property
    def explanation(self) -> str:
        """Why there is no answer: the last failure and the replicas that were tried."""
        if not self.tried:
            return f"{self.service}: no replica"
        state = "silent" if self.in_flight else self.last_failure
        return f"{self.service}: {state} at {', '.join(sorted(self.tried))}"


class Dispatch:
    """Attempts of one request at the replicas of several services.

    Parameters
    ----------
    dependencies
        Dependencies shared by all dispatches.
    request
        The caller's request.
    route
        Route of the request, with its retry rules.
    services
        Services that each get the request.
    deadline
        The caller's deadline on the monotonic clock.
    answer_due_at
        When the answer should be sent, on the monotonic clock; hedges are sent early
        enough for it. None if only the latency of other requests decides when.
    memory
        Counts the bytes of the responses; by default without a limit.
    """

    def __init__(
        self,
        dependencies: DispatchDependencies,
        request: CallerRequest,
        route: Route,
        services: tuple[str, ...],
        deadline: timedelta,
        answer_due_at: timedelta | None = None,
        memory: ResponseMemory | None = None,
    ) -> None:
        self._dependencies = dependencies
        self._memory = memory or unlimited_memory()
        self._request = request
        self._route = route
        self._deadline = deadline
        self._answer_due_at = answer_due_at
        self._shared_part = dependencies.encoder.encode_shared(request)
        self._changed = Event()
        self._wake_on_any = False
        # When hedges are due; None after they were sent or if hedging is not allowed.
        self._hedge_at: timedelta | None = None
        self._call_of: dict[Exchange, ServiceCall] = {}
        works = dependencies.balancer.expect(route, services, request.workspace)
        self.calls = [
            ServiceCall(service, expected=work)
            for service, work in zip(services, works)
        ]
        self.answered = 0
        self.exhausted = 0
        self.hedge_delay: timedelta | None = None
        self.hedges = 0
        self.retries = 0
        self._abandoned = False
        # Whether a response was given up because there was no room for it.
        self.lacked_memory = False

    @property
    def settled(self) -> bool:
        """Whether each service has replied or allows no further attempt."""
        return self.answered + self.exhausted >= len(self.calls)

    @property
    def may_have_run(self) -> bool:
        """Whether any replica may have run the request."""
        return any(call.may_have_run or call.in_flight for call in self.calls)

    @property
    def expected_milliseconds(self) -> dict[str, float]:
        """The highest expected cost, as a field of a log line; empty if unknown."""
        costs = [call.expected.cost for call in self.calls if call.expected is not None]
        return {"expected_ms": round(max(costs) * 1000, 1)} if costs else {}

    async def start(self) -> None:
        """Send the first attempt to each service; `abandon` must follow."""
        self._dependencies.answer_limit.add(self)
        self._dependencies.balancer.budget.record_requests(
            [call.service for call in self.calls]
        )
        for call in self.calls:
            if not await self._attempt(call, "first"):
                self._give_up(call)
        if self._route.retry_safety is RetrySafety.IDEMPOTENT:
            now = self._dependencies.clock.monotonic_time()
            due = self._answer_due_at
            self.hedge_delay = self._dependencies.balancer.hedge_delay(
                self._route,
                None if due is None else due - now,
                [call.expected for call in self.calls],
            )
            self._hedge_at = now + self.hedge_delay

    async def wait(self, until: timedelta, wake_on_any: bool = False) -> None:
        """Wait until a service needs a retry or all are settled, then send retries.

        The wait also ends at `until`, when hedges are due, or when the instance stops.

        Parameters
        ----------
        until
            End of the wait on the monotonic clock.
        wake_on_any
            Whether any answer ends the wait.
        """
        self._wake_on_any = wake_on_any
        if self._hedge_at is not None:
            until = min(until, self._hedge_at)
        until = self._dependencies.answer_limit.earliest(until)
        left = until - self._dependencies.clock.monotonic_time()
        if left > timedelta(0) and not self._changed.is_set():
            await self._dependencies.clock.with_timeout(left, self._changed.wait())
        self._changed.clear()
        await self._retry_failed()

    async def wake(self) -> None:
        """End the current wait, if any."""
        await self._changed.set()

    async def send_due_hedges(self, now: timedelta) -> None:
        """Hedge, once, each service with one attempt in flight if hedges are due."""
        if self._hedge_at is None or now < self._hedge_at:
            return
        self._hedge_at = None
        for call in self.calls:
            if call.settled or len(call.in_flight) != 1:
                continue
            if self._may_retry(call) and await self._attempt(call, "hedge"):
                self.hedges += 1

    async def abandon(self) -> None:
        """Abandon all exchanges in flight, and drop the replies.

        Unsent exchanges are never sent. Those in flight refer to this object until they
        end, which must not keep replies that are no longer counted.
        """
        self._abandoned = True
        for call in self.calls:
            call.reply = call.failure_reply = None
        self._dependencies.answer_limit.discard(self)
        await self._dependencies.connection_pool.abandon(self._call_of)
        now = self._dependencies.clock.monotonic_time()
        for exchange in [
            exchange for exchange in self._call_of if exchange.sent_at is None
        ]:
            del self._call_of[exchange]
            self._dependencies.balancer.record_ended(
                exchange.notice.replica, exchange, now
            )

    async def deliver(self, exchange: Exchange, outcome: Outcome) -> None:
        """Process the outcome of an exchange; called by the task of its connection."""
        match outcome:
            # These hold for later requests even if this one is abandoned.
            case ReplicaReply(leaving=True):
                await self._dependencies.report_leaving(exchange.notice)
            case ReplicaReply(refuses_for=timedelta() as refuses_for):
                self._dependencies.balancer.record_refusal(
                    exchange.notice.replica, refuses_for
                )
        call = self._call_of.pop(exchange, None)
        if call is None:
            return
        call.in_flight.remove(exchange)
        replica = exchange.notice.replica
        balancer = self._dependencies.balancer
        now = self._dependencies.clock.monotonic_time()
        sent = balancer.sent_work(replica, exchange)
        latency = balancer.record_ended(replica, exchange, now)
        match outcome:
            case ReplicaReply() as reply:
                balancer.record_reply(self._route, replica, reply, latency, now, sent)
                await self._process_reply(call, reply)
            case ConnectFailed() as failure:
                call.last_failure = failure.code
                balancer.record_connect_failed(replica)
                call.attempts -= 1
                await self._record_failure(call)
            case NotSent() as failure:
                call.last_failure = failure.code
                call.attempts -= 1
                await self._record_failure(call)
            case ConnectionLost() as failure:
                call.last_failure = failure.code
                call.may_have_run = True
                if exchange.abandoned_at is None:
                    balancer.record_connection_lost(replica)
                await self._record_failure(call)
            case ResponseNotHeld() as failure:
                # The replica is sound: this instance lacks the memory.
                self.lacked_memory = True
                call.last_failure = failure.code
                call.may_have_run = True
                await self._record_failure(call)
            case failure:
                call.last_failure = failure.code
                call.may_have_run = True
                balancer.record_connection_lost(replica)
                await self._record_failure(call)

    async def _process_reply(self, call: ServiceCall, reply: ReplicaReply) -> None:
        if call.settled or self._abandoned:
            return
        if reply.succeeded:
            call.may_have_run = True
            call.reply = reply
            self._memory.keep(len(reply.body))
            self.answered += 1
            if self._wake_on_any or self.settled:
                await self._changed.set()
            return
        call.last_failure = f"status {reply.status}"
        call.may_have_run = call.may_have_run or not reply.not_run
        if reply.has_success_status:
            # It must not reach the caller, who would take it for a success.
            call.last_failure = "unusable response"
        elif not reply.not_run:
            if call.failure_reply is not None:
                self._memory.keep(-len(call.failure_reply.body))
            self._memory.keep(len(reply.body))
            call.failure_reply = reply
        await self._record_failure(call)

    async def _record_failure(self, call: ServiceCall) -> None:
        if not call.settled and not call.in_flight:
            call.failed = True
            await self._changed.set()

    async def _retry_failed(self) -> None:
        for call in self.calls:
            if not call.failed or call.settled:
                continue
            call.failed = False
            if not (self._may_retry(call) and await self._attempt(call, "retry")):
                self._give_up(call)
            else:
                self.retries += 1

    def _give_up(self, call: ServiceCall) -> None:
        call.exhausted = True
        self.exhausted += 1

    def _may_retry(self, call: ServiceCall) -> bool:
        """Return whether the request may be sent to another replica."""
        if call.attempts >= self._route.max_attempts or self.lacked_memory:
            return False
        if self._route.retry_safety is RetrySafety.AT_MOST_ONCE:
            if call.may_have_run or call.in_flight:
                return False
        return (
            self._dependencies.clock.monotonic_time() + _MIN_TIME_LEFT < self._deadline
        )

    async def _attempt(self, call: ServiceCall, kind: str) -> bool:
        """Send the request to another replica; return False if that is impossible."""
        balancer, connection_pool = (
            self._dependencies.balancer,
            self._dependencies.connection_pool,
        )
        notice = self._choose(call)
        if notice is None:
            return False
        if call.attempts > 0 and not balancer.budget.spend(
            call.service, hedge=kind == "hedge"
        ):
            return False
        now = self._dependencies.clock.monotonic_time()
        head, body = self._dependencies.encoder.encode_for_replica(
            self._shared_part, notice.replica, self._deadline - now
        )
        exchange = Exchange(
            notice,
            self._request.request_id,
            head,
            self,
            self._deadline,
            body,
            at_most_once=self._route.retry_safety is RetrySafety.AT_MOST_ONCE,
            bodiless=self._request.method == b"HEAD",
            memory=self._memory,
        )
        call.tried.add(notice.replica)
        call.in_flight.append(exchange)
        call.attempts += 1
        self._call_of[exchange] = call
        balancer.record_sent(notice.replica, exchange, now, call.expected)
        DISPATCH_ATTEMPTS[kind].inc()
        if await connection_pool.start(exchange):
            return True
        del self._call_of[exchange]
        call.in_flight.remove(exchange)
        call.attempts -= 1
        balancer.record_ended(notice.replica, exchange, now)
        return await self._attempt(call, kind)

    def _choose(self, call: ServiceCall) -> ReplicaNotice | None:
        return self._dependencies.balancer.choose(
            self._route,
            call.service,
            call.tried,
            self._dependencies.connection_pool.availability,
            call.expected,
        )
