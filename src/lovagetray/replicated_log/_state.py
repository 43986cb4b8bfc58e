"""State machine of the replicated log: settings, ledger, routing, evacuations."""

from datetime import datetime
from enum import Enum

from expression import Result
from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, encode
from structlog import get_logger

from lovagetray._errors import Failure
from lovagetray._log_entries import Proposal
from lovagetray._proposals import Proposer
from lovagetray.state import (
    ChangeRetention,
    Evacuations,
    Ledger,
    RoutingState,
    SettingsState,
)
from lovagetray.wire import (
    decode_evacuation_order,
    decode_evacuation_snapshot,
    decode_ledger_command,
    decode_ledger_snapshot,
    decode_settings_command,
    decode_settings_snapshot,
    encode_evacuation_outcome,
    encode_evacuation_snapshot,
    encode_ledger_reply,
    encode_ledger_snapshot,
    encode_settings_outcome,
    encode_settings_snapshot,
)

_log = get_logger()
_RETENTION_KEY = "effects.retention"
# Of variable length, because a snapshot may lack the part of the routing or that of the
# evacuations. Instances of earlier versions ignore parts after those that they know.
_snapshot_decoder = Decoder(tuple[bytes, ...])


class StateNamespace(Enum):
    """Part of the replicated state that an entry changes; first byte of its body."""

    SETTINGS = b"S"
    LEDGER = b"L"
    ROUTING = b"R"
    EVACUATIONS = b"E"
    # Has no effect; logs of earlier versions contain such entries.
    BARRIER = b"B"


class ReplicatedState:
    """Settings, ledger, routing and evacuations as one deterministic state machine.

    Parameters
    ----------
    routing, evacuations
        None on instances that do not route requests.
    """

    def __init__(
        self,
        settings: SettingsState,
        ledger: Ledger,
        routing: RoutingState | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._settings = settings
        self._ledger = ledger
        self._routing = routing
        self._evacuations = evacuations

    def apply(self, index: int, at: datetime, body: bytes) -> bytes:
        """Apply one committed entry and return its encoded outcome."""
        content = body[1:]
        match body[:1]:
            case b"S":
                return self._apply_settings(index, at, content)
            case b"L":
                return self._apply_ledger(at, content)
            case b"R" if self._routing is not None:
                return str(self._routing.apply(content)).encode()
            case b"E" if self._evacuations is not None:
                return self._apply_evacuation(index, content, self._evacuations)
            case b"B":
                return str(index).encode()
            case _:
                _log.error("log_entry_unreadable", index=index)
                return b""

    def snapshot(self) -> bytes:
        """Return the complete encoded state; without evacuations it has three parts."""
        parts = [
            encode_settings_snapshot(self._settings.snapshot()),
            encode_ledger_snapshot(self._ledger.snapshot()),
            b"" if self._routing is None else self._routing.snapshot(),
        ]
        if self._evacuations is not None and self._evacuations.names:
            parts.append(encode_evacuation_snapshot(self._evacuations.snapshot()))
        return encode(parts)

    def restore(self, state: bytes) -> None:
        """Replace the state with one from `snapshot`; an empty one changes nothing."""
        if not state:
            return
        try:
            settings, ledger, *further = _snapshot_decoder.decode(state)
        except (DecodeError, ValidationError, ValueError, RecursionError):
            _log.error("state_snapshot_unreadable")
            return
        match decode_settings_snapshot(settings):
            case Result(tag="ok", ok=settings_snapshot):
                self._settings.restore(settings_snapshot)
            case Result(error=unreadable):
                _log.error("state_snapshot_unreadable", reason=str(unreadable))
        match decode_ledger_snapshot(ledger):
            case Result(tag="ok", ok=ledger_snapshot):
                self._ledger.restore(ledger_snapshot)
            case Result(error=malformed):
                _log.error("state_snapshot_unreadable", reason=str(malformed))
        if self._routing is not None and further:
            self._routing.restore(further[0])
        if self._evacuations is not None:
            # A snapshot without this part is one of a state without evacuations.
            encoded = further[1] if len(further) > 1 else b""
            match decode_evacuation_snapshot(encoded):
                case Result(tag="ok", ok=names):
                    self._evacuations.restore(names)
                case Result(error=unreadable):
                    _log.error("state_snapshot_unreadable", reason=str(unreadable))

    def _apply_settings(self, index: int, at: datetime, content: bytes) -> bytes:
        match decode_settings_command(content):
            case Result(tag="ok", ok=command):
                outcome = self._settings.apply(index, at, command)
                retention = self._settings.tree.duration("/", _RETENTION_KEY)
                self._ledger.apply(at, ChangeRetention(retention))
                return encode_settings_outcome(outcome)
            case Result(error=failure):
                _log.error("log_entry_unreadable", index=index, reason=str(failure))
                return b""

    def _apply_ledger(self, at: datetime, content: bytes) -> bytes:
        match decode_ledger_command(content):
            case Result(tag="ok", ok=command):
                return encode_ledger_reply(self._ledger.apply(at, command))
            case Result(error=failure):
                _log.error("log_entry_unreadable", reason=str(failure))
                return b""

    def _apply_evacuation(
        self, index: int, content: bytes, evacuations: Evacuations
    ) -> bytes:
        match decode_evacuation_order(content):
            case Result(tag="ok", ok=order):
                return encode_evacuation_outcome(evacuations.apply(order))
            case Result(error=failure):
                _log.error("log_entry_unreadable", index=index, reason=str(failure))
                return b""


class NamespaceProposer:
    """Proposer of entries for one namespace of the replicated state."""

    def __init__(self, proposer: Proposer, namespace: StateNamespace) -> None:
        self._proposer = proposer
        self._namespace = namespace

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        """Return the encoded outcome once the entry is committed and applied."""
        body = self._namespace.value + proposal.body
        return await self._proposer.propose(proposal._replace(body=body))
