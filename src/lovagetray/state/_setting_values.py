"""Reads and writes the values of settings as an operator writes them."""

from collections.abc import Callable
from datetime import timedelta
from re import compile as compile_pattern

from expression import Error, Ok, Result

from lovagetray._settings_errors import ProblemCode, TreeProblem
from lovagetray.state._setting_keys import (
    Choice,
    Count,
    Duration,
    Flag,
    Kind,
    Percentage,
    SettingKey,
    Value,
)

# Export, import and one HTTP request body of 256 KiB bound the text of a value.
MAX_VALUE_LENGTH = 32

_MILLISECOND = timedelta(milliseconds=1)
_UNITS = {"h": 3_600_000, "min": 60_000, "s": 1_000, "ms": 1}
_duration_pattern = compile_pattern(r"([0-9]+)(?:\.([0-9]{1,3}))?([a-z]*)")
_share_pattern = compile_pattern(r"[0-9]{1,9}(\.[0-9]{1,3})?")
_count_pattern = compile_pattern(r"[0-9]+")
_FLAGS = {"yes": True, "no": False}

Refuse = Callable[[ProblemCode, str], TreeProblem]


def parse_value(path: str, key: SettingKey, text: str) -> Result[Value, TreeProblem]:
    """Return the value that `text` stands for, or what is wrong with it."""

    def refuse(code: ProblemCode, expected: str) -> TreeProblem:
        return TreeProblem(code, path, key.name, text, expected)

    if len(text) > MAX_VALUE_LENGTH:
        expected = f"at most {MAX_VALUE_LENGTH} characters"
        return Error(refuse(ProblemCode.TOO_LARGE, expected))
    expected = describe_kind(key.kind)
    match key.kind:
        case Duration(low=low, high=high):
            return _parse_duration(text, low, high, refuse)
        case Percentage(low=least, high=most):
            if _share_pattern.fullmatch(text) is None:
                return Error(refuse(ProblemCode.WRONG_TYPE, expected))
            share = float(text)
            if not least <= share <= most:
                return Error(refuse(ProblemCode.OUT_OF_RANGE, expected))
            return Ok(share)
        case Count(low=fewest, high=highest):
            if _count_pattern.fullmatch(text) is None:
                return Error(refuse(ProblemCode.WRONG_TYPE, expected))
            count = int(text)
            if not fewest <= count <= highest:
                return Error(refuse(ProblemCode.OUT_OF_RANGE, expected))
            return Ok(count)
        case Flag():
            if text not in _FLAGS:
                return Error(refuse(ProblemCode.WRONG_TYPE, expected))
            return Ok(_FLAGS[text])
        case Choice(words=words):
            if text not in words:
                return Error(refuse(ProblemCode.WRONG_TYPE, expected))
            return Ok(text)


def format_value(kind: Kind, value: Value) -> str:
    """Return the shortest text that `parse_value` reads as `value`."""
    match kind, value:
        case Duration(), timedelta():
            return _format_duration(value)
        case Percentage(), float():
            return f"{value:.3f}".rstrip("0").rstrip(".")
        case Flag(), bool():
            return "yes" if value else "no"
        case _:
            return str(value)


def describe_kind(kind: Kind) -> str:
    """Return what values of a kind look like, for messages and pages."""
    match kind:
        case Duration(low=low, high=high):
            return (
                "a duration with a unit (ms, s, min, h) "
                f"from {_format_duration(low)} to {_format_duration(high)}"
            )
        case Percentage(low=least, high=most):
            return f"a number of percent from {least:g} to {most:g}"
        case Count(low=fewest, high=highest):
            return f"a whole number from {fewest} to {highest}"
        case Flag():
            return "yes or no"
        case Choice(words=words):
            return f"one of {', '.join(words)}"


def _parse_duration(
    text: str, low: timedelta, high: timedelta, refuse: Refuse
) -> Result[Value, TreeProblem]:
    expected = describe_kind(Duration(low, high))
    found = _duration_pattern.fullmatch(text)
    if found is None:
        return Error(refuse(ProblemCode.WRONG_TYPE, expected))
    whole, fraction, unit = found[1], found[2] or "", found[3]
    if unit not in _UNITS:
        return Error(refuse(ProblemCode.WRONG_UNIT, expected))
    # Thousandths are exact as integers; floats would round 0.29s to 290.0000001 ms.
    thousandths = int(whole + fraction.ljust(3, "0")) * _UNITS[unit]
    if thousandths % 1000:
        expected = "a whole number of milliseconds"
        return Error(refuse(ProblemCode.WRONG_TYPE, expected))
    milliseconds = thousandths // 1000
    if not low // _MILLISECOND <= milliseconds <= high // _MILLISECOND:
        return Error(refuse(ProblemCode.OUT_OF_RANGE, expected))
    return Ok(milliseconds * _MILLISECOND)


def _format_duration(value: timedelta) -> str:
    milliseconds = value // _MILLISECOND
    for unit, size in _UNITS.items():
        if milliseconds and milliseconds % size == 0:
            return f"{milliseconds // size}{unit}"
    return f"{milliseconds}ms"
