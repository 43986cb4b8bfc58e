"""Checks of a routing document before it is sent to the instances.

Designed for 10,000 workspaces and as many routes: the time is linear in the size of the
documents, except for sorting.
"""

from datetime import timedelta
from typing import NamedTuple

from lovagetray._routing_types import RoutingDocument
from lovagetray.queries.configuration._contradictions import find_contradictions
from lovagetray.queries.configuration._differences import find_differences
from lovagetray.queries.configuration._findings import (
    ConfigurationError,
    Contradiction,
    Difference,
    InvalidEntry,
    UnmatchedEntry,
)
from lovagetray.queries.configuration._unmatched import find_unmatched
from lovagetray.state import document_problems


class Expectations(NamedTuple):
    """What the document is checked against and does not state itself.

    Parameters
    ----------
    quota_window
        Length of the window in which quotas hold.
    replicas
        Number of replicas of each service; None if it is not known.
    """

    quota_window: timedelta = timedelta(seconds=5)
    replicas: int | None = None


class ConfigurationReport(NamedTuple):
    """All findings about a routing document.

    Parameters
    ----------
    errors
        Reasons why instances refuse the document.
    unmatched
        Entries that no request can use.
    contradictions
        Limits that contradict each other.
    differences
        Differences from the document in force.
    """

    errors: tuple[ConfigurationError, ...] = ()
    unmatched: tuple[UnmatchedEntry, ...] = ()
    contradictions: tuple[Contradiction, ...] = ()
    differences: tuple[Difference, ...] = ()


def check_configuration(
    document: RoutingDocument,
    in_force: RoutingDocument | None,
    expectations: Expectations,
) -> ConfigurationReport:
    """Return the findings about a document.

    Parameters
    ----------
    in_force
        The document to compare with; None if there is none.
    """
    return ConfigurationReport(
        tuple(InvalidEntry(problem) for problem in document_problems(document)),
        tuple(find_unmatched(document)),
        tuple(
            find_contradictions(
                document, expectations.quota_window, expectations.replicas
            )
        ),
        () if in_force is None else tuple(find_differences(in_force, document)),
    )
