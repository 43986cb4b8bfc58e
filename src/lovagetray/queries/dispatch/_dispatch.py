"""Sends a request to one replica of each of several services.

Each service gets a first attempt, and retries or hedges as long as the attempt limit,
the retry budget and the deadline allow. The code that uses a dispatch decides when to
stop waiting.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from curio import Event

from lovagetray._clock import Clock
from lovagetray._routing_types import (
    CallerRequest,
    Repeat,
    ReplicaNotice,
    ReplicaReply,
    Route,
)
from lovagetray._target_errors import ConnectFailed, ConnectionLost
from lovagetray._telemetry import DISPATCH_ATTEMPTS
from lovagetray.queries.placing import Placement
from lovagetray.targets import Channels, Exchange, Outcome

# With less time left before the deadline, an answer cannot be delivered any more.
_SHORTEST_WORK = timedelta(milliseconds=2)
# Time for the final answer to reach the caller before the caller stops waiting.
_LAST_MARGIN = timedelta(milliseconds=20)


def latest_answer(limit: timedelta) -> timedelta:
    """Return how long after the start of a request the final answer is due.

    Parameters
    ----------
    limit
        Time that the caller waits for the answer.
    """
    return limit - min(_LAST_MARGIN, limit * 0.1)


class RequestEncoder(NamedTuple):
    """Encodes a request; the part common to all replicas is encoded only once.

    Parameters
    ----------
    common
        Returns the encoded part that is the same for all replicas.
    complete
        Returns the full request for one replica, given the time left for it.
    """

    common: Callable[[CallerRequest], tuple[bytes, bytes]]
    complete: Callable[[tuple[bytes, bytes], str, timedelta], bytes]


class DispatchTools(NamedTuple):
    """Dependencies shared by all dispatches.

    Parameters
    ----------
    placement
        Selects replicas and records the outcome of exchanges.
    channels
        Sends exchanges over pooled connections.
    encoder
        Encodes requests.
    clock
        Source of monotonic time and time-outs.
    """

    placement: Placement
    channels: Channels
    encoder: RequestEncoder
    clock: Clock


@dataclass(slots=True, eq=False)
class Slot:
    """State of the request at one service.

    Parameters
    ----------
    service
        Name of the service.
    tried
        Replicas that the request was sent to.
    out
        Exchanges in flight, oldest first.
    reply
        Successful response.
    failure_reply
        Newest unsuccessful response of a replica that may have run the request.
    may_have_run
        Whether any replica may have run the request.
    lost
        Whether no further attempt is possible.
    failed
        Whether all attempts so far have failed and a retry is to be decided.
    last_failure
        Code or status of the newest failure, for logs.
    attempts
        Number of attempts, without those that could not be sent.
    """

    service: str
    tried: set[str] = field(default_factory=set)
    out: list[Exchange] = field(default_factory=list)
    reply: ReplicaReply | None = None
    failure_reply: ReplicaReply | None = None
    may_have_run: bool = False
    lost: bool = False
    failed: bool = False
    last_failure: str = ""
    attempts: int = 0

    @property
    def settled(self) -> bool:
        """Whether the service has replied or no further attempt is possible."""
        return self.reply is not None or self.lost

    @property
    def explanation(self) -> str:
        """Why there is no answer: the last failure and the replicas that were tried."""
        if not self.tried:
            return f"{self.service}: no replica"
        state = "silent" if self.out else self.last_failure
        return f"{self.service}: {state} at {', '.join(sorted(self.tried))}"


class Dispatch:
    """Attempts of one request at the replicas of several services.

    Parameters
    ----------
    tools
        Dependencies shared by all dispatches.
    request
        The caller's request.
    route
        Route of the request, with its retry rules.
    services
        Services that each get the request.
    limit_at
        The caller's deadline on the monotonic clock.
    """

    def __init__(
        self,
        tools: DispatchTools,
        request: CallerRequest,
        route: Route,
        services: tuple[str, ...],
        limit_at: timedelta,
    ) -> None:
        self._tools = tools
        self._request = request
        self._route = route
        self._limit_at = limit_at
        self._encoded = tools.encoder.common(request)
        self._changed = Event()
        self._wake_on_any = False
        # When hedges are due; None after they were sent or if hedging is not allowed.
        self._hedge_at: timedelta | None = None
        self._slot_of: dict[Exchange, Slot] = {}
        self.slots = [Slot(service) for service in services]
        self.answered = 0
        self.lost = 0
        self.hedges = 0
        self.retries = 0

    @property
    def settled(self) -> bool:
        """Whether each service has replied or allows no further attempt."""
        return self.answered + self.lost >= len(self.slots)

    @property
    def may_have_run(self) -> bool:
        """Whether any replica may have run the request."""
        return any(slot.may_have_run or slot.out for slot in self.slots)

    async def start(self) -> None:
        """Send the first attempt to each service."""
        self._tools.placement.budget.request([slot.service for slot in self.slots])
        for slot in self.slots:
            if not await self._attempt(slot, "first"):
                self._lose(slot)
        if self._route.repeat is Repeat.IDEMPOTENT:
            delay = self._tools.placement.hedge_delay(self._route)
            self._hedge_at = self._tools.clock.elapsed() + delay

    async def wait(self, until: timedelta, for_any: bool = False) -> None:
        """Wait until a service needs a retry or all are settled, then send retries.

        The wait also ends at `until` or when hedges are due.

        Parameters
        ----------
        until
            End of the wait on the monotonic clock.
        for_any
            Whether any answer ends the wait.
        """
        self._wake_on_any = for_any
        if self._hedge_at is not None:
            until = min(until, self._hedge_at)
        left = until - self._tools.clock.elapsed()
        if left > timedelta(0) and not self._changed.is_set():
            await self._tools.clock.within(left, self._changed.wait())
        self._changed.clear()
        await self._retry_failed()

    async def hedge_when_due(self, now: timedelta) -> None:
        """Hedge, once, each service with one attempt in flight if hedges are due."""
        if self._hedge_at is None or now < self._hedge_at:
            return
        self._hedge_at = None
        for slot in self.slots:
            if slot.settled or len(slot.out) != 1:
                continue
            if self._may_repeat(slot) and await self._attempt(slot, "hedge"):
                self.hedges += 1

    async def abandon(self) -> None:
        """Abandon all exchanges in flight; unsent ones are never sent."""
        await self._tools.channels.abandon(self._slot_of)
        now = self._tools.clock.elapsed()
        for exchange in [one for one in self._slot_of if one.sent_at is None]:
            del self._slot_of[exchange]
            self._tools.placement.ended(exchange.notice.replica, exchange, now)

    async def deliver(self, exchange: Exchange, outcome: Outcome) -> None:
        """Process the outcome of an exchange; called by the task of its connection."""
        slot = self._slot_of.pop(exchange, None)
        if slot is None:
            return
        slot.out.remove(exchange)
        replica = exchange.notice.replica
        placement = self._tools.placement
        now = self._tools.clock.elapsed()
        latency = placement.ended(replica, exchange, now)
        match outcome:
            case ReplicaReply() as reply:
                placement.answered(self._route, replica, reply, latency, now)
                await self._take_reply(slot, reply)
            case ConnectFailed() as failure:
                slot.last_failure = failure.code
                placement.unreachable(replica)
                slot.attempts -= 1
                await self._note_failure(slot)
            case ConnectionLost() as failure:
                slot.last_failure = failure.code
                slot.may_have_run = True
                if exchange.abandoned_at is None:
                    placement.lost(replica)
                await self._note_failure(slot)
            case _:
                slot.may_have_run = True
                await self._note_failure(slot)

    async def _take_reply(self, slot: Slot, reply: ReplicaReply) -> None:
        if slot.settled:
            return
        if reply.succeeded:
            slot.may_have_run = True
            slot.reply = reply
            self.answered += 1
            if self._wake_on_any or self.settled:
                await self._changed.set()
            return
        slot.last_failure = f"status {reply.status}"
        if not reply.not_run:
            slot.may_have_run = True
            slot.failure_reply = reply
        await self._note_failure(slot)

    async def _note_failure(self, slot: Slot) -> None:
        if not slot.settled and not slot.out:
            slot.failed = True
            await self._changed.set()

    async def _retry_failed(self) -> None:
        for slot in self.slots:
            if not slot.failed or slot.settled:
                continue
            slot.failed = False
            if not (self._may_repeat(slot) and await self._attempt(slot, "retry")):
                self._lose(slot)
            else:
                self.retries += 1

    def _lose(self, slot: Slot) -> None:
        slot.lost = True
        self.lost += 1

    def _may_repeat(self, slot: Slot) -> bool:
        """Return whether the request may be sent to another replica."""
        if slot.attempts >= self._route.attempts:
            return False
        if self._route.repeat is Repeat.AT_MOST_ONCE:
            if slot.may_have_run or slot.out:
                return False
        return self._tools.clock.elapsed() + _SHORTEST_WORK < self._limit_at

    async def _attempt(self, slot: Slot, kind: str) -> bool:
        """Send the request to another replica; return False if that is impossible."""
        placement, channels = self._tools.placement, self._tools.channels
        notice = self._choose(slot)
        if notice is None:
            return False
        if slot.attempts > 0 and not placement.budget.take(
            slot.service, hedge=kind == "hedge"
        ):
            return False
        now = self._tools.clock.elapsed()
        payload = self._tools.encoder.complete(
            self._encoded, notice.replica, self._limit_at - now
        )
        exchange = Exchange(
            notice,
            self._request.request_id,
            payload,
            self,
            self._limit_at,
            once=self._route.repeat is Repeat.AT_MOST_ONCE,
        )
        slot.tried.add(notice.replica)
        slot.out.append(exchange)
        slot.attempts += 1
        self._slot_of[exchange] = slot
        placement.sent(notice.replica, exchange, now)
        DISPATCH_ATTEMPTS[kind].inc()
        if await channels.start(exchange):
            return True
        del self._slot_of[exchange]
        slot.out.remove(exchange)
        slot.attempts -= 1
        placement.ended(notice.replica, exchange, now)
        return await self._attempt(slot, kind)

    def _choose(self, slot: Slot) -> ReplicaNotice | None:
        return self._tools.placement.choose(
            self._route, slot.service, slot.tried, self._tools.channels.room
        )
