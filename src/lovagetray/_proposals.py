"""What commands need from the replicated log."""

from datetime import datetime
from typing import NamedTuple, Protocol

from expression import Result

from lovagetray._errors import Failure


class Proposal(NamedTuple):
    """An entry that should be appended to the replicated log.

    Parameters
    ----------
    request_id
        A resend with the same id yields the first outcome and no second entry.
    at
        The UTC time of the instance that proposes; it becomes the time of the entry.
    body
        The encoded command; the log does not look into it.
    """

    request_id: str
    at: datetime
    body: bytes


class Proposer(Protocol):
    """Appends entries to the replicated log."""

    async def propose(self, proposal: Proposal) -> Result[bytes, Failure]:
        """Return the encoded outcome once the entry is committed and applied.

        A failure that does not prove "not run" leaves open whether the entry will be
        committed; a resend with the same request id finds out.
        """
