"""Queries about the settings tree, its history and the audit trail."""

from lovagetray.queries.settings._audit import AuditPage, audit_page
from lovagetray.queries.settings._dry_run import DryRun, EffectiveValueChange, dry_run
from lovagetray.queries.settings._explain import explain
from lovagetray.queries.settings._history import diff, history
from lovagetray.queries.settings._known_paths import announced_paths
from lovagetray.queries.settings._show import BranchValues, EffectiveValue, get, show
