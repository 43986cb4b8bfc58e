"""Quotas of workspaces: reports of use, and the leader's answers to them."""

from lovagetray.commands.quota._confirmer import QuotaConfirmer
from lovagetray.commands.quota._reporter import Admission, QuotaReporter
