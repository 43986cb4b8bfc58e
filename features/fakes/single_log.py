"""Fake replicated log of one process, which commits each proposal at once."""

from collections.abc import Callable
from datetime import datetime

from expression import Ok, Result

from lovagetray._errors import Failure
from lovagetray._log_entries import Proposal
from lovagetray.state import SettingsState
from lovagetray.wire import decode_settings_command, encode_settings_outcome

Apply = Callable[[int, datetime, bytes], bytes]


class SingleLog:
    """Log that applies each proposal once and keeps its outcome by request id.

    Parameters
    ----------
    apply
        Called with the index, time and body of each new entry; returns the outcome.
    """

    def __init__(self, apply: Apply) -> None:
        self._apply = apply
        self._outcomes: dict[str, bytes] = {}
        self.index = 0

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        if proposal.request_id not in self._outcomes:
            self.index += 1
            outcome = self._apply(self.index, proposal.at, proposal.body)
            self._outcomes[proposal.request_id] = outcome
        return Ok(self._outcomes[proposal.request_id])


def settings_applier(state: SettingsState) -> Apply:
    """Return a function that applies encoded settings commands to a state."""

    def apply(index: int, at: datetime, body: bytes) -> bytes:
        command = decode_settings_command(body).ok
        return encode_settings_outcome(state.apply(index, at, command))

    return apply
