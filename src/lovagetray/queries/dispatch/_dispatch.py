"""Sends one request to one replica of each of several services.

A slot stands for one service. It gets a first attempt, and further ones while attempts,
budget and time are left. The caller decides when it has waited long enough.
"""

from collections.abc import Callable
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
from lovagetray._target_errors import ConnectFailed, ConnectionLost
from lovagetray._telemetry import DISPATCH_ATTEMPTS
from lovagetray.queries.load_balancing import LoadBalancer
from lovagetray.targets import ConnectionPool, Exchange, Outcome

# Shorter answers cannot be delivered any more.
_SHORTEST_WORK = timedelta(milliseconds=2)
# Time for the last answer to reach the caller before it stops waiting.
_LAST_MARGIN = timedelta(milliseconds=20)


def response_cutoff(limit: timedelta) -> timedelta:
    """Return after which part of a caller's time the final answer is due."""
    return limit - min(_LAST_MARGIN, limit * 0.1)


class RequestEncoder(NamedTuple):
    """Writes the bytes of a request; what is common to all replicas is written once.

    Parameters
    ----------
    encode_shared
        Returns the part that is the same for every replica.
    encode_for_replica
        Returns the whole request for one replica, with the time it may work.
    """

    encode_shared: Callable[[CallerRequest], tuple[bytes, bytes]]
    encode_for_replica: Callable[[tuple[bytes, bytes], str, timedelta], bytes]


class DispatchDependencies(NamedTuple):
    """What every dispatch works with."""

    balancer: LoadBalancer
    connection_pool: ConnectionPool
    encoder: RequestEncoder
    clock: Clock


