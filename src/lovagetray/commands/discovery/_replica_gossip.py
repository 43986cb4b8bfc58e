"""Accepts announcements of replicas and tells the other instances."""

from collections.abc import Iterable
from datetime import timedelta
from math import ceil
from random import Random
from typing import Protocol

from curio import Event
from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._peer_messages import (
    AgedNotice,
    NoticeDigest,
    NoticesSeen,
    PeerMessage,
    ReplicaNotices,
    ReplicasHeard,
    ReplicasLeft,
)
from lovagetray._routing_errors import NoticeUnconfirmed
from lovagetray._routing_types import ReplicaNotice, ReplicaState
from lovagetray.state import Members, ReplicaDirectory

_log = get_logger()
_ROUND = timedelta(seconds=1)
# Just after a start a notice is easily missed, because connections are still opened.
_EARLY_ROUND = timedelta(milliseconds=250)
_EARLY_TIME = timedelta(seconds=5)
# Repeated notices may be passed on late, every other round or, with many instances,
# still less often, down to this limit.
_ROUNDS_OF_REPEATS = 2
_MOST_ROUNDS_OF_REPEATS = 5
# With many instances, what others know is asked for at most this often: an answer may
# hold all replicas, and at a common start every instance meets every other one.
_ASK_PAUSE = timedelta(milliseconds=200)
# A replica waits one second for an acknowledgement.
_CONFIRM_LIMIT = timedelta(milliseconds=600)
_NO_AGE = timedelta(0)

AnnouncingMessage = (
    ReplicaNotices | ReplicasHeard | ReplicasLeft | NoticesSeen | NoticeDigest
)


class NoticeLink(Protocol):
    """Sends messages to other instances; they may be lost."""

    async def send(self, name: str, message: PeerMessage) -> object:
        """Queue a message to an instance."""

    async def broadcast(self, message: PeerMessage) -> None:
        """Queue a message to every instance."""


class _Confirmation:
    """Which instances have not confirmed a message yet."""

    def __init__(self, names: Iterable[str]) -> None:
        self.missing = set(names)
        self.confirmed = 0
        self.done = Event()


