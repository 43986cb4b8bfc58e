"""Pool of the connections from one instance to all replicas."""

from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from curio import Event, TaskGroup

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaNotice
from lovagetray._target_errors import NotSent
from lovagetray._types import Address
from lovagetray.targets._channel import Channel, Exchange, ReplyDecoder
from lovagetray.targets._response_parser import BufferedBytes

# Exchanges queued for a connection to one replica; more could not finish in time.
_MAX_QUEUED_EXCHANGES = 20
# Backoff before the next connection to a replica that closed a new one.
_CONNECT_BACKOFF = timedelta(milliseconds=300)
_SWEEP_INTERVAL = timedelta(milliseconds=100)
# Without an exchange only idle connections can be due. Most instances of a large fleet
# have none most of the time, and each wake-up costs processor time.
_IDLE_SWEEP_INTERVAL = timedelta(milliseconds=500)
# Work for a caller that disconnected must end within half a second; most exchanges
# finish sooner than this limit, which keeps their connection open.
_ABANDONED_GRACE = timedelta(milliseconds=250)
# A replica that stops working at the deadline needs a round trip to report it.
_DEADLINE_GRACE = timedelta(milliseconds=500)
# For replicas that announce no idle timeout. If a replica closes an idle connection
# while a request is sent on it, the request fails although it may have run.
_DEFAULT_IDLE_TIMEOUT = timedelta(seconds=20)
# Fraction of an announced idle timeout that is used; the rest covers the transit time
# of the last byte.
_IDLE_TIMEOUT_FRACTION = 0.8
# Body bytes of incomplete responses on all connections together. The smallest machines
# have 200 MB; a response of usual size is complete within one or two reads.
_MAX_BUFFERED_BYTES = 32 * 1024 * 1024


class Availability(Enum):
    """How one more exchange with a replica can start."""

    IDLE = "an open connection is idle"
    NEW = "a connection can be opened"
    ABOVE_SOFT_LIMIT = "a connection can be opened above the soft limit"
    FULL = "the exchange has to wait for a connection"


class ConnectionLimits(NamedTuple):
    """Limits of the connections from one instance to one replica.

    Parameters
    ----------
    soft_limit
        Up to this number, a connection is opened whenever one is needed. The replica
        accepts twice as many, so that connections left over from crashed instances do
        not block those of their successors. 0 if this instance prefers another replica
        of the service.
    hard_limit
        Maximum number of connections.
    """

    soft_limit: int
    hard_limit: int


class ReplicaChannels:
    """The open connections to one replica and the exchanges queued for them."""

    def __init__(self, notice: ReplicaNotice) -> None:
        self.notice = notice
        self.open: list[Channel] = []
        self.idle: list[Channel] = []
        self.queued: deque[Exchange] = deque()
        self.backoff_until = timedelta(0)
        # Whether the last connection ended unused after its idle timeout.
        self.unused = False

    def take_idle(self) -> Channel | None:
        """Remove and return the most recently used idle connection, or None."""
        while self.idle:
            channel = self.idle.pop()
            if channel.usable:
                return channel
        return None

    def next_queued(self, now: timedelta, accepts: bool) -> Exchange | None:
        """Remove and return the first queued exchange that is still needed, or None.

        Parameters
        ----------
        accepts
            Whether the replica takes requests now; if not, the result is None.
        """
        while self.queued and accepts:
            exchange = self.queued.popleft()
            if exchange.abandoned_at is None and exchange.deadline > now:
                return exchange
        return None


