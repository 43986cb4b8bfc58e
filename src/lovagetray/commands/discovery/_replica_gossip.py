"""Accepts notices of replicas and replicates them to the other instances."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random
from typing import Protocol

from curio import spawn
from expression import Error, Ok, Result
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._peer_messages import (
    AgedNotice,
    DirectoryChecksum,
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
from lovagetray.commands.discovery._confirmation import (
    DepartureStore,
    PendingConfirmation,
)
from lovagetray.state import Members, Relays, ReplicaDirectory

_log = get_logger()
_ROUND_INTERVAL = timedelta(seconds=1)
# Rounds are more frequent after the start, because notices are easily lost while the
# connections to the other instances are being opened.
_STARTUP_ROUND_INTERVAL = timedelta(milliseconds=250)
_STARTUP_DURATION = timedelta(seconds=5)
# Repeated notices are not urgent, so they are relayed together.
_RELAY_INTERVAL = 2 * _ROUND_INTERVAL
# Shortest time between two requests for missing notices: a reply may hold all replicas,
# and when all instances start at once, each meets many others.
_MIN_REQUEST_INTERVAL = timedelta(milliseconds=200)
# A replica waits 1 s for its acknowledgement, so confirmations must arrive earlier, and
# those that a relay collects for another instance earlier still.
_CONFIRMATION_TIMEOUT = timedelta(milliseconds=600)
_FORWARDED_CONFIRMATION_TIMEOUT = timedelta(milliseconds=450)
_NO_AGE = timedelta(0)

ReplicaGossipMessage = (
    ReplicaNotices
    | ReplicasHeard
    | ReplicasLeft
    | ReplicasLeaving
    | NoticesSeen
    | DirectoryChecksum
    | NoticeDigest
)


class NoticeTransport(Protocol):
    """Transport to the other instances; it may lose messages."""

    async def send(self, name: str, message: PeerMessage) -> object:
        """Queue a message to one instance."""

    async def broadcast(self, message: PeerMessage) -> None:
        """Queue a message to every other relay."""


class ReplicaGossip:
    """Replication of the replica directory among the relays.

    A notice that changes the directory is sent to every relay at once. Notices that
    only repeat what is known are relayed periodically, in batches and in a short form.
    Lost messages are made up for by anti-entropy: each round sends a checksum of the
    directory to a random live relay. If its own differs, it replies with a digest, and
    gets the newer notices in return. A relay that lacks what a digest names requests
    it.

    An instance that is no relay forwards the notices that it gets to its relay, which
    treats them as its own and confirms them once other relays have done so.

    Parameters
    ----------
    store
        Storage of the directory; None without a disk.
    tolerated_disk_losses
        Number of disks that may be lost right after a departure was acknowledged.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        members: Members,
        relays: Relays,
        transport: NoticeTransport,
        clock: Clock,
        random: Random,
        store: DepartureStore | None = None,
        tolerated_disk_losses: int = 0,
    ) -> None:
        self._store = store
        self._tolerated_disk_losses = tolerated_disk_losses
        self._directory = directory
        self._members = members
        self._relays = relays
        self._transport = transport
        self._clock = clock
        self._random = random
        self._last_message_number = 0
        self._confirmations: dict[int, PendingConfirmation] = {}
        self._replicas_to_relay: set[str] = set()
        self._requested_at: dict[str, timedelta] = {}
        # Instances whose notices are missing here, asked too recently to ask again.
        self._postponed_requests: set[str] = set()

    async def accept(
        self, notice: ReplicaNotice, timeout: timedelta = _CONFIRMATION_TIMEOUT
    ) -> Result[None, NoticeUnconfirmed]:
        """Accept a notice that a replica sent to this instance.

        If the replica is draining or has left, at least one other relay must confirm
        the notice, and it must be on a disk if there is one.

        Parameters
        ----------
        timeout
            How long the confirmations of all other relays are awaited.
        """
        known = self._directory.find(notice.replica)
        changed = self._directory.accept(notice, self._clock.monotonic_time())
        if not changed:
            self._replicas_to_relay.add(notice.replica)
            if not self._relays.is_relay and notice.state is ReplicaState.READY:
                await self._send_to_relays(
                    ReplicaNotices(0, (AgedNotice(notice, _NO_AGE),))
                )
                return Ok(None)
            if (
                known is None
                or notice.state is ReplicaState.READY
                or notice.born < known.born
            ):
                return Ok(None)
        else:
            has_left = notice.state is ReplicaState.LEFT
            _log.info(
                "replica_left" if has_left else "replica_announced",
                replica=notice.replica,
                service=notice.service,
                state=notice.state.value,
                address=str(notice.address),
                born=notice.born,
                sequence=notice.sequence,
            )
        items = (AgedNotice(notice, _NO_AGE),)
        if notice.state is ReplicaState.READY:
            await self._send_to_relays(ReplicaNotices(0, items))
            return Ok(None)
        self._last_message_number += 1
        message = ReplicaNotices(self._last_message_number, items)
        return await self._send_until_confirmed(notice.replica, message, timeout)

    async def leave(
        self, replica: str, timeout: timedelta = _CONFIRMATION_TIMEOUT
    ) -> Result[None, NoticeUnconfirmed]:
        """Accept a replica's notice that it has left; the replica may be unknown."""
        self._directory.leave(replica, self._clock.monotonic_time())
        _log.info("replica_left", replica=replica)
        self._last_message_number += 1
        return await self._send_until_confirmed(
            replica, ReplicasLeft(self._last_message_number, (replica,)), timeout
        )

    async def report_leaving(self, notice: ReplicaNotice) -> None:
        """Stop using a replica that states in a response that it is leaving.

        The other instances are told as well. Otherwise each of them would learn it only
        by sending a request to the replica.
        """
        run = ReplicaRun(notice.replica, notice.born)
        if self._directory.mark_leaving(run):
            _log.info("replica_leaving", replica=notice.replica, service=notice.service)
            await self._send_to_relays(ReplicasLeaving((run,)))

    async def receive(self, sender: str, message: ReplicaGossipMessage) -> None:
        """Handle a message from another instance."""
        now = self._clock.monotonic_time()
        from_relay = sender in self._relays.names
        match message:
            case ReplicaNotices() | ReplicasLeft() if (
                self._relays.is_relay and not from_relay
            ):
                # Confirmations take time, so the task that receives does not wait.
                await spawn(self._relay_forwarded, sender, message, daemon=True)
            case ReplicaNotices(number=number, items=items):
                for item in items:
                    self._directory.accept(item.notice, now - item.age)
                if number:
                    await self._confirm(sender, number)
            case ReplicasHeard(notices=notices):
                up_to_date = [
                    self._directory.accept_repeated(notice, now) for notice in notices
                ]
                if not all(up_to_date):
                    await self.request_missing(sender)
            case ReplicasLeft(number=number, replicas=replicas):
                for replica in replicas:
                    self._directory.leave(replica, now)
                await self._confirm(sender, number)
            case ReplicasLeaving(runs=runs):
                changed = [run for run in runs if self._directory.mark_leaving(run)]
                if changed and self._relays.is_relay and not from_relay:
                    await self._transport.broadcast(ReplicasLeaving(tuple(changed)))
            case NoticesSeen(number=number, stored=stored):
                confirmation = self._confirmations.get(number)
                if confirmation is not None:
                    await confirmation.add(sender, stored)
            case DirectoryChecksum(checksum=checksum):
                if checksum != self._directory.checksum():
                    await self.request_missing(sender)
            case NoticeDigest(runs=versions):
                newer = tuple(
                    AgedNotice(replica.notice, now - replica.heard_at)
                    for replica in self._directory.newer_than(versions)
                )
                if newer:
                    await self._transport.send(sender, ReplicaNotices(0, newer))
                if from_relay and self._directory.is_older_than(versions):
                    await self.request_missing(sender)

    async def request_missing(self, name: str) -> None:
        """Request the notices that this instance lacks, by sending it a digest.

        No request is sent within 200 ms of the last one to the same instance; it is
        then sent in the next round.
        """
        now = self._clock.monotonic_time()
        requested_at = self._requested_at.get(name)
        if requested_at is not None and now - requested_at < _MIN_REQUEST_INTERVAL:
            self._postponed_requests.add(name)
            return
        self._postponed_requests.discard(name)
        self._requested_at[name] = now
        await self._transport.send(
            name, NoticeDigest(tuple(self._directory.notice_versions()))
        )

    async def run(self) -> None:
        """Relay repeated notices and send a checksum each round, until cancelled.

        Only relays do so; the other instances remove what is long gone.
        """
        started_at = self._clock.monotonic_time()
        relayed_at = started_at
        while True:
            now = self._clock.monotonic_time()
            await self._clock.sleep(self._round_interval(now - started_at))
            now = self._clock.monotonic_time()
            self._directory.expire(now, judge_silence=self._relays.is_relay)
            for name in sorted(self._postponed_requests):
                await self.request_missing(name)
            if not self._relays.is_relay:
                self._replicas_to_relay.clear()
                continue
            if self._replicas_to_relay and now - relayed_at >= _RELAY_INTERVAL:
                relayed_at = now
                await self._relay_repeated()
            live = self._live_relays(now)
            if live:
                await self._transport.send(
                    self._random.choice(live),
                    DirectoryChecksum(self._directory.checksum()),
                )

    def _round_interval(self, uptime: timedelta) -> timedelta:
        if uptime >= _STARTUP_DURATION:
            return _ROUND_INTERVAL
        return _STARTUP_ROUND_INTERVAL

    async def _relay_repeated(self) -> None:
        notices = map(self._directory.repeated_notice, sorted(self._replicas_to_relay))
        self._replicas_to_relay.clear()
        found = tuple(notice for notice in notices if notice is not None)
        await self._transport.broadcast(ReplicasHeard(found))

    def _live_relays(self, now: timedelta) -> list[str]:
        live = self._members.live_among(self._relays.others, now)
        return [record.instance.name for record in live]

    async def _send_to_relays(self, message: ReplicaGossipMessage) -> None:
        """Send a message to all other relays or, if this is no relay, to its own."""
        if self._relays.is_relay:
            await self._transport.broadcast(message)
        elif self._relays.chosen is not None:
            await self._transport.send(self._relays.chosen, message)

    async def _relay_forwarded(
        self, sender: str, message: ReplicaNotices | ReplicasLeft
    ) -> None:
        """Treat what a subscriber got from replicas as this relay's own."""
        timeout = _FORWARDED_CONFIRMATION_TIMEOUT
        match message:
            case ReplicaNotices(items=items):
                results = [await self.accept(item.notice, timeout) for item in items]
            case ReplicasLeft(replicas=replicas):
                results = [await self.leave(replica, timeout) for replica in replicas]
        if message.number and all(result.is_ok() for result in results):
            await self._transport.send(sender, NoticesSeen(message.number, True))

    async def _confirm(self, sender: str, number: int) -> None:
        """Confirm a message, and again once it is on the disk."""
        await self._transport.send(sender, NoticesSeen(number))
        if self._store is not None:
            # The disk takes time, so the task that receives does not wait.
            await spawn(self._confirm_stored, self._store, sender, number, daemon=True)

    async def _confirm_stored(
        self, store: DepartureStore, sender: str, number: int
    ) -> None:
        if await store.save(_CONFIRMATION_TIMEOUT):
            await self._transport.send(sender, NoticesSeen(number, True))

    async def _send_until_confirmed(
        self,
        replica: str,
        message: ReplicaNotices | ReplicasLeft,
        timeout: timedelta,
    ) -> Result[None, NoticeUnconfirmed]:
        """Send a message until all live relays, or the own one, have confirmed it.

        It should also be on as many disks as survive the tolerated losses, because all
        processes may be killed right after the acknowledgement.

        A relay that does not confirm in time may be unreachable, or its disk may hang.
        One confirmation and one disk are then enough, because digests spread the notice
        to the others. Without any other known instance, no confirmation is needed.

        Returns
        -------
        Result
            `NoticeUnconfirmed` if other instances are known but none confirmed, or if
            there are disks but none has the notice.
        """
        started_at = self._clock.monotonic_time()
        if self._relays.is_relay:
            live = self._live_relays(started_at)
        else:
            live = [name for name in (self._relays.chosen,) if name is not None]
        confirmation = PendingConfirmation(live, self._copies_wanted(live))
        self._confirmations[message.number] = confirmation
        await self._send_to_relays(message)
        own_name = self._members.own_record.instance.name
        if self._store is not None and await self._store.save(timeout):
            confirmation.copies.add(own_name)
        if not confirmation.complete:
            time_left = timeout - (self._clock.monotonic_time() - started_at)
            await self._clock.with_timeout(
                max(time_left, _NO_AGE), confirmation.done.wait()
            )
        del self._confirmations[message.number]
        confirmed = confirmation.confirmed or not self._members.known_instances()
        if not confirmed or (confirmation.copies_wanted and not confirmation.copies):
            _log.warning(
                "leaving_unconfirmed",
                replica=replica,
                asked=live,
                confirmed=sorted(confirmation.confirmed),
                copies=len(confirmation.copies),
            )
            return Error(NoticeUnconfirmed(replica))
        if not confirmation.complete:
            _log.info(
                "leaving_confirmed_by_some",
                replica=replica,
                missing=sorted(confirmation.missing),
                copies=len(confirmation.copies),
                copies_wanted=confirmation.copies_wanted,
            )
        return Ok(None)

    def _copies_wanted(self, live: Iterable[str]) -> int:
        """Return the number of disks that a departure should be on.

        Parameters
        ----------
        live
            Instances that confirm it. If this one is no relay, its relay confirms only
            what is on enough disks.
        """
        capacities = self._members.capacities()
        disks = sum(name in capacities and capacities[name].disk for name in live)
        if not self._relays.is_relay:
            return min(1, disks)
        disks += self._store is not None
        return min(self._tolerated_disk_losses + 1, disks)