@dataclass(slots=True, eq=False)
class ServiceCall:
    """What has become of the request at one service.

    Parameters
    ----------
    tried
        The replicas that it was sent to.
    in_flight
        Exchanges that are running.
    reply
        The answer: a success, or what is left to pass on.
    failure_reply
        The newest response of a replica that is not a success.
    may_have_run
        Whether any replica may have worked on it.
    exhausted
        Whether no answer can come any more.
    last_failure
        The code of what went wrong last, for logs.
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

    @property
    def settled(self) -> bool:
        """Whether nothing more is expected."""
        return self.reply is not None or self.exhausted

    @property
    def explanation(self) -> str:
        """Why there is no answer: the replicas that were tried and what they did."""
        if not self.tried:
            return f"{self.service}: no replica"
        state = "silent" if self.in_flight else self.last_failure
        return f"{self.service}: {state} at {', '.join(sorted(self.tried))}"


class Dispatch:
    """One request on its way to the replicas of some services.

    Parameters
    ----------
    deadline
        When the caller's time ends, on the monotonic clock.
    """

    def __init__(
        self,
        dependencies: DispatchDependencies,
        request: CallerRequest,
        route: Route,
        services: tuple[str, ...],
        deadline: timedelta,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._route = route
        self._limit_at = deadline
        self._encoded = dependencies.encoder.encode_shared(request)
        self._changed = Event()
        self._wake_on_any = False
        # When second attempts are due; None once they were sent, or if there are none.
        self._hedge_at: timedelta | None = None
        self._slot_of: dict[Exchange, ServiceCall] = {}
        self.calls = [ServiceCall(service) for service in services]
        self.answered = 0
        self.exhausted = 0
        self.hedges = 0
        self.retries = 0

    @property
    def settled(self) -> bool:
        """Whether every slot is answered or lost."""
        return self.answered + self.exhausted >= len(self.calls)

    @property
    def may_have_run(self) -> bool:
        """Whether any replica may have worked on the request."""
        return any(call.may_have_run or call.in_flight for call in self.calls)

    async def start(self) -> None:
        """Send the first attempt for every slot."""
        self._dependencies.balancer.budget.record_requests(
            [call.service for call in self.calls]
        )
        for call in self.calls:
            if not await self._attempt(call, "first"):
                self._lose(call)
        if self._route.retry_safety is RetrySafety.IDEMPOTENT:
            delay = self._dependencies.balancer.hedge_delay(self._route)
            self._hedge_at = self._dependencies.clock.monotonic_time() + delay

    async def wait(self, until: timedelta, wake_on_any: bool = False) -> None:
        """Wait until a slot needs a decision or all are settled; at most to `until`,
        or to the moment when second attempts are due.

        Parameters
        ----------
        wake_on_any
            Whether any answer ends the wait.
        """
        self._wake_on_any = wake_on_any
        if self._hedge_at is not None:
            until = min(until, self._hedge_at)
        left = until - self._dependencies.clock.monotonic_time()
        if left > timedelta(0) and not self._changed.is_set():
            await self._dependencies.clock.with_timeout(left, self._changed.wait())
        self._changed.clear()
        await self._retry_failed()

    async def send_due_hedges(self, now: timedelta) -> None:
        """Send a second attempt for each slot that waits for one answer, once."""
        if self._hedge_at is None or now < self._hedge_at:
            return
        self._hedge_at = None
        for call in self.calls:
            if call.settled or len(call.in_flight) != 1:
                continue
            if self._may_repeat(call) and await self._attempt(call, "hedge"):
                self.hedges += 1

    async def abandon(self) -> None:
        """End the interest in all running exchanges; unsent ones are never sent."""
        await self._dependencies.connection_pool.abandon(self._slot_of)
        now = self._dependencies.clock.monotonic_time()
        for exchange in [one for one in self._slot_of if one.sent_at is None]:
            del self._slot_of[exchange]
            self._dependencies.balancer.record_ended(
                exchange.notice.replica, exchange, now
            )

    async def deliver(self, exchange: Exchange, outcome: Outcome) -> None:
        """Take the outcome of an exchange; called by the task of its connection."""
        call = self._slot_of.pop(exchange, None)
        if call is None:
            return
        call.in_flight.remove(exchange)
        replica = exchange.notice.replica
        balancer = self._dependencies.balancer
        now = self._dependencies.clock.monotonic_time()
        latency = balancer.record_ended(replica, exchange, now)
        match outcome:
            case ReplicaReply() as reply:
                balancer.record_reply(self._route, replica, reply, latency, now)
                await self._take_reply(call, reply)
            case ConnectFailed() as failure:
                call.last_failure = failure.code
                balancer.record_connect_failed(replica)
                call.attempts -= 1
                await self._note_failure(call)
            case ConnectionLost() as failure:
                call.last_failure = failure.code
                call.may_have_run = True
                if exchange.abandoned_at is None:
                    balancer.record_connection_lost(replica)
                await self._note_failure(call)
            case _:
                call.may_have_run = True
                await self._note_failure(call)

    async def _take_reply(self, call: ServiceCall, reply: ReplicaReply) -> None:
        if call.settled:
            return
        if reply.succeeded:
            call.may_have_run = True
            call.reply = reply
            self.answered += 1
            if self._wake_on_any or self.settled:
                await self._changed.set()
            return
        call.last_failure = f"status {reply.status}"
        if not reply.not_run:
            call.may_have_run = True
            call.failure_reply = reply
        await self._note_failure(call)

    async def _note_failure(self, call: ServiceCall) -> None:
        if not call.settled and not call.in_flight:
            call.failed = True
            await self._changed.set()

    async def _retry_failed(self) -> None:
        for call in self.calls:
            if not call.failed or call.settled:
                continue
            call.failed = False
            if not (self._may_repeat(call) and await self._attempt(call, "retry")):
                self._lose(call)
            else:
                self.retries += 1

    def _lose(self, call: ServiceCall) -> None:
        call.exhausted = True
        self.exhausted += 1

    def _may_repeat(self, call: ServiceCall) -> bool:
        """Tell whether the request may be sent to another replica."""
        if call.attempts >= self._route.max_attempts:
            return False
        if self._route.retry_safety is RetrySafety.AT_MOST_ONCE:
            if call.may_have_run or call.in_flight:
                return False
        return (
            self._dependencies.clock.monotonic_time() + _SHORTEST_WORK < self._limit_at
        )

    async def _attempt(self, call: ServiceCall, kind: str) -> bool:
        """Send the slot's request to one more replica; False if there is none."""
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
        payload = self._dependencies.encoder.encode_for_replica(
            self._encoded, notice.replica, self._limit_at - now
        )
        exchange = Exchange(
            notice,
            self._request.request_id,
            payload,
            self,
            self._limit_at,
            at_most_once=self._route.retry_safety is RetrySafety.AT_MOST_ONCE,
        )
        call.tried.add(notice.replica)
        call.in_flight.append(exchange)
        call.attempts += 1
        self._slot_of[exchange] = call
        balancer.record_sent(notice.replica, exchange, now)
        DISPATCH_ATTEMPTS[kind].inc()
        if await connection_pool.start(exchange):
            return True
        del self._slot_of[exchange]
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
        )
