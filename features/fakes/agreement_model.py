"""Reference model of the replicated log: one copy of the state."""

import time
from collections import deque
from datetime import datetime, timedelta
from hashlib import blake2b

from expression import Result
from msgspec.msgpack import decode, encode

from lovagetray._errors import Failure, proves_not_run
from lovagetray._log_entries import Proposal, Voter
from lovagetray._peer_messages import AgreementMessage, AppendEntries, SnapshotChunk

# Seconds: a lease of 2 s on a clock that is 2% slow, and the interval of the checks.
_MAX_LEASE_TIME = 2.1
# Seconds: a leader takes an instance off its list after 1.5 s without a reply, and the
# lease runs from a reply. The clocks differ by 4%, and replies take up to 0.1 s here.
_MAX_UNLISTED_LEASE_TIME = 0.7
# The clocks of instances run up to 2% fast or slow; no rate beyond that is simulated.
_CLOCK_DRIFT = 1.05
# Seconds after which a change is no longer kept for checks.
_MAX_CHECKED_AGE = 20.0


class Model:
    """Record of what instances applied, accepted and refused, and of contradictions."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.highest_index = 0
        self.accepted: dict[str, tuple[bytes, bytes]] = {}
        self._may_be_applied: set[bytes] = set()
        self._refused: set[bytes] = set()
        self._states: dict[int, tuple[int, bytes]] = {0: (0, b"")}
        self._index_by_body: dict[bytes, int] = {}
        self._leaders: dict[int, Voter] = {}
        self._listed_at: dict[str, float] = {}
        # When each index was applied first, the oldest one first.
        self._applied_times: deque[tuple[float, int]] = deque()
        self._newest_term = 0
        self._newest_since = 0.0
        # The last list of the newest leader, and when it took off each name.
        self._list_of_newest: tuple[int, frozenset[str]] = 0, frozenset()
        self._taken_off_at: dict[str, float] = {}

    def check_message(self, sender: str, message: AgreementMessage) -> None:
        """Check that each term has at most one leader."""
        match message:
            case AppendEntries(beat=header) | SnapshotChunk(beat=header):
                known = self._leaders.setdefault(header.term, header.leader)
                if known != header.leader:
                    self.report(f"two leaders in term {header.term}")
                self.record_live(header.term, header.live)

    def record_live(self, term: int, live: tuple[str, ...]) -> None:
        """Record when the newest leader last listed each instance as live."""
        now = time.monotonic()
        if term > self._newest_term:
            self._newest_term, self._newest_since = term, now
        if term == self._newest_term:
            self._listed_at.update(dict.fromkeys(live, now))

    def record_list(self, term: int, live: tuple[str, ...]) -> None:
        """Record the list that the newest leader itself has, and what left it."""
        self.record_live(term, live)
        known_term, known = self._list_of_newest
        if term < known_term:
            return
        if term == known_term:
            for name in known.difference(live):
                self._taken_off_at[name] = time.monotonic()
        self._list_of_newest = term, frozenset(live)

    @property
    def terms(self) -> int:
        """Number of terms that had a leader."""
        return len(self._leaders)

    def check_applied(self, index: int, body: bytes, state: tuple[int, bytes]) -> None:
        """Check that instances agree at an index and that no body is applied twice."""
        if self._states.setdefault(index, state) != state:
            self.report(f"instances differ at index {index}")
        if self._index_by_body.setdefault(body, index) != index:
            self.report(f"{body!r} was applied twice")
        if index > self.highest_index:
            self._applied_times.append((time.monotonic(), index))
        self.highest_index = max(self.highest_index, index)

    def check_restored(self, index: int, state: tuple[int, bytes]) -> None:
        """Check that a restored state is the one that was applied at its index."""
        if self._states.get(index) != state:
            self.report(f"the snapshot at index {index} differs")

    def check_read(self, name: str, index: int) -> None:
        """Check that a linearizable read sees every change that was applied before."""
        if index < self.highest_index:
            self.report(
                f"{name} read index {index} after {self.highest_index} was applied"
            )

    def check_caught_up(self, name: str, index: int, before: int) -> None:
        """Check that an instance that has caught up has applied index `before`."""
        if index < before:
            self.report(f"{name} claims index {before} and has applied {index}")

    def check_confirmed(self, name: str, index: int, age: timedelta) -> None:
        """Check that an instance has applied all that was accepted `age` ago.

        Parameters
        ----------
        age
            On the clock of the instance; it counts as longer, by the drift of clocks.
        """
        until = time.monotonic() - age.total_seconds() * _CLOCK_DRIFT
        while (
            self._applied_times
            and time.monotonic() - self._applied_times[0][0] > _MAX_CHECKED_AGE
        ):
            self._applied_times.popleft()
        for at, applied in self._applied_times:
            if at > until:
                break
            if applied > index:
                self.report(
                    f"{name} has applied {index} and claims all changes until"
                    f" {until:.3f}, when {applied} was applied"
                )
                return

    def check_lease(self, name: str) -> None:
        """Check that a lease is not too old for the newest leader.

        A lease ends one lease duration after the newest leader last listed its holder,
        and soon after that leader took it off its list. A lease of an older leader may
        run until the newest one has led for one lease duration.
        """
        now = time.monotonic()
        if now - self._newest_since <= _MAX_LEASE_TIME:
            return
        term, listed = self._list_of_newest
        taken_off_at = self._taken_off_at.get(name, now)
        if now - self._listed_at.get(name, 0.0) > _MAX_LEASE_TIME or (
            term == self._newest_term
            and name not in listed
            # A message may have listed it again since the list was last recorded.
            and self._listed_at.get(name, 0.0) <= taken_off_at
            and now - taken_off_at > _MAX_UNLISTED_LEASE_TIME
        ):
            self.report(f"{name} holds a lease that the newest leader did not give")

    def check_outcome(self, proposal: Proposal, result: Result[bytes, Failure]) -> None:
        """Check an outcome against earlier outcomes of the same request id."""
        match result:
            case Result(tag="ok", ok=reply):
                first = self.accepted.setdefault(
                    proposal.request_id, (proposal.body, reply)
                )
                if first != (proposal.body, reply):
                    self.report(f"{proposal.request_id} has two outcomes")
                if proposal.body not in self._index_by_body:
                    self.report(f"{proposal.request_id} was accepted and not applied")
            case Result(error=failure) if proves_not_run(failure):
                self._refused.add(proposal.body)
            case _:
                self._may_be_applied.add(proposal.body)

    def check_end(self) -> None:
        """Check that nothing accepted was lost and nothing refused was applied."""
        for request_id, (body, _) in self.accepted.items():
            if body not in self._index_by_body:
                self.report(f"{request_id} was lost")
        known = self._may_be_applied | {body for body, _ in self.accepted.values()}
        for body in sorted(self._refused - known):
            if body in self._index_by_body:
                self.report(f"{body!r} was refused as not run and applied")

    def report(self, problem: str) -> None:
        """Record a contradiction unless it is already recorded."""
        if problem not in self.problems:
            self.problems.append(problem)


class HashChainMachine:
    """State machine whose state is a hash over all changes in their order."""

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
        self._model.check_applied(index, body, self.state)
        return b"%d:%s" % (self._count, self._chain[:4].hex().encode())

    def snapshot(self) -> bytes:
        return encode([self._index, self._count, self._chain])

    def restore(self, state: bytes) -> None:
        self._index, self._count, self._chain = decode(state)
        self._model.check_restored(self._index, self.state)
