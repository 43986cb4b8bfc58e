"""Handling of the leader's messages and of vote requests."""

from expression import Result

from lovagetray._log_entries import LeaderHeader, LogSnapshot
from lovagetray._peer_messages import (
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from lovagetray._violations import CommittedEntryChanged, TwoLeaders
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._applier import Applier
from lovagetray.commands.agreement._roles import Following, LeaderState
from lovagetray.wire import decode_snapshot


class Follower:
    """Stores entries and snapshots of the leader, and votes, for the inbox task."""

    def __init__(self, replica: AgreementState, applier: Applier) -> None:
        self._replica = replica
        self._applier = applier
        self._partial = b""
        self._partial_of: tuple[LeaderHeader, int] | None = None

    async def append(self, sender: str, message: AppendEntries) -> None:
        """Store entries from a leader and reply."""
        replica = self._replica
        async with replica.lock:
            accepted, index = False, 0
            if await self._accept_leader(message.beat):
                accepted, index = await self._store(message)
            beat = replica.follower_beat(message.beat)
        reply = AppendReply(beat, accepted, index)
        await replica.context.link.send(sender, reply)

    async def install(self, sender: str, chunk: SnapshotChunk) -> None:
        """Collect a snapshot in chunks, install it when complete, and reply."""
        replica = self._replica
        async with replica.lock:
            if not await self._accept_leader(chunk.beat):
                beat = replica.follower_beat(chunk.beat)
                reply: AppendReply | SnapshotReply = AppendReply(beat, False, 0)
            else:
                installed = await self._collect(chunk)
                beat = replica.follower_beat(chunk.beat)
                reply = SnapshotReply(beat, chunk.index, len(self._partial))
                if installed:
                    reply = AppendReply(beat, True, chunk.index)
        await replica.context.link.send(sender, reply)

    async def vote(self, sender: str, request: VoteRequest) -> None:
        """Answer a vote request, once the vote is synced."""
        replica = self._replica
        async with replica.lock:
            granted = await self._grants(request)
            reply = VoteReply(
                replica.log.term, request.term, replica.me, request.pre_vote, granted
            )
        await replica.context.link.send(sender, reply)

    async def _accept_leader(self, beat: LeaderHeader) -> bool:
        replica = self._replica
        if beat.term < replica.log.term:
            return False
        if beat.term > replica.log.term:
            await replica.advance_term(beat.term)
        match replica.role:
            case LeaderState():
                known = replica.me
            case Following(leader=leader):
                known = leader or beat.leader
        if known != beat.leader:
            replica.context.violations.report(TwoLeaders(beat.term))
            return False
        replica.follow(beat)
        return True

    async def _store(self, message: AppendEntries) -> tuple[bool, int]:
        """Store the entries; return whether the log matches, and an index.

        The index is the last one that matches the leader's log or, after a mismatch,
        the last one that may match it.
        """
        replica, log = self._replica, self._replica.log
        previous, entries = message.previous_index, message.entries
        matched = previous + len(entries)
        if previous > log.last_index:
            return False, log.last_index
        if previous < log.base_index:
            # Entries in the snapshot are committed, so they equal the leader's.
            entries = entries[log.base_index - previous :]
        elif log.term_at(previous) != message.previous_term:
            if previous <= replica.commit_index:
                self._report_changed(previous)
            return False, log.first_of_term(previous) - 1
        for position, entry in enumerate(entries):
            if (
                entry.log_index <= log.last_index
                and log.entry(entry.log_index) == entry
            ):
                continue
            if entry.log_index <= replica.commit_index:
                self._report_changed(entry.log_index)
                return False, replica.commit_index
            await log.append(entries[position:])
            break
        await replica.commit_to(min(message.beat.commit, matched))
        return True, matched

    def _report_changed(self, index: int) -> None:
        self._replica.context.violations.report(CommittedEntryChanged(index))

    async def _collect(self, chunk: SnapshotChunk) -> bool:
        """Add a chunk; return whether the snapshot's entries are all present here."""
        if chunk.index <= self._replica.commit_index:
            return True
        leader_term = chunk.beat.leader, chunk.beat.term
        if self._partial_of is None or (
            (self._partial_of[0].leader, self._partial_of[0].term) != leader_term
            or self._partial_of[1] != chunk.index
        ):
            self._partial_of = chunk.beat, chunk.index
            self._partial = b""
        if chunk.offset == len(self._partial):
            self._partial += chunk.data
        if len(self._partial) < chunk.size:
            return False
        encoded, self._partial, self._partial_of = self._partial, b"", None
        match decode_snapshot(encoded):
            case Result(tag="ok", ok=snapshot):
                await self._install(snapshot)
                return True
        return False

    async def _install(self, snapshot: LogSnapshot) -> None:
        await self._replica.log.compact(snapshot)
        await self._applier.restore(snapshot)

    async def _grants(self, request: VoteRequest) -> bool:
        replica, log = self._replica, self._replica.log
        if not replica.context.durable or request.term < log.term:
            return False
        if not request.transfer and self._hears_leader():
            return False
        theirs = request.last_term, request.last_index
        up_to_date = theirs >= (log.last_term, log.last_index)
        if request.pre_vote:
            return up_to_date and request.term > log.term
        if request.term > log.term:
            await replica.advance_term(
                request.term, request.candidate if up_to_date else None
            )
        elif log.voted_for is None and up_to_date:
            await log.vote(request.term, request.candidate)
        granted = log.voted_for == request.candidate
        if granted:
            replica.heard_leader()
        return granted

    def _hears_leader(self) -> bool:
        """Return whether a leader's read lease may still run.

        This is the case within the minimum election timeout after its last message or,
        on the leader itself, after its last contact with a majority.
        """
        replica = self._replica
        now = replica.context.clock.monotonic_time()
        shortest = replica.context.settings.min_election_timeout
        match replica.role:
            case LeaderState() as leading:
                contact = replica.quorum_contact(leading, leading.since)
                return now - contact < shortest
        return now - replica.heard_at < shortest
