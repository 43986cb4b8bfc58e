"""A single copy of the state, against which every instance is compared."""

import time
from datetime import datetime
from hashlib import blake2b

from expression import Result
from msgspec.msgpack import decode, encode

from lovagetray._errors import Failure, proves_not_run
from lovagetray._log_entries import Proposal, Voter
from lovagetray._peer_messages import AgreementMessage, AppendEntries, SnapshotChunk

# A lease of 2 s on a clock that is 2% slow, and one step of the watch.
_LONGEST_LEASE = 2.1


class Model:
    """What was applied, accepted and refused anywhere, and what contradicts it."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.highest = 0
        self.accepted: dict[str, tuple[bytes, bytes]] = {}
        self._possible: set[bytes] = set()
        self._refused: set[bytes] = set()
        self._states: dict[int, tuple[int, bytes]] = {0: (0, b"")}
        self._bodies: dict[bytes, int] = {}
        self._leaders: dict[int, Voter] = {}
        self._listed: dict[str, float] = {}
        self._newest_term = 0
        self._newest_since = 0.0

    def saw_message(self, sender: str, message: AgreementMessage) -> None:
        """Check that each term has one leader."""
        match message:
            case AppendEntries(beat=beat) | SnapshotChunk(beat=beat):
                known = self._leaders.setdefault(beat.term, beat.leader)
                if known != beat.leader:
                    self.report(f"two leaders in term {beat.term}")
                self.listed(beat.term, beat.live)

    def listed(self, term: int, live: tuple[str, ...]) -> None:
        """Note which instances the leader of the newest term counts as live."""
        now = time.monotonic()
        if term > self._newest_term:
            self._newest_term, self._newest_since = term, now
        if term == self._newest_term:
            self._listed.update(dict.fromkeys(live, now))

    @property
    def terms(self) -> int:
        """How many terms had a leader."""
        return len(self._leaders)

    def applied(self, index: int, body: bytes, state: tuple[int, bytes]) -> None:
        """Check that every instance applies the same at an index, each body once."""
        if self._states.setdefault(index, state) != state:
            self.report(f"instances differ at index {index}")
        if self._bodies.setdefault(body, index) != index:
            self.report(f"{body!r} was applied twice")
        self.highest = max(self.highest, index)

    def restored(self, index: int, state: tuple[int, bytes]) -> None:
        """Check that a snapshot holds a state that was applied."""
        if self._states.get(index) != state:
            self.report(f"the snapshot at index {index} differs")

    def read(self, name: str, index: int) -> None:
        """Check that a read that claims to be current holds every applied change."""
        if index < self.highest:
            self.report(f"{name} read index {index} after {self.highest} was applied")

    def started(self, name: str, index: int, before: int) -> None:
        """Check that an instance that claims it holds all changes from before does."""
        if index < before:
            self.report(f"{name} claims index {before} and has applied {index}")

    def leased(self, name: str) -> None:
        """Check that a lease ends in time after the newest leader stopped listing it.

        A lease of an older leader may run until the newest one has led for a lease.
        """
        listed = max(self._listed.get(name, 0.0), self._newest_since)
        if time.monotonic() - listed > _LONGEST_LEASE:
            self.report(f"{name} holds a lease that the newest leader did not give")

    def outcome(self, proposal: Proposal, result: Result[bytes, Failure]) -> None:
        """Check an outcome against earlier ones of the same request id."""
        match result:
            case Result(tag="ok", ok=reply):
                first = self.accepted.setdefault(
                    proposal.request_id, (proposal.body, reply)
                )
                if first != (proposal.body, reply):
                    self.report(f"{proposal.request_id} has two outcomes")
                if proposal.body not in self._bodies:
                    self.report(f"{proposal.request_id} was accepted and not applied")
            case Result(error=failure) if proves_not_run(failure):
                self._refused.add(proposal.body)
            case _:
                self._possible.add(proposal.body)

    def finish(self) -> None:
        """Check that nothing accepted was lost and nothing refused was applied."""
        for request_id, (body, _) in self.accepted.items():
            if body not in self._bodies:
                self.report(f"{request_id} was lost")
        known = self._possible | {body for body, _ in self.accepted.values()}
        for body in sorted(self._refused - known):
            if body in self._bodies:
                self.report(f"{body!r} was refused as not run and applied")

    def report(self, problem: str) -> None:
        """Record one contradiction, once."""
        if problem not in self.problems:
            self.problems.append(problem)


class ChainMachine:
    """A state machine whose state depends on every change and their order."""

    def __init__(self, model: Model) -> None:
        self._model = model
        self._index = 0
        self._count = 0
        self._chain = b""

    @property
    def state(self) -> tuple[int, bytes]:
        return self._count, self._chain

    def apply(self, index: int, at: datetime, body: bytes) -> bytes:
        self._index = index
        self._count += 1
        self._chain = blake2b(self._chain + body, digest_size=16).digest()
        self._model.applied(index, body, self.state)
        return b"%d:%s" % (self._count, self._chain[:4].hex().encode())

    def snapshot(self) -> bytes:
        return encode([self._index, self._count, self._chain])

    def restore(self, state: bytes) -> None:
        self._index, self._count, self._chain = decode(state)
        self._model.restored(self._index, self.state)
