"""Interface of the replicated log that commands use."""

from typing import Protocol

from expression import Result

from lovagetray._errors import Failure
from lovagetray._log_entries import Proposal


class Proposer(Protocol):
    """The replicated log, as commands propose entries to it."""

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        """Return the encoded outcome once the entry is committed and applied.

        Unless `proves_not_run` is true for a failure, the entry may still be committed;
        a resend with the same request id returns its outcome.
        """
