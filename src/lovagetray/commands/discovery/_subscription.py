"""The work of an instance that is no relay: follows the directory of one relay."""

from datetime import timedelta

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._peer_messages import FeedUpdate, Subscribe
from lovagetray.commands.discovery._replica_gossip import NoticeTransport
from lovagetray.queries.membership import choose_relay
from lovagetray.state import FeedPosition, Members, Relays, ReplicaDirectory

_log = get_logger()
_POLL_INTERVAL = timedelta(milliseconds=500)
# Two polls without an answer; another relay is then asked.
_ANSWER_TIMEOUT = timedelta(milliseconds=1200)
_RETRY_FAILED_RELAY = timedelta(seconds=5)
# A relay that a majority has not confirmed for longer may be cut off from the others.
_MAX_CONFIRMED_AGE = timedelta(seconds=2)
_NO_POSITION = FeedPosition("", 0)


class Subscription:
    """Subscription of this instance to the directory of a relay."""

    def __init__(
        self,
        members: Members,
        directory: ReplicaDirectory,
        relays: Relays,
        transport: NoticeTransport,
        clock: Clock,
    ) -> None:
        self._members = members
        self._directory = directory
        self._relays = relays
        self._transport = transport
        self._clock = clock
        self._position = _NO_POSITION
        self._answered_at = clock.monotonic_time()
        self._failed_at: dict[str, timedelta] = {}

    async def run(self) -> None:
        """Ask a relay for changes every 500 ms while this is no relay."""
        while True:
            if not self._relays.is_relay:
                await self._poll()
            await self._clock.sleep(_POLL_INTERVAL)

    async def receive(self, sender: str, update: FeedUpdate) -> None:
        """Apply the changes of a relay."""
        now = self._clock.monotonic_time()
        if sender != self._relays.chosen:
            return
        self._answered_at = now
        if (
            update.confirmed_age is None or update.confirmed_age > _MAX_CONFIRMED_AGE
        ) and self._has_alternative():
            self._give_up_relay(sender, now, "not confirmed by a majority")
            return
        if update.after and update.after > self._position.version:
            # An update in between was lost; the next poll asks for it.
            return
        for instance in update.instances:
            self._members.follow(instance.record, instance.live, now, instance.capacity)
        for replica in update.replicas:
            self._directory.follow(replica.notice, replica.leaving, replica.silent, now)
        self._position = update.position

    async def _poll(self) -> None:
        now = self._clock.monotonic_time()
        chosen = self._relays.chosen
        if chosen is not None and now - self._answered_at > _ANSWER_TIMEOUT:
            self._give_up_relay(chosen, now, "no answer")
        if self._best_relay(now) != self._relays.chosen:
            self._choose(now)
        chosen = self._relays.chosen
        if chosen is not None:
            await self._transport.send(
                chosen,
                Subscribe(
                    self._members.own_record,
                    self._position,
                    self._members.own_capacity,
                ),
            )

    def _best_relay(self, now: timedelta) -> str | None:
        self._failed_at = {
            name: at
            for name, at in self._failed_at.items()
            if now - at < _RETRY_FAILED_RELAY
        }
        own = self._members.own_record
        records = [
            record
            for record in map(self._members.record, self._relays.names)
            if record is not None
        ]
        return choose_relay(
            own.instance.name,
            own.data_centre,
            self._relays.names,
            records,
            self._failed_at,
        )

    def _choose(self, now: timedelta) -> None:
        chosen = self._best_relay(now)
        self._relays.choose(chosen)
        self._position = _NO_POSITION
        self._answered_at = now
        _log.info("relay_chosen", relay=chosen)

    def _has_alternative(self) -> bool:
        return len(self._relays.names - self._failed_at.keys()) > 1

    def _give_up_relay(self, name: str, now: timedelta, reason: str) -> None:
        _log.warning("relay_given_up", relay=name, reason=reason)
        self._failed_at[name] = now
        self._choose(now)
