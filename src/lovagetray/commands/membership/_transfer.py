"""Moves the ownership of replicas between instances, so that limits hold in sum."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from itertools import count

from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._peer_messages import (
    ClaimReplicas,
    ReleasedReplicas,
    ReplicaClaim,
)
from lovagetray._telemetry import OWNERSHIP_MOVES
from lovagetray._types import Announcement, InstanceId, ReplicaKey, ReplicaQuota
from lovagetray.commands.membership._claims import (
    GIVEN_UP,
    LEASE_ENDED,
    NOT_CLAIMED,
    Claim,
    FormerOwner,
    orphan_allowance,
)
from lovagetray.commands.membership._protocols import PeerSender, ReplicaUse
from lovagetray.queries.membership import eligible_owners, owner_of, ownership_ranking
from lovagetray.state import (
    InstanceRecord,
    LeaseView,
    Members,
    TargetDirectory,
)

_log = get_logger()
_RESEND = timedelta(milliseconds=500)
# Within this time after an instance joins the list, all others have released to it.
_SETTLED = timedelta(seconds=10)
# A process that did not look at its lease for longer may have lost it unnoticed.
_LONGEST_GAP = timedelta(seconds=1)


class OwnershipTransfer:
    """Claims the replicas that this instance owns and releases the others.

    Parameters
    ----------
    peer_names
        Returns the names of all other instances, known from settings or heard of.
    orphan_limit
        Returns how long an owner without a lease goes on with one connection.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        members: Members,
        lease: LeaseView,
        peers: PeerSender,
        peer_names: Callable[[], Iterable[str]],
        clock: Clock,
        orphan_limit: Callable[[], timedelta],
    ) -> None:
        self._directory = directory
        self._members = members
        self._lease = lease
        self._peers = peers
        self._peer_names = peer_names
        self._clock = clock
        self._orphan_limit = orphan_limit
        self._numbers = count(1)
        self._claims: dict[ReplicaKey, Claim] = {}
        self._owed: dict[ReplicaKey, dict[InstanceId, ReplicaClaim]] = {}
        self._last_live: dict[str, timedelta] = {}
        self._stopped: dict[str, InstanceId] = {}
        # Owners by replica for the records they were ranked from.
        self._ranked: tuple[int, list[InstanceRecord]] = (-1, [])
        self._owners: dict[tuple[str, str, str], str | None] = {}
        self._started_at = clock.monotonic_time()
        self._lease_at: timedelta | None = None
        self._lease_since: timedelta | None = None

    def owner(self, announcement: Announcement) -> str | None:
        """Return the name of the instance that owns a replica by the last list."""
        live = self._lease.live()
        if live is None:
            return None
        records = eligible_owners(self._members, live)
        ranked = self._directory.topology_version, records
        if ranked != self._ranked:
            self._ranked = ranked
            self._owners.clear()
        key = (announcement.service, announcement.target, announcement.data_centre)
        name = self._owners.get(key)
        if name is None:
            earlier = self._directory.preceding_replicas(announcement)
            owner = owner_of(announcement, records, earlier)
            name = None if owner is None else owner.instance.name
            self._owners[key] = name
        return name

    def allowance(self, announcement: Announcement) -> ReplicaQuota:
        """Return what this instance may use of a replica now."""
        claim = self._claims.get(ReplicaKey(announcement.service, announcement.target))
        if claim is None:
            return NOT_CLAIMED
        now = self._clock.monotonic_time()
        if self._holds_lease(now):
            return claim.allowance(announcement, now)
        used = claim.complete or claim.kept
        expired = self._lease_at is None or now - self._lease_at > self._orphan_limit()
        if not used or expired:
            return GIVEN_UP
        return orphan_allowance(announcement)

    def owns(self, announcement: Announcement) -> bool:
        """Tell whether new work for a replica is accepted here."""
        key = ReplicaKey(announcement.service, announcement.target)
        claim = self._claims.get(key)
        if claim is not None and not claim.releasing:
            return True
        return (
            claim is None
            and self._holds_lease(self._clock.monotonic_time())
            and self.owner(announcement) == self._own_name
        )

    async def reconcile(self, use: ReplicaUse) -> None:
        """Claim and release according to the list; call several times each second."""
        now = self._clock.monotonic_time()
        live = self._lease.live()
        if live is not None and self._holds_lease(now):
            for name in live:
                self._last_live[name] = now
            await self._follow_list(live, use, now)
            await self._ask(now)
        await self._answer(use)

    async def handle_claim(
        self, sender: InstanceId, message: ClaimReplicas, use: ReplicaUse
    ) -> None:
        """Release what another instance claims, unless this one goes before it."""
        # Only a lease holder claims, also one that is missing on an outdated list here.
        self._last_live[sender.name] = self._clock.monotonic_time()
        for asked in message.claims:
            key = ReplicaKey(asked.service, asked.target)
            if self._goes_before(sender, key):
                continue
            owed = self._owed.setdefault(key, {})
            for other in [one for one in owed if one.name == sender.name]:
                del owed[other]
            owed[sender] = asked
            await self._release(key, use)
        await self._answer(use)

    def handle_release(self, sender: InstanceId, message: ReleasedReplicas) -> None:
        """Record that another instance released replicas to this one."""
        if message.claimer != self._members.own_record.instance:
            return
        for answered in message.claims:
            claim = self._claims.get(ReplicaKey(answered.service, answered.target))
            if claim is not None and claim.number == answered.number:
                claim.released_by(sender.name)

    async def release_all(self, use: ReplicaUse) -> None:
        """Release every replica, on the way to a stop."""
        for key in list(self._claims):
            await self._release(key, use)
        await self._answer(use)

    def handle_stopped(self, sender: InstanceId) -> None:
        """Record that a run of an instance ended after it had released everything."""
        record = self._members.record(sender.name)
        if record is not None and record.instance != sender:
            return
        self._stopped[sender.name] = sender
        for claim in self._claims.values():
            claim.released_by(sender.name)

    def owned_count(self, service: str) -> int:
        """Return how many replicas of a service this instance fully owns."""
        return sum(
            claim.complete and key.service == service
            for key, claim in self._claims.items()
        )

    def claim_count(self) -> int:
        """Return how many replicas this instance claims or holds."""
        return len(self._claims)

    @property
    def _own_name(self) -> str:
        return self._members.own_record.instance.name

    def _holds_lease(self, now: timedelta) -> bool:
        """Tell whether the lease is valid; restart all claims after a gap."""
        if not self._lease.lease_valid():
            self._lease_since = None
            return False
        unseen = self._lease_at is None or now - self._lease_at > _LONGEST_GAP
        if self._lease_since is None or unseen:
            self._lease_since = now
            # Others may have held leases, and lost them, while this one had none.
            self._last_live = dict.fromkeys(self._others(), now)
            for key, claim in list(self._claims.items()):
                kept = claim.complete or claim.kept
                self._claims[key] = self._new_claim(key, kept)
                self._claims[key].releasing = claim.releasing
        self._lease_at = now
        return True

    async def _follow_list(
        self, live: frozenset[str], use: ReplicaUse, now: timedelta
    ) -> None:
        owned = {
            ReplicaKey(listing.announcement.service, listing.announcement.target)
            for listing in self._directory.listings()
            if self.owner(listing.announcement) == self._own_name
        }
        for key in sorted(owned - self._claims.keys() - self._owed.keys()):
            self._claims[key] = self._new_claim(key, kept=False)
        for key, claim in list(self._claims.items()):
            if key not in owned or claim.releasing:
                await self._release(key, use)
                continue
            self._update(claim, live, now)

    def _new_claim(self, key: ReplicaKey, kept: bool) -> Claim:
        """Return a claim that waits for every instance that may use the replica."""
        claim = Claim(key, next(self._numbers), kept)
        live = self._lease.live() or frozenset()
        listing = self._directory.listing(key.service, key.target)
        for name in self._others() | live - {self._own_name}:
            if name in live:
                claim.awaiting.add(name)
            elif listing is None or self._may_have_owned(listing.announcement, name):
                claim.former[name] = self._former(name)
        return claim

    def _update(self, claim: Claim, live: frozenset[str], now: timedelta) -> None:
        """Take in instances that left the list, restarted or were gone too long."""
        for name in claim.awaiting - live:
            claim.awaiting.discard(name)
            record = self._members.record(name)
            if record is None or record.instance != self._stopped.get(name):
                claim.former[name] = self._former(name)
        for name, former in list(claim.former.items()):
            record = self._members.record(name)
            known = former.instance is not None and record is not None
            if known and record is not None and record.instance != former.instance:
                claim.released_by(name)
        claim.forget(now)
        before = claim.complete
        listing = self._directory.listing(claim.key.service, claim.key.target)
        if listing is not None:
            claim.allowance(listing.announcement, now)
        if claim.complete and not before:
            claim.kept = False
            OWNERSHIP_MOVES.labels(claim.key.service).inc()
            _log.info(
                "replica_owned",
                service=claim.key.service,
                target=claim.key.target,
                unconfirmed=sorted(claim.former),
            )

    def _may_have_owned(self, announcement: Announcement, name: str) -> bool:
        """Tell whether an instance that is not live may have owned a replica.

        One ranked above this instance may, and one among the first of the ranking whose
        betters own earlier replicas of the shard. Any other may as well, unless it was
        live while this instance was and knew the same targets, for long enough to
        release everything that it did not own.
        """
        last_live = self._last_live.get(name)
        record = self._members.record(name)
        if record is not None and record.instance == self._stopped.get(name):
            return False
        if last_live is None or record is None or self._lease_since is None:
            return True
        live = eligible_owners(self._members, self._lease.live() or ())
        others = [one for one in live if one != record]
        ranking = ownership_ranking(announcement, [*others, record])
        place = ranking.index(record)
        below = self._members.own_record in ranking[:place]
        passed_over = place <= len(self._directory.preceding_replicas(announcement))
        changed_at = self._directory.topology_changed_at(announcement.service)
        unsettled = last_live - max(self._lease_since, changed_at) < _SETTLED
        return not below or passed_over or unsettled

    def _others(self) -> set[str]:
        """Return the names of all other instances that are known."""
        return {*self._peer_names(), *self._last_live} - {self._own_name}

    def _former(self, name: str) -> FormerOwner:
        record = self._members.record(name)
        lease_ends = self._last_live.get(name, self._started_at) + LEASE_ENDED
        instance = None if record is None else record.instance
        return FormerOwner(instance, lease_ends, lease_ends + self._orphan_limit())

    def _goes_before(self, sender: InstanceId, key: ReplicaKey) -> bool:
        """Tell whether this instance owns a replica and ranks above a claimer."""
        listing = self._directory.listing(key.service, key.target)
        record = self._members.record(sender.name)
        if listing is None or record is None or key not in self._claims:
            return False
        announcement = listing.announcement
        if not self._holds_lease(self._clock.monotonic_time()):
            return False
        if self.owner(announcement) != self._own_name:
            return False
        ranking = ownership_ranking(announcement, [self._members.own_record, record])
        return ranking[0] == self._members.own_record

    async def _release(self, key: ReplicaKey, use: ReplicaUse) -> None:
        """Give up a claim once nothing is in use; running work goes on until then."""
        claim = self._claims.get(key)
        if claim is not None:
            claim.releasing = True
        await use.release(key)
        if not use.in_use(key):
            self._claims.pop(key, None)

    async def _ask(self, now: timedelta) -> None:
        """Send claims to all that have not answered, one message to each instance."""
        asked: dict[str, list[ReplicaClaim]] = {}
        for key, claim in self._claims.items():
            recent = claim.asked_at is not None and now - claim.asked_at < _RESEND
            if claim.releasing or recent or not claim.unanswered:
                continue
            claim.asked_at = now
            for name in sorted(claim.unanswered):
                asked.setdefault(name, []).append(ReplicaClaim(*key, claim.number))
        for name, claims in asked.items():
            await self._peers.send(name, ClaimReplicas(tuple(claims)))

    async def _answer(self, use: ReplicaUse) -> None:
        """Confirm the release of replicas that nothing here uses any more."""
        answers: dict[InstanceId, list[ReplicaClaim]] = {}
        for key, owed in list(self._owed.items()):
            if use.in_use(key):
                continue
            self._claims.pop(key, None)
            del self._owed[key]
            for claimer, asked in owed.items():
                answers.setdefault(claimer, []).append(asked)
        for claimer, claims in answers.items():
            message = ReleasedReplicas(claimer, tuple(claims))
            await self._peers.send(claimer.name, message)
