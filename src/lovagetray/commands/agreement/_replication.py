"""Replication of the log to peers, and the leader's commit index.

The leader sends its log to its peers. With hundreds of instances it does so only to
some of them, and these pass on the committed entries to the others, which do not vote.
"""

from datetime import timedelta

from lovagetray._log_entries import Entry, FollowerHeader, LeaderHeader, Voter
from lovagetray._peer_messages import (
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
)
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._roles import (
    FollowerState,
    LeaderState,
    PeerProgress,
)
from lovagetray.wire import compress_bytes, compress_entries

# Most peers lack the same entries, so that few compressed batches serve all of them.
_MAX_CACHED_BATCHES = 8


class Replication:
    """Replication tasks, one for each peer, and handlers of the replies."""

    def __init__(self, state: AgreementState) -> None:
        self._state = state
        # Compressed batches by term and by first and last index.
        self._compressed_batches: dict[tuple[int, int, int], bytes] = {}

    async def run_peer(self, name: str) -> None:
        """Replicate the log to one peer while this instance feeds it."""
        state = self._state
        context = state.context
        event = state.add_peer(name)
        while True:
            message = self._message_for(name)
            if message is None:
                state.passed_on.pop(name, None)
                state.idle_peers.add(name)
                await event.wait()
                state.idle_peers.discard(name)
            else:
                await context.transport.send(name, message)
                await context.clock.with_timeout(
                    self._heartbeat_interval(name), event.wait()
                )
            event.clear()

    def _message_for(self, name: str) -> AppendEntries | SnapshotChunk | None:
        """Return the next message for a peer; None if this instance feeds it not."""
        state = self._state
        feeds = state.context.feeds
        match state.role:
            case LeaderState() as leader_state if feeds(name, True):
                header = state.leader_header(leader_state, name)
                return self._next_message(
                    header, leader_state.progress(name), state.log.last_index
                )
            case FollowerState(leader=Voter() as leader) if feeds(name, False):
                progress = state.passed_on.setdefault(
                    name, PeerProgress(state.commit_index + 1)
                )
                header = state.header_passed_on(leader, progress)
                return self._next_message(header, progress, state.commit_index)
        return None

    def _heartbeat_interval(self, name: str) -> timedelta:
        state = self._state
        context = state.context
        settings = context.settings
        learner_heartbeat = settings.learner_heartbeat or settings.heartbeat
        match state.role:
            case LeaderState(elected_at=elected_at):
                age = context.clock.monotonic_time() - elected_at
                if age < settings.early_heartbeat_duration:
                    return settings.early_heartbeat
                if name in state.log.voters.names:
                    return settings.heartbeat
                return learner_heartbeat
            case _:
                progress = state.passed_on.get(name)
                if progress is None or progress.start_proved:
                    return learner_heartbeat
                # A peer that has just started serves only once its start is proved.
                return settings.heartbeat

    def _next_message(
        self, header: LeaderHeader, progress: PeerProgress, last_index: int
    ) -> AppendEntries | SnapshotChunk:
        """Return the next message for a peer.

        Parameters
        ----------
        last_index
            Index of the last entry that may be sent.
        """
        log, settings = self._state.log, self._state.context.settings
        # A late reply may name an index that this instance had as leader and has lost.
        progress.next_index = min(progress.next_index, last_index + 1)
        progress.sent_at = header.sent_at
        progress.start_proved = progress.start_proved or header.lease_stamp is not None
        if progress.next_index <= log.base_index:
            if progress.chunk_index < progress.next_index:
                progress.chunk_index, progress.chunk_offset = log.base_index, 0
                progress.chunk_compressed = (
                    progress.accepts_compressed
                    and len(log.encoded_snapshot) >= settings.min_compressed_bytes
                )
                progress.chunk_source = (
                    compress_bytes(log.encoded_snapshot)
                    if progress.chunk_compressed
                    else log.encoded_snapshot
                )
            source, start = progress.chunk_source, progress.chunk_offset
            data = source[start : start + settings.chunk_bytes]
            return SnapshotChunk(
                header,
                progress.chunk_index,
                start,
                len(source),
                data,
                progress.chunk_compressed,
            )
        progress.chunk_source = b""
        previous = progress.next_index - 1
        entries = tuple(
            entry
            for entry in log.entries_from(progress.next_index, settings.batch_bytes)
            if entry.log_index <= last_index
        )
        compressed = b""
        if sum(entry.size for entry in entries) >= settings.min_compressed_bytes:
            if progress.heard_at is None:
                # The first reply says what the peer lacks and whether it accepts
                # compressed entries.
                return AppendEntries(header, previous, log.term_at(previous), ())
            if progress.accepts_compressed:
                compressed = self._compress(entries)
        # The next batch is sent without waiting for a reply. The reply to the next
        # heartbeat shows if a batch was lost.
        progress.next_index += len(entries)
        if compressed:
            entries = ()
        return AppendEntries(
            header, previous, log.term_at(previous), entries, compressed
        )

    def _compress(self, entries: tuple[Entry, ...]) -> bytes:
        """Return the compressed form of a batch of the leader's log."""
        key = (self._state.log.term, entries[0].log_index, entries[-1].log_index)
        compressed = self._compressed_batches.get(key)
        if compressed is None:
            compressed = compress_entries(entries)
            if len(self._compressed_batches) >= _MAX_CACHED_BATCHES:
                del self._compressed_batches[next(iter(self._compressed_batches))]
            self._compressed_batches[key] = compressed
        return compressed

    async def handle_append_reply(self, sender: str, reply: AppendReply) -> None:
        """Record what a peer has synced and send it the entries that it lacks."""
        progress = await self._record_reply(sender, reply.beat)
        if progress is None:
            return
        state = self._state
        progress.accepts_compressed = reply.accepts_compressed
        if progress.chunk_compressed and not reply.accepts_compressed:
            # The peer was replaced by one of an earlier version.
            progress.chunk_index, progress.chunk_compressed = 0, False
        if reply.accepted:
            progress.next_index = max(progress.next_index, reply.index + 1)
            await self._record_synced(reply.beat.voter, reply.index)
        else:
            retry_index = min(progress.next_index, reply.index + 1)
            match_index = self._match_index(reply.beat.voter)
            progress.next_index = max(retry_index, match_index + 1)
        more = progress.next_index <= self._last_index_to_send()
        # After a refusal, resend at once only if the reply is to the newest message.
        # Otherwise every heartbeat would start one more exchange with a peer that keeps
        # refusing.
        if more and (reply.accepted or reply.beat.echoed_sent_at == progress.sent_at):
            await state.wake_peer(sender)

    async def handle_snapshot_reply(self, sender: str, reply: SnapshotReply) -> None:
        """Record what a peer has received of a snapshot and send it the next chunk."""
        progress = await self._record_reply(sender, reply.beat)
        if progress is None or progress.chunk_index != reply.index:
            return
        if reply.offset > progress.chunk_offset:
            progress.chunk_offset = reply.offset
            await self._state.wake_peer(sender)
        elif reply.beat.echoed_sent_at == progress.sent_at:
            # The peer restarted and lost chunks; the next heartbeat resends them.
            progress.chunk_offset = reply.offset

    async def advance_commit(self) -> None:
        """Commit the entries that a majority of voters has synced."""
        state = self._state
        match state.role:
            case LeaderState() as leader_state:
                index = state.majority_index(leader_state)
                if index > state.commit_index and state.may_commit(index):
                    await state.commit_to(index)
                    await state.wake_peers()

    def _last_index_to_send(self) -> int:
        state = self._state
        match state.role:
            case LeaderState():
                return state.log.last_index
            case _:
                return state.commit_index

    def _match_index(self, voter: Voter) -> int:
        """Return the last index that a peer is known to have synced."""
        match self._state.role:
            case LeaderState(match_index=match_index):
                return match_index.get(voter, 0)
        return 0

    async def _record_synced(self, voter: Voter, index: int) -> None:
        match self._state.role:
            case LeaderState(match_index=match_index):
                match_index[voter] = max(match_index.get(voter, 0), index)
                await self.advance_commit()

    async def _record_reply(
        self, sender: str, header: FollowerHeader
    ) -> PeerProgress | None:
        """Record a reply; return the progress of a peer that this instance feeds.

        Returns
        -------
        PeerProgress or None
            None if the reply is of another term, or the peer is fed by another one.
        """
        state = self._state
        if header.term > state.log.term:
            async with state.lock:
                if header.term > state.log.term:
                    await state.advance_term(header.term)
        if header.term != state.log.term:
            return None
        progress: PeerProgress | None
        match state.role:
            case LeaderState() as leader_state:
                progress = leader_state.progress(sender)
                _record_contact(leader_state, header)
            case _:
                progress = state.passed_on.get(sender)
        if progress is None:
            return None
        if progress.voter not in (None, header.voter):
            # The peer restarted with an empty disk or memory, under a new identity.
            progress.next_index = self._match_index(header.voter) + 1
            progress.chunk_index = 0
            progress.start_proved = False
        progress.voter = header.voter
        progress.durable = header.durable
        progress.applied_index = header.applied
        now = state.context.clock.monotonic_time()
        progress.heard_at = now
        progress.stamps.append((now, header.stamp))
        return progress


def _record_contact(leader_state: LeaderState, header: FollowerHeader) -> None:
    """Record which message of the leader a voter or learner has answered last."""
    if header.echoed_sent_at is not None:
        last_contact = leader_state.last_contact.get(
            header.voter, leader_state.elected_at
        )
        leader_state.last_contact[header.voter] = max(
            last_contact, header.echoed_sent_at
        )
