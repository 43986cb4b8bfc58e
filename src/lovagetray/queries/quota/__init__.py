"""Admission of requests of workspaces that have a quota."""

from lovagetray.queries.quota._admission import (
    AdmitOnDebt,
    AwaitGrant,
    QuotaDecision,
    RefuseOverQuota,
    decide_admission,
    return_spacing,
)
