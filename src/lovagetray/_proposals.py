"""What commands need from the replicated log."""

from typing import Protocol

from expression import Result

from lovagetray._errors import Failure
from lovagetray._log_entries import Proposal


class Proposer(Protocol):
    """Appends entries to the replicated log."""

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        """Return the encoded outcome once the entry is committed and applied.

        A failure that does not prove "not run" leaves open whether the entry will be
        committed; a resend with the same request id finds out.
        """
