"""Parsing and formatting of the values of settings in the form for operators."""

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

# In characters; an export or import of the largest tree must fit into one HTTP request
# body of 256 KiB.
MAX_VALUE_LENGTH = 32

_MILLISECOND = timedelta(milliseconds=1)
_MILLISECONDS_PER_UNIT = {"h": 3_600_000, "min": 60_000, "s": 1_000, "ms": 1}
_duration_pattern = compile_pattern(r"([0-9]+)(?:\.([0-9]{1,3}))?([a-z]*)")
_percentage_pattern = compile_pattern(r"[0-9]{1,9}(\.[0-9]{1,3})?")
_count_pattern = compile_pattern(r"[0-9]+")
_FLAGS = {"yes": True, "no": False}

_MakeProblem = Callable[[ProblemCode, str], TreeProblem]


def parse_value(path: str, key: SettingKey, text: str) -> Result[Value, TreeProblem]:
    """Return the value that `text` stands for, or its problem.

    Parameters
    ----------
    path
        Branch that sets the value, for the problem.
    """

    def make_problem(code: ProblemCode, expected: str) -> TreeProblem:
        return TreeProblem(code, path, key.name, text, expected)

    if len(text) > MAX_VALUE_LENGTH:
        expected = f"at most {MAX_VALUE_LENGTH} characters"
        return Error(make_problem(ProblemCode.TOO_LARGE, expected))
    expected = describe_kind(key.kind)
    match key.kind:
        case Duration(low=low, high=high):
            return _parse_duration(text, low, high, make_problem)
        case Percentage(low=low, high=high):
            if _percentage_pattern.fullmatch(text) is None:
                return Error(make_problem(ProblemCode.WRONG_TYPE, expected))
            percentage = float(text)
            if not low <= percentage <= high:
                return Error(make_problem(ProblemCode.OUT_OF_RANGE, expected))
            return Ok(percentage)
        case Count(low=low, high=high):
            if _count_pattern.fullmatch(text) is None:
                return Error(make_problem(ProblemCode.WRONG_TYPE, expected))
            count = int(text)
            if not low <= count <= high:
                return Error(make_problem(ProblemCode.OUT_OF_RANGE, expected))
            return Ok(count)
        case Flag():
            if text not in _FLAGS:
                return Error(make_problem(ProblemCode.WRONG_TYPE, expected))
            return Ok(_FLAGS[text])
        case Choice(words=words):
            if text not in words:
                return Error(make_problem(ProblemCode.WRONG_TYPE, expected))
            return Ok(text)


def format_value(kind: Kind, value: Value) -> str:
    """Return the shortest text that `parse_value` parses as `value`."""
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
    """Return a description of the accepted values, for messages and pages."""
    match kind:
        case Duration(low=low, high=high):
            return (
                "a duration with a unit (ms, s, min, h) "
                f"from {_format_duration(low)} to {_format_duration(high)}"
            )
        case Percentage(low=low, high=high):
            return f"a number of percent from {low:g} to {high:g}"
        case Count(low=low, high=high):
            return f"a whole number from {low} to {high}"
        case Flag():
            return "yes or no"
        case Choice(words=words):
            return f"one of {', '.join(words)}"


def _parse_duration(
    text: str, low: timedelta, high: timedelta, make_problem: _MakeProblem
) -> Result[Value, TreeProblem]:
    expected = describe_kind(Duration(low, high))
    matched = _duration_pattern.fullmatch(text)
    if matched is None:
        return Error(make_problem(ProblemCode.WRONG_TYPE, expected))
    whole, fraction, unit = matched[1], matched[2] or "", matched[3]
    if unit not in _MILLISECONDS_PER_UNIT:
        return Error(make_problem(ProblemCode.WRONG_UNIT, expected))
    # In thousandths of a millisecond, because integers are exact; with floats, 0.29s
    # would be rounded to 290.0000001 ms.
    thousandths = int(whole + fraction.ljust(3, "0")) * _MILLISECONDS_PER_UNIT[unit]
    if thousandths % 1000:
        expected = "a whole number of milliseconds"
        return Error(make_problem(ProblemCode.WRONG_TYPE, expected))
    milliseconds = thousandths // 1000
    if not low // _MILLISECOND <= milliseconds <= high // _MILLISECOND:
        return Error(make_problem(ProblemCode.OUT_OF_RANGE, expected))
    return Ok(milliseconds * _MILLISECOND)


def _format_duration(value: timedelta) -> str:
    milliseconds = value // _MILLISECOND
    for unit, size in _MILLISECONDS_PER_UNIT.items():
        if milliseconds and milliseconds % size == 0:
            return f"{milliseconds // size}{unit}"
    return f"{milliseconds}ms"