class ConnectionPool:
    """Pool of connections to replicas, each with at most one exchange at a time.

    Parameters
    ----------
    clock
        Source of monotonic time.
    decode
        Returns the reply for the status, headers and body of a response.
    group
        Task group that runs one task for each connection.
    limits
        Returns the limits of the connections to a replica.
    accepts
        Returns whether a replica takes requests now; queued exchanges are not sent
        while it does not.
    max_buffered
        Body bytes of incomplete responses on all connections together, at most 32 MiB.
    """

    def __init__(
        self,
        clock: Clock,
        decode: ReplyDecoder,
        group: TaskGroup,
        limits: Callable[[ReplicaNotice], ConnectionLimits],
        accepts: Callable[[ReplicaNotice], bool],
        max_buffered: int = _MAX_BUFFERED_BYTES,
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._group = group
        self._limits = limits
        self._accepts = accepts
        self._buffered = BufferedBytes(min(max_buffered, _MAX_BUFFERED_BYTES))
        # By id and address: a replica that announces another address is another peer,
        # and the connections and exchanges of the old address still need their end.
        self._replicas: dict[tuple[str, Address], ReplicaChannels] = {}
        self._started = Event()

    @property
    def open_count(self) -> int:
        """The number of connections that are open or being opened."""
        return sum(len(replica.open) for replica in self._replicas.values())

    def availability(self, notice: ReplicaNotice, now: timedelta) -> Availability:
        """Return how an exchange with a replica could start now."""
        replica = self._replicas.get(_key(notice)) or ReplicaChannels(notice)
        if replica.idle:
            return Availability.IDLE
        limits = self._limits(notice)
        if now < replica.backoff_until or len(replica.open) >= limits.hard_limit:
            return Availability.FULL if replica.open else Availability.ABOVE_SOFT_LIMIT
        return (
            Availability.NEW
            if len(replica.open) < limits.soft_limit
            else Availability.ABOVE_SOFT_LIMIT
        )

    def needs_connection(self, notice: ReplicaNotice) -> bool:
        """Return whether a connection should be opened before an exchange needs it.

        Not if one is open, or if the last one was never used: the next one would also
        be closed again after its idle timeout.
        """
        replica = self._replicas.get(_key(notice))
        return replica is None or not (replica.open or replica.unused)

    async def start(self, exchange: Exchange) -> bool:
        """Send an exchange on an idle or a new connection, or queue it for one.

        Returns
        -------
        bool
            False if the queue of the replica is full.
        """
        replica = self._channels_of(exchange.notice)
        replica.unused = False
        if not self._started.is_set():
            await self._started.set()
        channel = replica.take_idle()
        if channel is not None:
            await channel.send(exchange)
            return True
        limits = self._limits(exchange.notice)
        may_open = (
            self._clock.monotonic_time() >= replica.backoff_until or not replica.open
        )
        if may_open and len(replica.open) < limits.hard_limit:
            await self._open(replica, exchange)
            return True
        if len(replica.queued) >= _MAX_QUEUED_EXCHANGES:
            return False
        replica.queued.append(exchange)
        return True

    async def connect(self, notice: ReplicaNotice) -> None:
        """Open a connection to a replica before the first exchange needs it."""
        await self._open(self._channels_of(notice), None)

    async def run(self, has_ended: Callable[[ReplicaNotice], bool]) -> None:
        """Close abandoned, overdue and idle connections, until cancelled.

        This is done every 100 ms, or every 500 ms without an exchange. Exchanges
        queued for a replica that takes no requests fail as `NotSent`.

        Parameters
        ----------
        has_ended
            Returns whether a replica, at the address of its notice, is no longer used.
        """
        while True:
            if self._has_exchange():
                await self._clock.sleep(_SWEEP_INTERVAL)
            else:
                self._started.clear()
                await self._clock.with_timeout(
                    _IDLE_SWEEP_INTERVAL, self._started.wait()
                )
            now = self._clock.monotonic_time()
            for key, replica in list(self._replicas.items()):
                unused = has_ended(replica.notice)
                if unused or not self._accepts(replica.notice):
                    await _refuse_queued(replica)
                if replica.queued and not replica.open:
                    await self._start_queued(replica, now)
                for channel in list(replica.open):
                    if self._must_close(channel, now, unused):
                        await channel.task.cancel(blocking=False)
                if unused and not replica.open:
                    del self._replicas[key]

    def _has_exchange(self) -> bool:
        return any(
            replica.queued or len(replica.idle) < len(replica.open)
            for replica in self._replicas.values()
        )

    async def abandon(self, exchanges: Iterable[Exchange]) -> None:
        """Mark exchanges whose outcome is no longer needed.

        If an exchange does not finish within 250 ms, its connection is closed.
        """
        now = self._clock.monotonic_time()
        for exchange in exchanges:
            exchange.abandoned_at = now

    async def _start_queued(self, replica: ReplicaChannels, now: timedelta) -> None:
        """Open a connection for a queued exchange if no connection is left."""
        exchange = replica.next_queued(now, self._accepts(replica.notice))
        if exchange is not None:
            await self._open(replica, exchange)

    def _channels_of(self, notice: ReplicaNotice) -> ReplicaChannels:
        replica = self._replicas.get(_key(notice))
        if replica is None:
            replica = self._replicas[_key(notice)] = ReplicaChannels(notice)
        replica.notice = notice
        return replica

    async def _open(self, replica: ReplicaChannels, first: Exchange | None) -> None:
        def on_idle(channel: Channel) -> Exchange | None:
            queued = None
            if replica.queued:
                queued = replica.next_queued(
                    self._clock.monotonic_time(), self._accepts(replica.notice)
                )
            if queued is None:
                replica.idle.append(channel)
            return queued

        def on_closed(channel: Channel, received_response: bool) -> None:
            replica.open.remove(channel)
            if channel in replica.idle:
                replica.idle.remove(channel)
            replica.unused = not received_response and channel.was_idle
            if not received_response and not channel.was_idle:
                # The replica is at its connection limit or unreachable.
                replica.backoff_until = self._clock.monotonic_time() + _CONNECT_BACKOFF

        channel = Channel(
            replica.notice,
            self._clock,
            self._decode,
            on_idle,
            on_closed,
            self._buffered,
        )
        replica.open.append(channel)
        # A group keeps every task that ends in it unless the task is a daemon.
        channel.task = await self._group.spawn(channel.run, first, daemon=True)

    def _must_close(self, channel: Channel, now: timedelta, unused: bool) -> bool:
        """Return whether a connection is abandoned, overdue or idle for too long."""
        exchange = channel.exchange
        if exchange is None:
            announced = channel.idle_timeout
            timeout = (
                _DEFAULT_IDLE_TIMEOUT
                if announced is None
                else announced * _IDLE_TIMEOUT_FRACTION
            )
            return unused or now - channel.idle_since > timeout
        if exchange.abandoned_at is not None:
            return now - exchange.abandoned_at > _ABANDONED_GRACE
        return now > exchange.deadline + _DEADLINE_GRACE


def _key(notice: ReplicaNotice) -> tuple[str, Address]:
    return notice.replica, notice.address


async def _refuse_queued(replica: ReplicaChannels) -> None:
    """Fail the exchanges that wait for a connection to a replica."""
    while replica.queued:
        exchange = replica.queued.popleft()
        await exchange.waiter.deliver(exchange, NotSent(replica.notice.replica))
