"""Combinations of settings that cannot hold together."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lovagetray.state._setting_keys import Value

Lookup = Callable[[str], Value]

# A query may cost its targets at most half as much again as it would without extras.
MAX_EXTRA_SHARE = 50.0

# A stopping instance serves callers for one lifetime after it withdraws. Peers hand out
# its address until they hear of the stop, which takes up to 1.5 s (the silence after
# which an instance counts as gone), and a caller may need the same time to connect.
MIN_STOP_TIME = timedelta(seconds=3)


class CombinationCheck(NamedTuple):
    """A rule over several keys.

    Parameters
    ----------
    holds
        Tells from the values in force at a branch whether the rule holds there.
    """

    keys: tuple[str, ...]
    expected: str
    holds: Callable[[Lookup], bool]


def _number(value: Value) -> float:
    match value:
        case float() | int():
            return float(value)
        case _:
            raise TypeError(f"{value!r} is not a number")


def _duration(value: Value) -> timedelta:
    match value:
        case timedelta():
            return value
        case _:
            raise TypeError(f"{value!r} is not a duration")


def _extra_load(value: Lookup) -> bool:
    extra = _number(value("hedge.budget")) + _number(value("retry.budget"))
    return extra <= MAX_EXTRA_SHARE


def _stop_time(value: Lookup) -> bool:
    return _duration(value("addresses.lifetime")) >= MIN_STOP_TIME


def _orphan_outlives_search(value: Lookup) -> bool:
    return _duration(value("ownership.orphan_limit")) >= _duration(
        value("search.deadline")
    )


def _retention_outlives_orphan(value: Lookup) -> bool:
    return _duration(value("effects.retention")) > _duration(
        value("ownership.orphan_limit")
    )


def _complete_needs_retry(value: Lookup) -> bool:
    return not value("search.require_complete") or _number(value("retry.budget")) > 0


COMBINATION_CHECKS: tuple[CombinationCheck, ...] = (
    CombinationCheck(
        ("hedge.budget", "retry.budget"),
        f"a sum of at most {MAX_EXTRA_SHARE:g} percent",
        _extra_load,
    ),
    CombinationCheck(
        ("addresses.lifetime",),
        "at least 3s, which a stop needs to withdraw an address",
        _stop_time,
    ),
    CombinationCheck(
        ("ownership.orphan_limit", "search.deadline"),
        "an orphan limit at least as long as the deadline, because a replica serves "
        "its former owner's searches until then",
        _orphan_outlives_search,
    ),
    CombinationCheck(
        ("effects.retention", "ownership.orphan_limit"),
        "a retention longer than the orphan limit, because a former owner may run "
        "requests until then",
        _retention_outlives_orphan,
    ),
    CombinationCheck(
        ("search.require_complete", "retry.budget"),
        "a retry budget above 0, because without retries one lost replica refuses "
        "every answer that must be complete",
        _complete_needs_retry,
    ),
)
