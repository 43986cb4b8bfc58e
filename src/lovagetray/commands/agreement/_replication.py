"""Replication of the leader's log to its peers, and its commit index."""

from datetime import timedelta

from lovagetray._log_entries import Entry, FollowerHeader
from lovagetray._peer_messages import (
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
)
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._roles import LeaderState, PeerProgress
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
        """Replicate the log to one peer while this instance leads."""
        state = self._state
        context = state.context
        event = state.add_peer(name)
        while True:
            match state.role:
                case LeaderState() as leader_state:
                    message = self._next_message(leader_state, name)
                    await context.transport.send(name, message)
                    await context.clock.with_timeout(
                        self._heartbeat_interval(leader_state, name), event.wait()
                    )
                case _:
                    await event.wait()
            event.clear()

    def _heartbeat_interval(self, leader_state: LeaderState, name: str) -> timedelta:
        context = self._state.context
        settings = context.settings
        if (
            context.clock.monotonic_time() - leader_state.elected_at
            < settings.early_heartbeat_duration
        ):
            return settings.early_heartbeat
        if name in self._state.log.voters.names:
            return settings.heartbeat
        return settings.learner_heartbeat or settings.heartbeat

    def _next_message(
        self, leader_state: LeaderState, name: str
    ) -> AppendEntries | SnapshotChunk:
        log, settings = self._state.log, self._state.context.settings
        progress = leader_state.progress(name)
        header = self._state.leader_header(leader_state, name)
        progress.sent_at = header.sent_at
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
        entries = log.entries_from(progress.next_index, settings.batch_bytes)
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
        leader_state = await self._leader_state_for(sender, reply.beat)
        if leader_state is None:
            return
        progress = leader_state.progress(sender)
        progress.accepts_compressed = reply.accepts_compressed
        if progress.chunk_compressed and not reply.accepts_compressed:
            # The peer was replaced by one of an earlier version.
            progress.chunk_index, progress.chunk_compressed = 0, False
        voter = reply.beat.voter
        if reply.accepted:
            leader_state.match_index[voter] = max(
                leader_state.match_index.get(voter, 0), reply.index
            )
            progress.next_index = max(progress.next_index, reply.index + 1)
            await self.advance_commit()
        else:
            match_index = leader_state.match_index.get(voter, 0)
            retry_index = min(progress.next_index, reply.index + 1)
            progress.next_index = max(retry_index, match_index + 1)
        more = progress.next_index <= self._state.log.last_index
        # After a refusal, resend at once only if the reply is to the newest message.
        # Otherwise every heartbeat would start one more exchange with a peer that keeps
        # refusing.
        if more and (reply.accepted or reply.beat.echoed_sent_at == progress.sent_at):
            await self._state.wake_peer(sender)

    async def handle_snapshot_reply(self, sender: str, reply: SnapshotReply) -> None:
        """Record what a peer has received of a snapshot and send it the next chunk."""
        leader_state = await self._leader_state_for(sender, reply.beat)
        if leader_state is None:
            return
        progress = leader_state.progress(sender)
        if progress.chunk_index != reply.index:
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

    async def _leader_state_for(
        self, sender: str, header: FollowerHeader
    ) -> LeaderState | None:
        """Record a reply; return the leader's state if the reply is of its term."""
        state = self._state
        if header.term > state.log.term:
            async with state.lock:
                if header.term > state.log.term:
                    await state.advance_term(header.term)
        match state.role:
            case LeaderState() as leader_state if header.term == state.log.term:
                self._record_reply(leader_state, leader_state.progress(sender), header)
                return leader_state
        return None

    def _record_reply(
        self, leader_state: LeaderState, progress: PeerProgress, header: FollowerHeader
    ) -> None:
        if progress.voter not in (None, header.voter):
            # The peer restarted with an empty disk or memory, under a new identity.
            progress.next_index = leader_state.match_index.get(header.voter, 0) + 1
            progress.chunk_index = 0
        progress.voter = header.voter
        progress.durable = header.durable
        progress.applied_index = header.applied
        now = self._state.context.clock.monotonic_time()
        progress.heard_at = now
        progress.stamps.append((now, header.stamp))
        if header.echoed_sent_at is not None:
            last_contact = leader_state.last_contact.get(
                header.voter, leader_state.elected_at
            )
            leader_state.last_contact[header.voter] = max(
                last_contact, header.echoed_sent_at
            )
