"""Accepts notices of replicas and replicates them to the other instances."""

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
    ReplicasLeaving,
    ReplicasLeft,
)
from lovagetray._routing_errors import NoticeUnconfirmed
from lovagetray._routing_types import ReplicaNotice, ReplicaRun, ReplicaState
from lovagetray.state import Members, ReplicaDirectory

_log = get_logger()
_ROUND_INTERVAL = timedelta(seconds=1)
# Rounds are more frequent after the start, because notices are easily lost while the
# connections to the other instances are being opened.
_STARTUP_ROUND_INTERVAL = timedelta(milliseconds=250)
_STARTUP_DURATION = timedelta(seconds=5)
# Repeated notices are not urgent. They are relayed every two round intervals; with many
# instances less often, down to every five.
_RELAY_ROUNDS = 2
_MAX_RELAY_ROUNDS = 5
# Shortest time between two requests for missing notices, with many instances: a reply
# may hold all replicas, and when all instances start at once, each meets all others.
_MIN_REQUEST_INTERVAL = timedelta(milliseconds=200)
# A replica waits 1 s for its acknowledgement, so confirmations must arrive earlier.
_CONFIRMATION_TIMEOUT = timedelta(milliseconds=600)
_NO_AGE = timedelta(0)

ReplicaGossipMessage = (
    ReplicaNotices
    | ReplicasHeard
    | ReplicasLeft
    | ReplicasLeaving
    | NoticesSeen
    | NoticeDigest
)


class NoticeTransport(Protocol):
    """Transport to the other instances; it may lose messages."""

    async def send(self, name: str, message: PeerMessage) -> object:
        """Queue a message to one instance."""

    async def broadcast(self, message: PeerMessage) -> None:
        """Queue a message to every instance."""


class _PendingConfirmation:
    """The confirmations of a message, and the instances that have not confirmed it."""

    def __init__(self, names: Iterable[str]) -> None:
        self.missing = set(names)
        self.confirmed_count = 0
        self.done = Event()


