"""Status of the replicated log."""

from lovagetray.queries.agreement._status import (
    AgreementStatus,
    AgreementView,
    status_of,
)
