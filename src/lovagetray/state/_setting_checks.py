"""Checks that the values of several settings fit together."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lovagetray.state._setting_keys import Value

Lookup = Callable[[str], Value]

# Hedges and retries may add at most half to the load of a query on its targets.
MAX_EXTRA_PERCENT = 50.0

# A stopping instance serves callers for one lifetime after it withdraws its address.
# Peers return the address until they hear of the stop, which takes up to 1.5 s (the
# failure timeout), and a caller may need the same time to connect.
MIN_ADDRESS_LIFETIME = timedelta(seconds=3)


class CombinationCheck(NamedTuple):
    """A rule about the values of one or more keys.

    Parameters
    ----------
    expected
        Description of the accepted values.
    holds
        Returns whether the rule holds, given the look-up of the values at a branch.
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


def _extra_load_is_limited(value: Lookup) -> bool:
    extra = _number(value("hedge.budget")) + _number(value("retry.budget"))
    return extra <= MAX_EXTRA_PERCENT


def _lifetime_covers_stop(value: Lookup) -> bool:
    return _duration(value("addresses.lifetime")) >= MIN_ADDRESS_LIFETIME


def _orphan_limit_covers_deadline(value: Lookup) -> bool:
    return _duration(value("ownership.orphan_limit")) >= _duration(
        value("search.deadline")
    )


def _retention_exceeds_orphan_limit(value: Lookup) -> bool:
    return _duration(value("effects.retention")) > _duration(
        value("ownership.orphan_limit")
    )


def _complete_answers_have_retries(value: Lookup) -> bool:
    return not value("search.require_complete") or _number(value("retry.budget")) > 0


COMBINATION_CHECKS: tuple[CombinationCheck, ...] = (
    CombinationCheck(
        ("hedge.budget", "retry.budget"),
        f"a sum of at most {MAX_EXTRA_PERCENT:g} percent",
        _extra_load_is_limited,
    ),
    CombinationCheck(
        ("addresses.lifetime",),
        "at least 3s, which a stop needs to withdraw an address",
        _lifetime_covers_stop,
    ),
    CombinationCheck(
        ("ownership.orphan_limit", "search.deadline"),
        "an orphan limit at least as long as the deadline, because a replica serves "
        "its former owner's searches until then",
        _orphan_limit_covers_deadline,
    ),
    CombinationCheck(
        ("effects.retention", "ownership.orphan_limit"),
        "a retention longer than the orphan limit, because a former owner may run "
        "requests until then",
        _retention_exceeds_orphan_limit,
    ),
    CombinationCheck(
        ("search.require_complete", "retry.budget"),
        "a retry budget above 0, because without retries one lost replica refuses "
        "every answer that must be complete",
        _complete_answers_have_retries,
    ),
)
