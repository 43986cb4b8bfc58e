"""Keys of the settings tree: type, unit, range and default of each."""

from datetime import timedelta

from msgspec import Struct


class Duration(Struct, frozen=True):
    """A duration, written with a unit: ``150ms``, ``3s``, ``10min``, ``24h``."""

    low: timedelta
    high: timedelta


class Percentage(Struct, frozen=True):
    """A percentage, written as a number without ``%``: ``5`` or ``2.5``."""

    low: float
    high: float


class Count(Struct, frozen=True):
    """A whole number."""

    low: int
    high: int


class Flag(Struct, frozen=True):
    """A boolean, written ``yes`` or ``no``."""


class Choice(Struct, frozen=True):
    """One of several fixed words."""

    words: tuple[str, ...]


Kind = Duration | Percentage | Count | Flag | Choice
Value = timedelta | float | int | bool | str


class SettingKey(Struct, frozen=True):
    """A key of the settings tree.

    Parameters
    ----------
    name
        Section and key, joined with a dot.
    default
        Value in force if no branch sets one, as an operator would write it.
    meaning
        Description for operators.
    """

    name: str
    kind: Kind
    default: str
    meaning: str


def _milliseconds(low: int, high: int) -> Duration:
    return Duration(timedelta(milliseconds=low), timedelta(milliseconds=high))


SETTING_KEYS: dict[str, SettingKey] = {
    key.name: key
    for key in (
        SettingKey(
            "search.deadline",
            _milliseconds(1, 60_000),
            "330ms",
            "Time limit of a search whose caller names none.",
        ),
        SettingKey(
            "search.require_complete",
            Flag(),
            "no",
            "Whether an answer with missing shards is refused.",
        ),
        SettingKey(
            "search.policy",
            Choice(("cost", "least_in_flight", "random")),
            # With hedges, the cost policy is no better than this simpler one.
            "least_in_flight",
            "How the replica of a shard is chosen.",
        ),
        SettingKey(
            "hedge.budget",
            Percentage(0, 20),
            "5",
            "Hedged sub-requests allowed, in percent of all sub-requests.",
        ),
        SettingKey(
            "hedge.percentile",
            Percentage(50, 99.9),
            "95",
            "Percentile of recent latency after which a sub-request is hedged.",
        ),
        SettingKey(
            "retry.budget",
            Percentage(0, 50),
            "10",
            "Retried sub-requests allowed, in percent of all sub-requests.",
        ),
        SettingKey(
            "admission.queries",
            Count(1, 10_000),
            "64",
            "Queries of a service that one instance runs at once.",
        ),
        SettingKey(
            "addresses.lifetime",
            _milliseconds(1_000, 300_000),
            "10s",
            "How long a caller may keep a list of addresses.",
        ),
        SettingKey(
            "target.lifetime",
            _milliseconds(1_000, 3_000),
            "3s",
            "How long an announcement counts after it was heard.",
        ),
        SettingKey(
            "target.ramp",
            _milliseconds(0, 600_000),
            "10s",
            "Time over which a target that started cold gets all of its slots.",
        ),
        SettingKey(
            "target.idle_check",
            _milliseconds(100, 60_000),
            "5s",
            "Idle time after which a connection is checked before it is used.",
        ),
        SettingKey(
            "effects.retention",
            _milliseconds(60_000, 30 * 86_400_000),
            "24h",
            "How long the outcome of a non-idempotent request is kept.",
        ),
        SettingKey(
            "ownership.orphan_limit",
            _milliseconds(10_000, 3_600_000),
            "10min",
            "How long an owner without a lease goes on with one connection.",
        ),
    )
}