class ReplicaGossip:
    """Keeps the book of replicas the same on all instances.

    A notice that changes anything is sent to every instance at once. Repeated ones are
    sent together, in short, and a digest to one instance repairs what was lost.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        members: Members,
        link: NoticeLink,
        clock: Clock,
        random: Random,
    ) -> None:
        self._directory = directory
        self._members = members
        self._link = link
        self._clock = clock
        self._random = random
        self._number = 0
        self._confirmations: dict[int, _Confirmation] = {}
        self._repeated: set[str] = set()
        self._asked_at: timedelta | None = None

    async def accept(self, notice: ReplicaNotice) -> Result[None, NoticeUnconfirmed]:
        """Take a replica's own notice; a leaving one needs a confirmation."""
        held = self._directory.find(notice.replica)
        changed = self._directory.accept(notice, self._clock.monotonic_time())
        if not changed:
            self._repeated.add(notice.replica)
            if held is None or notice.state is not ReplicaState.DRAINING:
                return Ok(None)
        else:
            _log.info(
                "replica_announced",
                replica=notice.replica,
                service=notice.service,
                state=notice.state.value,
                address=str(notice.address),
                born=notice.born,
                sequence=notice.sequence,
            )
        items = (AgedNotice(notice, _NO_AGE),)
        if notice.state is ReplicaState.READY:
            await self._link.broadcast(ReplicaNotices(0, items))
            return Ok(None)
        self._number += 1
        message = ReplicaNotices(self._number, items)
        return await self._confirmed(notice.replica, message)

    async def leave(self, replica: str) -> Result[None, NoticeUnconfirmed]:
        """Take a replica's notice that it is gone, also if it is unknown here."""
        self._directory.leave(replica, self._clock.monotonic_time())
        _log.info("replica_left", replica=replica)
        self._number += 1
        return await self._confirmed(replica, ReplicasLeft(self._number, (replica,)))

    async def receive(self, sender: str, message: AnnouncingMessage) -> None:
        """Take what another instance tells."""
        now = self._clock.monotonic_time()
        match message:
            case ReplicaNotices(number=number, items=items):
                for item in items:
                    self._directory.accept(item.notice, now - item.age)
                if number:
                    await self._link.send(sender, NoticesSeen(number))
            case ReplicasHeard(notices=notices):
                held = [
                    self._directory.accept_repeated(notice, now) for notice in notices
                ]
                if not all(held):
                    await self.request_missing(sender)
            case ReplicasLeft(number=number, replicas=replicas):
                for replica in replicas:
                    self._directory.leave(replica, now)
                await self._link.send(sender, NoticesSeen(number))
            case NoticesSeen(number=number):
                await self._count_confirmation(sender, number)
            case NoticeDigest(runs=runs):
                newer = tuple(
                    AgedNotice(known.notice, now - known.heard_at)
                    for known in self._directory.newer_than(runs)
                )
                if newer:
                    await self._link.send(sender, ReplicaNotices(0, newer))

    async def request_missing(self, name: str) -> None:
        """Ask an instance for what is not known here, unless one was asked just now."""
        now = self._clock.monotonic_time()
        if self._members.interval_factor > 1:
            if self._asked_at is not None and now - self._asked_at < _ASK_PAUSE:
                return
        self._asked_at = now
        await self._link.send(name, NoticeDigest(tuple(self._directory.runs())))

    async def run(self) -> None:
        """Pass on what was repeated and compare with one instance, in rounds."""
        began_at = self._clock.monotonic_time()
        repeated_at = began_at
        while True:
            now = self._clock.monotonic_time()
            await self._clock.sleep(self._round(now - began_at))
            now = self._clock.monotonic_time()
            rounds = min(
                _ROUNDS_OF_REPEATS * ceil(self._members.interval_factor),
                _MOST_ROUNDS_OF_REPEATS,
            )
            if self._repeated and now - repeated_at >= rounds * _ROUND:
                repeated_at = now
                await self._pass_on_repeated()
            self._directory.expire(now)
            live = self._live_peers(now)
            if live:
                await self.request_missing(self._random.choice(live))

    def _round(self, age: timedelta) -> timedelta:
        if age >= _EARLY_TIME:
            return _ROUND
        return min(_ROUND, _EARLY_ROUND * self._members.interval_factor)

    async def _pass_on_repeated(self) -> None:
        notices = map(self._directory.repeated_notice, sorted(self._repeated))
        self._repeated.clear()
        known = tuple(notice for notice in notices if notice is not None)
        await self._link.broadcast(ReplicasHeard(known))

    def _live_peers(self, now: timedelta) -> list[str]:
        own = self._members.own_record.instance.name
        names = [record.instance.name for record in self._members.live(now)]
        return [name for name in names if name != own]

    async def _confirmed(
        self, replica: str, message: ReplicaNotices | ReplicasLeft
    ) -> Result[None, NoticeUnconfirmed]:
        """Send to all and wait until the live instances have confirmed.

        An instance that stays silent is not in touch; one confirmation is enough then,
        because digests carry the notice on.
        """
        live = self._live_peers(self._clock.monotonic_time())
        await self._link.broadcast(message)
        if not live:
            if self._members.known_instances():
                return Error(NoticeUnconfirmed(replica))
            return Ok(None)
        waiting = self._confirmations[message.number] = _Confirmation(live)
        await self._clock.with_timeout(_CONFIRM_LIMIT, waiting.done.wait())
        del self._confirmations[message.number]
        if not waiting.confirmed:
            _log.warning("leaving_unconfirmed", replica=replica, asked=live)
            return Error(NoticeUnconfirmed(replica))
        if waiting.missing:
            _log.info(
                "leaving_confirmed_by_some",
                replica=replica,
                missing=sorted(waiting.missing),
            )
        return Ok(None)

    async def _count_confirmation(self, sender: str, number: int) -> None:
        waiting = self._confirmations.get(number)
        if waiting is None:
            return
        waiting.missing.discard(sender)
        waiting.confirmed += 1
        if not waiting.missing:
            await waiting.done.set()
