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
    Repeat,
    ReplicaNotice,
    ReplicaReply,
    Route,
)
from lovagetray._target_errors import ConnectFailed, ConnectionLost
from lovagetray._telemetry import DISPATCH_ATTEMPTS
from lovagetray.queries.placing import Placement
from lovagetray.targets import Channels, Exchange, Outcome

# Shorter answers cannot be delivered any more.
_SHORTEST_WORK = timedelta(milliseconds=2)
# Time for the last answer to reach the caller before it stops waiting.
_LAST_MARGIN = timedelta(milliseconds=20)


def latest_answer(limit: timedelta) -> timedelta:
    """Return after which part of a caller's time the final answer is due."""
    return limit - min(_LAST_MARGIN, limit * 0.1)


class RequestEncoder(NamedTuple):
    """Writes the bytes of a request; what is common to all replicas is written once.

    Parameters
    ----------
    common
        Returns the part that is the same for every replica.
    complete
        Returns the whole request for one replica, with the time it may work.
    """

    common: Callable[[CallerRequest], tuple[bytes, bytes]]
    complete: Callable[[tuple[bytes, bytes], str, timedelta], bytes]


class DispatchTools(NamedTuple):
    """What every dispatch works with."""

    placement: Placement
    channels: Channels
    encoder: RequestEncoder
    clock: Clock


@dataclass(slots=True, eq=False)
class Slot:
    """What has become of the request at one service.

    Parameters
    ----------
    tried
        The replicas that it was sent to.
    out
        Exchanges that are running.
    reply
        The answer: a success, or what is left to pass on.
    failure_reply
        The newest response of a replica that is not a success.
    may_have_run
        Whether any replica may have worked on it.
    lost
        Whether no answer can come any more.
    last_failure
        The code of what went wrong last, for logs.
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
        """Whether nothing more is expected."""
        return self.reply is not None or self.lost

    @property
    def explanation(self) -> str:
        """Why there is no answer: the replicas that were tried and what they did."""
        if not self.tried:
            return f"{self.service}: no replica"
        state = "silent" if self.out else self.last_failure
        return f"{self.service}: {state} at {', '.join(sorted(self.tried))}"


class Dispatch:
    """One request on its way to the replicas of some services.

    Parameters
    ----------
    limit_at
        When the caller's time ends, on the monotonic clock.
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
        # When second attempts are due; None once they were sent, or if there are none.
        self._hedge_at: timedelta | None = None
        self._slot_of: dict[Exchange, Slot] = {}
        self.slots = [Slot(service) for service in services]
        self.answered = 0
        self.lost = 0
        self.hedges = 0
        self.retries = 0

    @property
    def settled(self) -> bool:
        """Whether every slot is answered or lost."""
        return self.answered + self.lost >= len(self.slots)

    @property
    def may_have_run(self) -> bool:
        """Whether any replica may have worked on the request."""
        return any(slot.may_have_run or slot.out for slot in self.slots)

    async def start(self) -> None:
        """Send the first attempt for every slot."""
        self._tools.placement.budget.request([slot.service for slot in self.slots])
        for slot in self.slots:
            if not await self._attempt(slot, "first"):
                self._lose(slot)
        if self._route.repeat is Repeat.IDEMPOTENT:
            delay = self._tools.placement.hedge_delay(self._route)
            self._hedge_at = self._tools.clock.elapsed() + delay

    async def wait(self, until: timedelta, for_any: bool = False) -> None:
        """Wait until a slot needs a decision or all are settled; at most to `until`,
        or to the moment when second attempts are due.

        Parameters
        ----------
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
        """Send a second attempt for each slot that waits for one answer, once."""
        if self._hedge_at is None or now < self._hedge_at:
            return
        self._hedge_at = None
        for slot in self.slots:
            if slot.settled or len(slot.out) != 1:
                continue
            if self._may_repeat(slot) and await self._attempt(slot, "hedge"):
                self.hedges += 1

    async def abandon(self) -> None:
        """End the interest in all running exchanges; unsent ones are never sent."""
        await self._tools.channels.abandon(self._slot_of)
        now = self._tools.clock.elapsed()
        for exchange in [one for one in self._slot_of if one.sent_at is None]:
            del self._slot_of[exchange]
            self._tools.placement.ended(exchange.notice.replica, exchange, now)

    async def deliver(self, exchange: Exchange, outcome: Outcome) -> None:
        """Take the outcome of an exchange; called by the task of its connection."""
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
        """Tell whether the request may be sent to another replica."""
        if slot.attempts >= self._route.attempts:
            return False
        if self._route.repeat is Repeat.AT_MOST_ONCE:
            if slot.may_have_run or slot.out:
                return False
        return self._tools.clock.elapsed() + _SHORTEST_WORK < self._limit_at

    async def _attempt(self, slot: Slot, kind: str) -> bool:
        """Send the slot's request to one more replica; False if there is none."""
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
