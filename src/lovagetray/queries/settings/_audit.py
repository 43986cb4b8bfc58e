"""Pages of the audit trail."""

from itertools import islice
from typing import NamedTuple

from lovagetray.state import Audit, AuditEntry, AuditFault


class AuditPage(NamedTuple):
    """Some entries of the audit trail, the newest first, and faults of its chain."""

    entries: tuple[AuditEntry, ...]
    faults: tuple[AuditFault, ...]


def audit_page(audit: Audit, before: int, limit: int) -> AuditPage:
    """Return up to `limit` entries with sequence numbers below `before`."""
    chosen = (entry for entry in reversed(audit.entries) if entry.sequence < before)
    return AuditPage(tuple(islice(chosen, limit)), audit.verify())
