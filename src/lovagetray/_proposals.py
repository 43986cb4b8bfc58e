"""Interface of the replicated log to commands."""

from typing import Protocol

from expression import Result

from lovagetray._errors import Failure
from lovagetray._log_entries import Proposal


class Proposer(Protocol):
    """Appends entries to the replicated log."""

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        """Return the encoded outcome once the entry is committed and applied.

        If a failure does not prove that the change was not run, the entry may still be
        committed; a resend with the same request id returns its outcome.
        """