class ReplicaGossip:
    """Replication of the replica directory among all instances.

    A notice that changes the directory is sent to every instance at once. Notices that
    only repeat what is known are relayed periodically, in batches and in a short form.
    Lost messages are made up for by anti-entropy: each round sends a digest to a random
    live instance, which replies with the newer notices that it has.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        members: Members,
        transport: NoticeTransport,
        clock: Clock,
        random: Random,
    ) -> None:
        self._directory = directory
        self._members = members
        self._transport = transport
        self._clock = clock
        self._random = random
        self._last_message_number = 0
        self._confirmations: dict[int, _PendingConfirmation] = {}
        self._replicas_to_relay: set[str] = set()
        self._requested_at: timedelta | None = None

    async def accept(self, notice: ReplicaNotice) -> Result[None, NoticeUnconfirmed]:
        """Accept a notice that a replica sent to this instance.

        If the replica is draining or has left, at least one of the other instances must
        confirm the notice.
        """
        known = self._directory.find(notice.replica)
        changed = self._directory.accept(notice, self._clock.monotonic_time())
        if not changed:
            self._replicas_to_relay.add(notice.replica)
            if known is None or notice.state is not ReplicaState.DRAINING:
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
            await self._transport.broadcast(ReplicaNotices(0, items))
            return Ok(None)
        self._last_message_number += 1
        message = ReplicaNotices(self._last_message_number, items)
        return await self._broadcast_until_confirmed(notice.replica, message)

    async def leave(self, replica: str) -> Result[None, NoticeUnconfirmed]:
        """Accept a replica's notice that it has left; the replica may be unknown."""
        self._directory.leave(replica, self._clock.monotonic_time())
        _log.info("replica_left", replica=replica)
        self._last_message_number += 1
        return await self._broadcast_until_confirmed(
            replica, ReplicasLeft(self._last_message_number, (replica,))
        )

    async def report_leaving(self, notice: ReplicaNotice) -> None:
        """Stop using a replica that states in a response that it is leaving.

        The other instances are told, because a request of theirs may be the first that
        the replica answers in this state after its time for draining has ended.
        """
        run = ReplicaRun(notice.replica, notice.born)
        if self._directory.mark_leaving(run):
            _log.info("replica_leaving", replica=notice.replica, service=notice.service)
            await self._transport.broadcast(ReplicasLeaving((run,)))

    async def receive(self, sender: str, message: ReplicaGossipMessage) -> None:
        """Handle a message from another instance."""
        now = self._clock.monotonic_time()
        match message:
            case ReplicaNotices(number=number, items=items):
                for item in items:
                    self._directory.accept(item.notice, now - item.age)
                if number:
                    await self._transport.send(sender, NoticesSeen(number))
            case ReplicasHeard(notices=notices):
                up_to_date = [
                    self._directory.accept_repeated(notice, now) for notice in notices
                ]
                if not all(up_to_date):
                    await self.request_missing(sender)
            case ReplicasLeft(number=number, replicas=replicas):
                for replica in replicas:
                    self._directory.leave(replica, now)
                await self._transport.send(sender, NoticesSeen(number))
            case ReplicasLeaving(runs=runs):
                for run in runs:
                    self._directory.mark_leaving(run)
            case NoticesSeen(number=number):
                await self._record_confirmation(sender, number)
            case NoticeDigest(runs=versions):
                newer = tuple(
                    AgedNotice(replica.notice, now - replica.heard_at)
                    for replica in self._directory.newer_than(versions)
                )
                if newer:
                    await self._transport.send(sender, ReplicaNotices(0, newer))

    async def request_missing(self, name: str) -> None:
        """Request the notices that this instance lacks, by sending it a digest.

        With many instances, no request is sent within 200 ms of the last one.
        """
        now = self._clock.monotonic_time()
        if self._members.interval_factor > 1:
            if (
                self._requested_at is not None
                and now - self._requested_at < _MIN_REQUEST_INTERVAL
            ):
                return
        self._requested_at = now
        await self._transport.send(
            name, NoticeDigest(tuple(self._directory.notice_versions()))
        )

    async def run(self) -> None:
        """Relay repeated notices and send a digest in each round, until cancelled."""
        started_at = self._clock.monotonic_time()
        relayed_at = started_at
        while True:
            now = self._clock.monotonic_time()
            await self._clock.sleep(self._round_interval(now - started_at))
            now = self._clock.monotonic_time()
            rounds = min(
                _RELAY_ROUNDS * ceil(self._members.interval_factor),
                _MAX_RELAY_ROUNDS,
            )
            if self._replicas_to_relay and now - relayed_at >= rounds * _ROUND_INTERVAL:
                relayed_at = now
                await self._relay_repeated()
            self._directory.expire(now)
            live = self._live_peers(now)
            if live:
                await self.request_missing(self._random.choice(live))

    def _round_interval(self, uptime: timedelta) -> timedelta:
        if uptime >= _STARTUP_DURATION:
            return _ROUND_INTERVAL
        return min(
            _ROUND_INTERVAL, _STARTUP_ROUND_INTERVAL * self._members.interval_factor
        )

    async def _relay_repeated(self) -> None:
        notices = map(self._directory.repeated_notice, sorted(self._replicas_to_relay))
        self._replicas_to_relay.clear()
        found = tuple(notice for notice in notices if notice is not None)
        await self._transport.broadcast(ReplicasHeard(found))

    def _live_peers(self, now: timedelta) -> list[str]:
        own = self._members.own_record.instance.name
        names = [record.instance.name for record in self._members.live(now)]
        return [name for name in names if name != own]

    async def _broadcast_until_confirmed(
        self, replica: str, message: ReplicaNotices | ReplicasLeft
    ) -> Result[None, NoticeUnconfirmed]:
        """Broadcast a message and wait up to 600 ms for all live instances to confirm.

        An instance that does not confirm in time is probably unreachable. One
        confirmation is then enough, because digests spread the notice to the others.
        Without any other known instance, none is needed.

        Returns
        -------
        Result
            `NoticeUnconfirmed` if other instances are known but none confirmed.
        """
        live = self._live_peers(self._clock.monotonic_time())
        await self._transport.broadcast(message)
        if not live:
            if self._members.known_instances():
                return Error(NoticeUnconfirmed(replica))
            return Ok(None)
        confirmation = self._confirmations[message.number] = _PendingConfirmation(live)
        await self._clock.with_timeout(_CONFIRMATION_TIMEOUT, confirmation.done.wait())
        del self._confirmations[message.number]
        if not confirmation.confirmed_count:
            _log.warning("leaving_unconfirmed", replica=replica, asked=live)
            return Error(NoticeUnconfirmed(replica))
        if confirmation.missing:
            _log.info(
                "leaving_confirmed_by_some",
                replica=replica,
                missing=sorted(confirmation.missing),
            )
        return Ok(None)

    async def _record_confirmation(self, sender: str, number: int) -> None:
        confirmation = self._confirmations.get(number)
        if confirmation is None:
            return
        confirmation.missing.discard(sender)
        confirmation.confirmed_count += 1
        if not confirmation.missing:
            await confirmation.done.set()
