"""Replication of the leader's log, and the advance of its commit index."""

from datetime import timedelta

from lovagetray._log_entries import FollowerHeader
from lovagetray._peer_messages import (
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
)
from lovagetray.commands.agreement._agreement_state import AgreementState
from lovagetray.commands.agreement._roles import LeaderState, PeerProgress


class Replication:
    """Replication tasks, one for each peer, and handling of the replies."""

    def __init__(self, replica: AgreementState) -> None:
        self._replica = replica

    async def run_peer(self, name: str) -> None:
        """Replicate the log to one peer while this instance leads."""
        replica = self._replica
        context = replica.context
        signal = replica.add_peer(name)
        while True:
            match replica.role:
                case LeaderState() as leading:
                    message = self._next_message(leading, name)
                    await context.link.send(name, message)
                    await context.clock.with_timeout(
                        self._heartbeat(leading, name), signal.wait()
                    )
                case _:
                    await signal.wait()
            signal.clear()

    def _heartbeat(self, leading: LeaderState, name: str) -> timedelta:
        context = self._replica.context
        settings = context.settings
        if (
            context.clock.monotonic_time() - leading.since
            < settings.early_heartbeat_duration
        ):
            return settings.early_heartbeat
        if name in self._replica.log.voters.names:
            return settings.heartbeat
        return settings.learner_heartbeat or settings.heartbeat

    def _next_message(
        self, leading: LeaderState, name: str
    ) -> AppendEntries | SnapshotChunk:
        log, settings = self._replica.log, self._replica.context.settings
        progress = leading.progress(name)
        beat = self._replica.leader_header(leading, name)
        progress.sent_at = beat.sent_at
        if progress.next_index <= log.base_index:
            if progress.chunk_index < progress.next_index:
                progress.chunk_index, progress.chunk_offset = log.base_index, 0
                progress.chunk_source = log.encoded_snapshot
            source, start = progress.chunk_source, progress.chunk_offset
            part = source[start : start + settings.chunk_bytes]
            return SnapshotChunk(beat, progress.chunk_index, start, len(source), part)
        progress.chunk_source = b""
        previous = progress.next_index - 1
        entries = log.entries_from(progress.next_index, settings.batch_bytes)
        # The next batch is sent without waiting for a reply. The reply to the next
        # heartbeat shows if a batch was lost.
        progress.next_index += len(entries)
        return AppendEntries(beat, previous, log.term_at(previous), entries)

    async def appended(self, sender: str, reply: AppendReply) -> None:
        """Record what a peer has synced and send it the entries that it lacks."""
        leading = await self._progress_of(sender, reply.beat)
        if leading is None:
            return
        progress = leading.progress(sender)
        voter = reply.beat.voter
        if reply.accepted:
            leading.matched[voter] = max(leading.matched.get(voter, 0), reply.index)
            progress.next_index = max(progress.next_index, reply.index + 1)
            await self.advance_commit()
        else:
            matched = leading.matched.get(voter, 0)
            retry = min(progress.next_index, reply.index + 1)
            progress.next_index = max(retry, matched + 1)
        more = progress.next_index <= self._replica.log.last_index
        # After a refusal, resend at once only if the reply is to the newest message.
        # Otherwise every heartbeat would start one more exchange with a peer that keeps
        # refusing.
        if more and (reply.accepted or reply.beat.echoed_sent_at == progress.sent_at):
            await self._replica.wake_peer(sender)

    async def collected(self, sender: str, reply: SnapshotReply) -> None:
        """Send the next chunk of a snapshot."""
        leading = await self._progress_of(sender, reply.beat)
        if leading is None:
            return
        progress = leading.progress(sender)
        if progress.chunk_index != reply.index:
            return
        if reply.offset > progress.chunk_offset:
            progress.chunk_offset = reply.offset
            await self._replica.wake_peer(sender)
        elif reply.beat.echoed_sent_at == progress.sent_at:
            # The peer restarted and lost chunks; the next heartbeat resumes there.
            progress.chunk_offset = reply.offset

    async def advance_commit(self) -> None:
        """Commit the entries that a majority of voters has synced."""
        replica = self._replica
        match replica.role:
            case LeaderState() as leading:
                index = replica.majority_index(leading)
                if index > replica.commit_index and replica.may_commit(index):
                    await replica.commit_to(index)
                    await replica.wake_peers()

    async def _progress_of(
        self, sender: str, beat: FollowerHeader
    ) -> LeaderState | None:
        """Record a reply; return the leader's state if the reply is of its term."""
        replica = self._replica
        if beat.term > replica.log.term:
            async with replica.lock:
                if beat.term > replica.log.term:
                    await replica.advance_term(beat.term)
        match replica.role:
            case LeaderState() as leading if beat.term == replica.log.term:
                self._record(leading, leading.progress(sender), beat)
                return leading
        return None

    def _record(
        self, leading: LeaderState, progress: PeerProgress, beat: FollowerHeader
    ) -> None:
        if progress.voter not in (None, beat.voter):
            # The peer restarted with an empty disk or memory, under a new identity.
            progress.next_index = leading.matched.get(beat.voter, 0) + 1
            progress.chunk_index = 0
        progress.voter = beat.voter
        progress.durable = beat.durable
        progress.applied = beat.applied
        now = self._replica.context.clock.monotonic_time()
        progress.heard_at = now
        progress.stamps.append((now, beat.stamp))
        if beat.echoed_sent_at is not None:
            contacted = leading.contacted.get(beat.voter, leading.since)
            leading.contacted[beat.voter] = max(contacted, beat.echoed_sent_at)
