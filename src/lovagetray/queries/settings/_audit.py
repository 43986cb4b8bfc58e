"""Returns pages of the audit trail."""

from typing import NamedTuple

from lovagetray.state import Audit, AuditAnchor, AuditEntry, AuditFault, verify_chain


class AuditPage(NamedTuple):
    """Entries of the audit trail, newest first, and faults of their hash chain."""

    entries: tuple[AuditEntry, ...]
    faults: tuple[AuditFault, ...]


def audit_page(audit: Audit, before: int, limit: int) -> AuditPage:
    """Return up to `limit` entries with sequence numbers below `before`.

    The hash chain of the page is verified from the entry before its oldest one, so
    consecutive pages verify the whole trail. Hashing all 5,000 entries for each page
    would delay the searches of this instance.
    """
    kept = audit.entries
    end = sum(1 for entry in kept if entry.sequence < before)
    start = max(0, end - limit)
    anchor = audit.anchor
    if start:
        anchor = AuditAnchor(kept[start - 1].sequence, kept[start - 1].hash)
    page = kept[start:end]
    return AuditPage(tuple(reversed(page)), verify_chain(anchor, page))
