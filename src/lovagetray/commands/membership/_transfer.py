"""Transfers the ownership of replicas between instances.

The limits of a replica hold for the sum of all instances: an instance uses a replica
only after the earlier owners released it or their leases expired, and leaves out the
slot and connection that an earlier owner without a lease may still use.
"""

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
    EXPIRED_QUOTA,
    LEASE_EXPIRY,
    UNCLAIMED_QUOTA,
    Claim,
    FormerOwner,
    orphan_quota,
)
from lovagetray.commands.membership._protocols import OwnershipTransport, ReplicaUse
from lovagetray.queries.membership import eligible_owners, owner_of, ownership_ranking
from lovagetray.state import (
    InstanceRecord,
    LeaseView,
    Members,
    TargetDirectory,
)

_log = get_logger()
_RESEND_INTERVAL = timedelta(milliseconds=500)
# Time after an instance joined the live list within which all others release the
# replicas that it owns.
_SETTLING_TIME = timedelta(seconds=10)
# A process that did not check its lease for longer may have lost it without noticing.
_MAX_CHECK_GAP = timedelta(seconds=1)


class OwnershipTransfer:
    """The claims of this instance on replicas, and its releases to other instances.

    Parameters
    ----------
    lease
        View of the live list and of this instance's lease.
    peer_names
        Returns the names of all other instances, from the settings or from messages.
    orphan_limit
        Returns how long an owner that lost its lease may continue to use one
        connection to each of its replicas.
    """

    def __init__(
        self,
        directory: TargetDirectory,
        members: Members,
        lease: LeaseView,
        peers: OwnershipTransport,
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
        # Claims of other instances that this instance has not answered yet.
        self._foreign_claims: dict[ReplicaKey, dict[InstanceId, ReplicaClaim]] = {}
        # When each instance was last live, and the run of it that stopped, by name.
        self._last_live: dict[str, timedelta] = {}
        self._stopped: dict[str, InstanceId] = {}
        # Cache of owners, and the topology version and records it was computed from.
        self._owners_source: tuple[int, list[InstanceRecord]] = (-1, [])
        self._owners: dict[tuple[str, str, str], str | None] = {}
        self._started_at = clock.monotonic_time()
        self._lease_seen_at: timedelta | None = None
        self._lease_since: timedelta | None = None

    def owner(self, announcement: Announcement) -> str | None:
        """Return the name of a replica's owner by the last live list, or None."""
        live = self._lease.live()
        if live is None:
            return None
        records = eligible_owners(self._members, live)
        source = self._directory.topology_version, records
        if source != self._owners_source:
            self._owners_source = source
            self._owners.clear()
        key = (announcement.service, announcement.target, announcement.data_centre)
        name = self._owners.get(key)
        if name is None:
            preceding = self._directory.preceding_replicas(announcement)
            owner = owner_of(announcement, records, preceding)
            name = None if owner is None else owner.instance.name
            self._owners[key] = name
        return name

    def quota(self, announcement: Announcement) -> ReplicaQuota:
        """Return the quota of a replica that this instance may use now."""
        claim = self._claims.get(ReplicaKey(announcement.service, announcement.target))
        if claim is None:
            return UNCLAIMED_QUOTA
        now = self._clock.monotonic_time()
        if self._holds_lease(now):
            return claim.quota(announcement, now)
        in_use = claim.complete or claim.orphaned
        expired = (
            self._lease_seen_at is None
            or now - self._lease_seen_at > self._orphan_limit()
        )
        if not in_use or expired:
            return EXPIRED_QUOTA
        return orphan_quota(announcement)

    def owns(self, announcement: Announcement) -> bool:
        """Return whether this instance accepts new work for a replica."""
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
        """Claim and release replicas by the live list; call several times per second.

        Without a lease or a live list, only finished releases are confirmed.
        """
        now = self._clock.monotonic_time()
        live = self._lease.live()
        if live is not None and self._holds_lease(now):
            for name in live:
                self._last_live[name] = now
            await self._follow_live_list(live, use, now)
            await self._send_claims(now)
        await self._confirm_releases(use)

    async def handle_claim(
        self, sender: InstanceId, message: ClaimReplicas, use: ReplicaUse
    ) -> None:
        """Release the replicas that another instance claims.

        A claim is ignored if this instance owns the replica and ranks above the
        claimer.
        """
        # Only a lease holder sends claims, so the sender is live even if the live list
        # known here, which may be outdated, lacks it.
        self._last_live[sender.name] = self._clock.monotonic_time()
        for claim in message.claims:
            key = ReplicaKey(claim.service, claim.target)
            if self._takes_precedence(sender, key):
                continue
            claims = self._foreign_claims.setdefault(key, {})
            for earlier in [run for run in claims if run.name == sender.name]:
                del claims[earlier]
            claims[sender] = claim
            await self._release(key, use)
        await self._confirm_releases(use)

    def handle_release(self, sender: InstanceId, message: ReleasedReplicas) -> None:
        """Record that another instance released replicas to this one."""
        if message.claimer != self._members.own_record.instance:
            return
        for released in message.claims:
            claim = self._claims.get(ReplicaKey(released.service, released.target))
            if claim is not None and claim.number == released.number:
                claim.record_release(sender.name)

    async def release_all(self, use: ReplicaUse) -> None:
        """Release all replicas, before the instance stops."""
        for key in list(self._claims):
            await self._release(key, use)
        await self._confirm_releases(use)

    def handle_stopped(self, sender: InstanceId) -> None:
        """Record that a run of an instance has released all replicas and stopped."""
        record = self._members.record(sender.name)
        if record is not None and record.instance != sender:
            return
        self._stopped[sender.name] = sender
        for claim in self._claims.values():
            claim.record_release(sender.name)

    def owned_count(self, service: str) -> int:
        """Return the number of replicas of a service that this instance fully owns."""
        return sum(
            claim.complete and key.service == service
            for key, claim in self._claims.items()
        )

    def claim_count(self) -> int:
        """Return the number of replicas that are claimed, owned or being released."""
        return len(self._claims)

    @property
    def _own_name(self) -> str:
        return self._members.own_record.instance.name

    def _holds_lease(self, now: timedelta) -> bool:
        """Return whether the lease is valid.

        All claims start again when the lease is valid after it was lost, or after a
        time without checks in which it may have been lost.
        """
        if not self._lease.lease_valid():
            self._lease_since = None
            return False
        unchecked = (
            self._lease_seen_at is None or now - self._lease_seen_at > _MAX_CHECK_GAP
        )
        if self._lease_since is None or unchecked:
            self._lease_since = now
            # Other instances may have held and lost leases while this one had none.
            self._last_live = dict.fromkeys(self._peers_ever_known(), now)
            for key, claim in list(self._claims.items()):
                orphaned = claim.complete or claim.orphaned
                self._claims[key] = self._new_claim(key, orphaned)
                self._claims[key].releasing = claim.releasing
        self._lease_seen_at = now
        return True

    async def _follow_live_list(
        self, live: frozenset[str], use: ReplicaUse, now: timedelta
    ) -> None:
        owned = {
            ReplicaKey(listing.announcement.service, listing.announcement.target)
            for listing in self._directory.listings()
            if self.owner(listing.announcement) == self._own_name
        }
        for key in sorted(owned - self._claims.keys() - self._foreign_claims.keys()):
            self._claims[key] = self._new_claim(key, orphaned=False)
        for key, claim in list(self._claims.items()):
            if key not in owned or claim.releasing:
                await self._release(key, use)
                continue
            self._update(claim, live, now)

    def _new_claim(self, key: ReplicaKey, orphaned: bool) -> Claim:
        """Return a claim that waits for all instances that may use the replica."""
        claim = Claim(key, next(self._numbers), orphaned)
        live = self._lease.live() or frozenset()
        listing = self._directory.listing(key.service, key.target)
        for name in self._peers_ever_known() | live - {self._own_name}:
            if name in live:
                claim.awaiting.add(name)
            elif listing is None or self._may_have_owned(listing.announcement, name):
                claim.former_owners[name] = self._former_owner(name)
        return claim

    def _update(self, claim: Claim, live: frozenset[str], now: timedelta) -> None:
        """Update the instances that a claim waits for, and whether it is complete.

        Instances that left the live list become former owners. Former owners are
        removed if they restarted or must have stopped using the replica.
        """
        for name in claim.awaiting - live:
            claim.awaiting.discard(name)
            record = self._members.record(name)
            if record is None or record.instance != self._stopped.get(name):
                claim.former_owners[name] = self._former_owner(name)
        for name, former_owner in list(claim.former_owners.items()):
            record = self._members.record(name)
            known = former_owner.instance is not None and record is not None
            if (
                known
                and record is not None
                and record.instance != former_owner.instance
            ):
                claim.record_release(name)
        claim.drop_expired_owners(now)
        was_complete = claim.complete
        listing = self._directory.listing(claim.key.service, claim.key.target)
        if listing is not None:
            # Also marks the claim as complete when its conditions are met.
            claim.quota(listing.announcement, now)
        if claim.complete and not was_complete:
            claim.orphaned = False
            OWNERSHIP_MOVES.labels(claim.key.service).inc()
            _log.info(
                "replica_owned",
                service=claim.key.service,
                target=claim.key.target,
                unconfirmed=sorted(claim.former_owners),
            )

    def _may_have_owned(self, announcement: Announcement, name: str) -> bool:
        """Return whether an instance that is not live may have owned a replica.

        It may not if it released all replicas and stopped. It may if it ranks above
        this instance, or if it ranks so high that all the instances above it may own
        preceding replicas of the shard. Any other may as well, unless it was live
        together with this instance, and knew the same targets, for long enough to
        release every replica that it did not own.
        """
        last_live = self._last_live.get(name)
        record = self._members.record(name)
        if record is not None and record.instance == self._stopped.get(name):
            return False
        if last_live is None or record is None or self._lease_since is None:
            return True
        live = eligible_owners(self._members, self._lease.live() or ())
        others = [member for member in live if member != record]
        ranking = ownership_ranking(announcement, [*others, record])
        rank = ranking.index(record)
        below = self._members.own_record in ranking[:rank]
        above_may_be_assigned = rank <= len(
            self._directory.preceding_replicas(announcement)
        )
        changed_at = self._directory.topology_changed_at(announcement.service)
        unsettled = last_live - max(self._lease_since, changed_at) < _SETTLING_TIME
        return not below or above_may_be_assigned or unsettled

    def _peers_ever_known(self) -> set[str]:
        """Return the names of all other instances that are known or were ever live."""
        return {*self._peer_names(), *self._last_live} - {self._own_name}

    def _former_owner(self, name: str) -> FormerOwner:
        record = self._members.record(name)
        expires_at = self._last_live.get(name, self._started_at) + LEASE_EXPIRY
        instance = None if record is None else record.instance
        return FormerOwner(instance, expires_at, expires_at + self._orphan_limit())

    def _takes_precedence(self, sender: InstanceId, key: ReplicaKey) -> bool:
        """Return whether this instance owns a replica and ranks above a claimer."""
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
        """Give up a replica; drop the claim on it once it is not in use.

        Running work goes on until then.
        """
        claim = self._claims.get(key)
        if claim is not None:
            claim.releasing = True
        await use.release(key)
        if not use.in_use(key):
            self._claims.pop(key, None)

    async def _send_claims(self, now: timedelta) -> None:
        """Send claims to the instances that have not released; one message to each."""
        unanswered: dict[str, list[ReplicaClaim]] = {}
        for key, claim in self._claims.items():
            recent = (
                claim.requested_at is not None
                and now - claim.requested_at < _RESEND_INTERVAL
            )
            if claim.releasing or recent or not claim.unreleased_by:
                continue
            claim.requested_at = now
            for name in sorted(claim.unreleased_by):
                unanswered.setdefault(name, []).append(ReplicaClaim(*key, claim.number))
        for name, claims in unanswered.items():
            await self._peers.send(name, ClaimReplicas(tuple(claims)))

    async def _confirm_releases(self, use: ReplicaUse) -> None:
        """Confirm to claimers the release of replicas no longer in use here."""
        released: dict[InstanceId, list[ReplicaClaim]] = {}
        for key, foreign_claims in list(self._foreign_claims.items()):
            if use.in_use(key):
                continue
            self._claims.pop(key, None)
            del self._foreign_claims[key]
            for claimer, claim in foreign_claims.items():
                released.setdefault(claimer, []).append(claim)
        for claimer, claims in released.items():
            message = ReleasedReplicas(claimer, tuple(claims))
            await self._peers.send(claimer.name, message)
