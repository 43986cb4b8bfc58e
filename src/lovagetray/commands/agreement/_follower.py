"""Handling of the leader's messages and of vote requests."""

from expression import Result
from structlog import get_logger

from lovagetray._log_entries import Entry, LeaderHeader, LogSnapshot
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
from lovagetray.commands.agreement._roles import FollowerState, LeaderState
from lovagetray.wire import decode_snapshot, decompress_bytes, decompress_entries

_log = get_logger()


class Follower:
    """Handlers of the leader's messages and of vote requests, for the inbox task."""

    def __init__(self, state: AgreementState, applier: Applier) -> None:
        self._state = state
        self._applier = applier
        self._partial_snapshot = b""
        self._partial_source: tuple[LeaderHeader, int] | None = None

    async def handle_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Store entries from a leader and reply."""
        state = self._state
        entries = message.entries
        if message.compressed:
            match decompress_entries(message.compressed):
                case Result(tag="ok", ok=decompressed):
                    entries = decompressed
                case Result(error=failure):
                    _log.warning("log_entries_unreadable", reason=str(failure))
        async with state.lock:
            accepted, index = False, 0
            commit_index = state.commit_index
            if await self._accept_leader(message.beat, sender):
                accepted, index = await self._store_entries(message, entries)
            header = state.follower_header(message.beat)
        if state.commit_index > commit_index:
            await state.wake_passed_on()
        reply = AppendReply(header, accepted, index, accepts_compressed=True)
        await state.context.transport.send(sender, reply)

    async def handle_snapshot_chunk(self, sender: str, chunk: SnapshotChunk) -> None:
        """Add a chunk of a snapshot, install the snapshot once complete, and reply."""
        state = self._state
        async with state.lock:
            if not await self._accept_leader(chunk.beat, sender):
                header = state.follower_header(chunk.beat)
                reply: AppendReply | SnapshotReply = AppendReply(
                    header, False, 0, accepts_compressed=True
                )
            else:
                installed = await self._collect_chunk(chunk)
                header = state.follower_header(chunk.beat)
                reply = SnapshotReply(header, chunk.index, len(self._partial_snapshot))
                if installed:
                    reply = AppendReply(
                        header, True, chunk.index, accepts_compressed=True
                    )
        await state.context.transport.send(sender, reply)

    async def handle_vote_request(self, sender: str, request: VoteRequest) -> None:
        """Answer a vote request, once the vote is synced."""
        state = self._state
        async with state.lock:
            granted = await self._grant_vote(request)
            reply = VoteReply(
                state.log.term,
                request.term,
                state.voter,
                request.pre_vote,
                granted,
                state.live,
            )
        await state.context.transport.send(sender, reply)

    async def _accept_leader(self, header: LeaderHeader, sender: str) -> bool:
        state = self._state
        if header.term < state.log.term:
            return False
        if header.term > state.log.term:
            await state.advance_term(header.term)
        match state.role:
            case LeaderState():
                known_leader = state.voter
            case FollowerState(leader=leader):
                known_leader = leader or header.leader
        if known_leader != header.leader:
            state.context.violations.report(TwoLeaders(header.term))
            return False
        state.follow_leader(header, sender)
        return True

    async def _store_entries(
        self, message: AppendEntries, entries: tuple[Entry, ...]
    ) -> tuple[bool, int]:
        """Store the entries; return whether the log matches, and an index.

        The index is the last one that matches the leader's log or, after a mismatch,
        the last one that may match it.
        """
        state, log = self._state, self._state.log
        previous = message.previous_index
        matched = previous + len(entries)
        if previous > log.last_index:
            return False, log.last_index
        if previous < log.base_index:
            # Entries in the snapshot are committed, so they equal the leader's.
            entries = entries[log.base_index - previous :]
        elif log.term_at(previous) != message.previous_term:
            if previous <= state.commit_index:
                self._report_committed_change(previous)
            return False, log.first_index_of_term(previous) - 1
        for position, entry in enumerate(entries):
            if (
                entry.log_index <= log.last_index
                and log.entry(entry.log_index) == entry
            ):
                continue
            if entry.log_index <= state.commit_index:
                self._report_committed_change(entry.log_index)
                return False, state.commit_index
            await log.append(entries[position:])
            break
        await state.commit_to(min(message.beat.commit, matched))
        return True, matched

    def _report_committed_change(self, index: int) -> None:
        self._state.context.violations.report(CommittedEntryChanged(index))

    async def _collect_chunk(self, chunk: SnapshotChunk) -> bool:
        """Add a chunk; return whether the snapshot's entries are all present here."""
        if chunk.index <= self._state.commit_index:
            return True
        leader_term = chunk.beat.leader, chunk.beat.term
        if self._partial_source is None or (
            (self._partial_source[0].leader, self._partial_source[0].term)
            != leader_term
            or self._partial_source[1] != chunk.index
        ):
            self._partial_source = chunk.beat, chunk.index
            self._partial_snapshot = b""
        if chunk.offset == len(self._partial_snapshot):
            self._partial_snapshot += chunk.data
        if len(self._partial_snapshot) < chunk.size:
            return False
        encoded, self._partial_snapshot, self._partial_source = (
            self._partial_snapshot,
            b"",
            None,
        )
        if chunk.compressed:
            encoded = decompress_bytes(encoded).default_value(b"")
        match decode_snapshot(encoded):
            case Result(tag="ok", ok=snapshot):
                await self._install_snapshot(snapshot)
                return True
            case Result(error=failure):
                _log.warning("log_snapshot_unreadable", reason=str(failure))
        return False

    async def _install_snapshot(self, snapshot: LogSnapshot) -> None:
        await self._state.log.compact(snapshot)
        await self._applier.restore(snapshot)

    async def _grant_vote(self, request: VoteRequest) -> bool:
        state, log = self._state, self._state.log
        if not state.context.durable or request.term < log.term:
            return False
        if not request.transfer and self._read_lease_possible():
            return False
        candidate_position = request.last_term, request.last_index
        up_to_date = candidate_position >= (log.last_term, log.last_index)
        if not up_to_date:
            state.outranks_candidate = True
        if request.pre_vote:
            return up_to_date and request.term > log.term
        if request.term > log.term:
            await state.advance_term(
                request.term, request.candidate if up_to_date else None
            )
        elif log.voted_for is None and up_to_date:
            await log.vote(request.term, request.candidate)
        granted = log.voted_for == request.candidate
        if granted:
            state.restart_election_timeout()
        return granted

    def _read_lease_possible(self) -> bool:
        """Return whether the read lease of a leader may still be valid.

        A read lease lasts less than the minimum election timeout, counted here from the
        leader's last message or, on the leader, from its last contact with a majority.
        """
        state = self._state
        now = state.context.clock.monotonic_time()
        min_timeout = state.context.settings.min_election_timeout
        match state.role:
            case LeaderState() as leader_state:
                contact = state.quorum_contact(leader_state, leader_state.elected_at)
                return now - contact < min_timeout
        return now - state.heard_at < min_timeout
