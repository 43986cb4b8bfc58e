"""The connections of one instance to all replicas."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from curio import TaskGroup

from lovagetray._clock import Clock
from lovagetray._routing_types import ReplicaNotice
from lovagetray.targets._channel import Channel, Exchange, ReplyDecoder

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


class ReplicaChannels:
    """The open connections to one replica."""

    def __init__(self, notice: ReplicaNotice) -> None:
        self.notice = notice
        self.open: list[Channel] = []
        self.idle: list[Channel] = []

    def take_idle(self) -> Channel | None:
        """Return the idle channel that was used last, or None."""
        while self.idle:
            channel = self.idle.pop()
            if channel.usable:
                return channel
        return None


class Channels:
    """Opens, reuses and closes connections to replicas.

    Parameters
    ----------
    group
        Runs one task for each connection.
    limit
        Returns how many connections this instance may hold to one replica.
    """

    def __init__(
        self,
        clock: Clock,
        decode: ReplyDecoder,
        group: TaskGroup,
        limit: Callable[[str], int],
    ) -> None:
        self._clock = clock
        self._decode = decode
        self._group = group
        self._limit = limit
        self._replicas: dict[str, ReplicaChannels] = {}
        self._opened = 0

    @property
    def open_count(self) -> int:
        """The connections that are open now."""
        return sum(len(replica.open) for replica in self._replicas.values())

    @property
    def opened_total(self) -> int:
        """The connections that were opened since the start."""
        return self._opened

    def has_room(self, notice: ReplicaNotice) -> bool:
        """Tell whether an exchange with a replica could start now."""
        replica = self._replicas.get(notice.replica)
        if replica is None:
            return True
        if any(channel.usable for channel in replica.idle):
            return True
        return len(replica.open) < self._limit(notice.service)

    def knows(self, notice: ReplicaNotice) -> bool:
        """Tell whether a connection to a replica is open."""
        replica = self._replicas.get(notice.replica)
        return replica is not None and bool(replica.open)

    async def start(self, exchange: Exchange) -> bool:
        """Send an exchange on an idle or a new connection; False without room."""
        replica = self._of(exchange.notice)
        channel = replica.take_idle()
        if channel is not None:
            await channel.send(exchange)
            return True
        if len(replica.open) >= self._limit(exchange.notice.service):
            return False
        await self._open(replica, exchange)
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
            now = self._clock.elapsed()
            for name, replica in list(self._replicas.items()):
                gone = ended(name)
                for channel in list(replica.open):
                    if self._overdue(channel, now, gone):
                        await channel.task.cancel(blocking=False)
                if gone and not replica.open:
                    del self._replicas[name]

    async def abandon(self, exchanges: Iterable[Exchange]) -> None:
        """Mark exchanges whose caller has left; they are closed if they last."""
        now = self._clock.elapsed()
        for exchange in exchanges:
            exchange.abandoned_at = now

    def _of(self, notice: ReplicaNotice) -> ReplicaChannels:
        replica = self._replicas.get(notice.replica)
        if replica is None or replica.notice.address != notice.address:
            replica = ReplicaChannels(notice)
            self._replicas[notice.replica] = replica
        return replica

    async def _open(self, replica: ReplicaChannels, first: Exchange | None) -> None:
        def closed(channel: Channel) -> None:
            replica.open.remove(channel)
            if channel in replica.idle:
                replica.idle.remove(channel)

        channel = Channel(
            replica.notice, self._clock, self._decode, replica.idle.append, closed
        )
        replica.open.append(channel)
        self._opened += 1
        channel.task = await self._group.spawn(channel.run, first)

    def _overdue(self, channel: Channel, now: timedelta, gone: bool) -> bool:
        exchange = channel.exchange
        if exchange is None:
            limit = channel.idle_limit
            allowed = _IDLE_LIMIT if limit is None else limit * _IDLE_SHARE
            return gone or now - channel.idle_since > allowed
        if exchange.abandoned_at is not None:
            return now - exchange.abandoned_at > _ABANDONED_GRACE
        return now > exchange.limit_at + _LIMIT_GRACE
