"""The connections of one instance to all replicas."""

from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from curio import TaskGroup

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaNotice
from lovagetray.targets._channel import Channel, Exchange, ReplyDecoder

# Exchanges that wait for a connection of one replica; more would not end in time.
_MOST_WAITING = 20
# After a replica closed a new connection, others are opened only after this pause.
_FULL_PAUSE = timedelta(milliseconds=300)
_SWEEP = timedelta(milliseconds=100)
# The rules allow half a second between a caller's leaving and the end of its work;
# most exchanges end by themselves before that, which keeps their connection.
_ABANDONED_GRACE = timedelta(milliseconds=250)
# A replica that stops at the limit still needs a round trip to say so.
_LIMIT_GRACE = timedelta(milliseconds=500)
# Replicas whose idle limit is unknown; a lost race costs a request that may have run.
_IDLE_LIMIT = timedelta(seconds=20)
# The part of an announced idle limit that is used, for the way of the last byte.
_IDLE_SHARE = 0.8


class Availability(Enum):
    """How a replica can take one more exchange from this instance."""

    IDLE = "an open connection is idle"
    NEW = "a connection can be opened"
    ABOVE_SOFT_LIMIT = "a connection can be opened beyond the usual number"
    FULL = "the exchange has to wait for a connection"


class ConnectionLimits(NamedTuple):
    """How many connections an instance holds to one replica.

    Parameters
    ----------
    soft_limit
        Opened without hesitation; twice as many fit, so that the connections of
        instances that died unseen leave room for those of their successors. 0 if
        another replica of the service is this instance's first choice.
    hard_limit
        Never exceeded.
    """

    soft_limit: int
    hard_limit: int


class ReplicaChannels:
    """The open connections to one replica, and the exchanges that wait for one."""

    def __init__(self, notice: ReplicaNotice) -> None:
        self.notice = notice
        self.open: list[Channel] = []
        self.idle: list[Channel] = []
        self.waiting: deque[Exchange] = deque()
        self.full_until = timedelta(0)

    def take_idle(self) -> Channel | None:
        """Return the idle channel that was used last, or None."""
        while self.idle:
            channel = self.idle.pop()
            if channel.usable:
                return channel
        return None

    def next_waiting(self, now: timedelta) -> Exchange | None:
        """Return the first exchange that is still wanted."""
        while self.waiting:
            exchange = self.waiting.popleft()
            if exchange.abandoned_at is None and exchange.deadline > now:
                return exchange
        return None


class ConnectionPool:
    """Opens, reuses and closes connections to replicas.

    Parameters
    ----------
    group
        Runs one task for each connection.
    limits
        Returns how many connections this instance holds to a replica.
    """

    def __init__(
        self,
        clock: Clock,
        decode: ReplyDecoder,
        group: TaskGroup,
        limits: Callable[[ReplicaNotice], ConnectionLimits],
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._group = group
        self._limits = limits
        self._replicas: dict[str, ReplicaChannels] = {}

    @property
    def open_count(self) -> int:
        """The connections that are open now."""
        return sum(len(replica.open) for replica in self._replicas.values())

    def availability(self, notice: ReplicaNotice, now: timedelta) -> Availability:
        """Return how an exchange with a replica could start now."""
        replica = self._replicas.get(notice.replica) or ReplicaChannels(notice)
        if replica.idle:
            return Availability.IDLE
        limits = self._limits(notice)
        if now < replica.full_until or len(replica.open) >= limits.hard_limit:
            return Availability.FULL if replica.open else Availability.ABOVE_SOFT_LIMIT
        return (
            Availability.NEW
            if len(replica.open) < limits.soft_limit
            else Availability.ABOVE_SOFT_LIMIT
        )

    def is_connected(self, notice: ReplicaNotice) -> bool:
        """Tell whether a connection to a replica is open."""
        replica = self._replicas.get(notice.replica)
        return replica is not None and bool(replica.open)

    async def start(self, exchange: Exchange) -> bool:
        """Send an exchange on an idle or a new connection, or let it wait for one.

        Returns
        -------
        bool
            False if too many wait already.
        """
        replica = self._of(exchange.notice)
        channel = replica.take_idle()
        if channel is not None:
            await channel.send(exchange)
            return True
        limits = self._limits(exchange.notice)
        may_open = (
            self._clock.monotonic_time() >= replica.full_until or not replica.open
        )
        if may_open and len(replica.open) < limits.hard_limit:
            await self._open(replica, exchange)
            return True
        if len(replica.waiting) >= _MOST_WAITING:
            return False
        replica.waiting.append(exchange)
        return True

    async def connect(self, notice: ReplicaNotice) -> None:
        """Open a connection to a replica ahead of its first use."""
        await self._open(self._of(notice), None)

    async def run(self, ended: Callable[[str], bool]) -> None:
        """Close what is abandoned, overdue or idle for too long, until cancelled.

        Parameters
        ----------
        ended
            Tells whether a replica is not used any more.
        """
        while True:
            await self._clock.sleep(_SWEEP)
            now = self._clock.monotonic_time()
            for name, replica in list(self._replicas.items()):
                gone = ended(name)
                if replica.waiting and not replica.open:
                    await self._start_waiting(replica, now)
                for channel in list(replica.open):
                    if self._overdue(channel, now, gone):
                        await channel.task.cancel(blocking=False)
                if gone and not replica.open:
                    del self._replicas[name]

    async def abandon(self, exchanges: Iterable[Exchange]) -> None:
        """Mark exchanges whose caller has left; they are closed if they last."""
        now = self._clock.monotonic_time()
        for exchange in exchanges:
            exchange.abandoned_at = now

    async def _start_waiting(self, replica: ReplicaChannels, now: timedelta) -> None:
        """Open a connection for an exchange whose awaited connection has ended."""
        exchange = replica.next_waiting(now)
        if exchange is not None:
            await self._open(replica, exchange)

    def _of(self, notice: ReplicaNotice) -> ReplicaChannels:
        replica = self._replicas.get(notice.replica)
        if replica is None or replica.notice.address != notice.address:
            replica = ReplicaChannels(notice)
            self._replicas[notice.replica] = replica
        return replica

    async def _open(self, replica: ReplicaChannels, first: Exchange | None) -> None:
        def released(channel: Channel) -> Exchange | None:
            waiting = replica.next_waiting(self._clock.monotonic_time())
            if waiting is None:
                replica.idle.append(channel)
            return waiting

        def closed(channel: Channel, proven: bool) -> None:
            replica.open.remove(channel)
            if channel in replica.idle:
                replica.idle.remove(channel)
            if not proven:
                # The replica is over its limit, or cannot be reached at all.
                replica.full_until = self._clock.monotonic_time() + _FULL_PAUSE

        channel = Channel(replica.notice, self._clock, self._decode, released, closed)
        replica.open.append(channel)
        channel.task = await self._group.spawn(channel.run, first)

    def _overdue(self, channel: Channel, now: timedelta, gone: bool) -> bool:
        exchange = channel.exchange
        if exchange is None:
            limit = channel.idle_limit
            allowed = _IDLE_LIMIT if limit is None else limit * _IDLE_SHARE
            return gone or now - channel.idle_since > allowed
        if exchange.abandoned_at is not None:
            return now - exchange.abandoned_at > _ABANDONED_GRACE
        return now > exchange.deadline + _LIMIT_GRACE
