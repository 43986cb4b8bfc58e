"""Random settings trees compared with plain models."""

from datetime import timedelta
from typing import Any

from behave import then
from behave.runner import Context
from fakes.settings_harness import START
from hypothesis import given as given_random, settings, strategies

from lovagetray._violations import Violations
from lovagetray.state import (
    SETTING_KEYS,
    ChangeSettings,
    Choice,
    Count,
    Duration,
    Flag,
    ImportTree,
    Origin,
    Percentage,
    RollBack,
    SettingsState,
    SettingsTree,
    SetValue,
    UnsetValue,
    format_value,
    parse_value,
)
from lovagetray.wire import (
    decode_settings_command,
    decode_settings_outcome,
    decode_settings_snapshot,
    encode_settings_command,
    encode_settings_outcome,
    encode_settings_snapshot,
    format_ini,
    parse_ini,
)

_ORIGIN = Origin("aino", "::1", "r", "f")
_RUN = settings(max_examples=150, derandomize=True, database=None, deadline=None)
_MILLISECOND = timedelta(milliseconds=1)


def _value_of(kind: Any) -> Any:
    match kind:
        case Duration(low=low, high=high):
            whole = strategies.integers(low // _MILLISECOND, high // _MILLISECOND)
            return whole.map(lambda count: count * _MILLISECOND)
        case Percentage(low=least, high=most):
            whole = strategies.integers(int(least * 1000), int(most * 1000))
            return whole.map(lambda thousandths: thousandths / 1000)
        case Count(low=fewest, high=highest):
            return strategies.integers(fewest, highest)
        case Flag():
            return strategies.booleans()
        case Choice(words=words):
            return strategies.sampled_from(words)


_paths = strategies.lists(strategies.sampled_from(["a", "b", "a-1"]), max_size=3).map(
    lambda names: "/" + "/".join(names)
)
_settings = strategies.sampled_from(list(SETTING_KEYS.values())).flatmap(
    lambda key: strategies.tuples(strategies.just(key.name), _value_of(key.kind))
)
_texts = _settings.map(
    lambda pair: (pair[0], format_value(SETTING_KEYS[pair[0]].kind, pair[1]))
)
_set_values = strategies.builds(
    lambda path, pair: SetValue(path, *pair), _paths, _texts
)
_unset_values = strategies.builds(
    UnsetValue, _paths, strategies.sampled_from(list(SETTING_KEYS))
)
_changes = strategies.lists(
    strategies.one_of(_set_values, _set_values, _unset_values), max_size=12
).map(tuple)
_branches = strategies.dictionaries(
    _paths, strategies.dictionaries(_texts, strategies.none()).map(dict), max_size=6
).map(lambda found: {path: dict(texts) for path, texts in found.items() if texts})


@then("values, history and encodings of random trees agree with plain models")
def check_random(context: Context) -> None:
    check_values()
    check_inheritance()
    check_ini()
    check_history()


@_RUN
@given_random(_settings)
def check_values(pair: Any) -> None:
    """Every value in range is read back from its text."""
    key = SETTING_KEYS[pair[0]]
    assert parse_value("/", key, format_value(key.kind, pair[1])).ok == pair[1], pair


@_RUN
@given_random(_changes, _paths)
def check_inheritance(changes: Any, path: str) -> None:
    """A value is that of the longest path that is a prefix, by whole names."""
    model: dict[tuple[str, ...], dict[str, str]] = {}
    for change in changes:
        branch = model.setdefault(tuple(change.path.split("/")[1:]), {})
        branch.pop(change.key, None)
        if isinstance(change, SetValue):
            branch[change.key] = change.text
    tree = SettingsTree().changed_by(changes, 1)
    names = tuple(path.split("/")[1:])
    for key, known in SETTING_KEYS.items():
        expected, length = known.default, -1
        for branch_names, texts in model.items():
            depth = len([name for name in branch_names if name])
            if branch_names[:depth] == names[:depth] and depth > length:
                if key in texts:
                    expected, length = texts[key], depth
        assert tree.value(path, key) == parse_value("/", known, expected).ok
        assert tree.text(path, key) == tree.explain(path, key).text


@_RUN
@given_random(_changes)
def check_ini(changes: Any) -> None:
    """An export read by an import yields the same tree."""
    tree = SettingsTree().changed_by(changes, 1)
    branches = parse_ini(format_ini(tree.branches)).ok
    assert SettingsTree(1, branches).branches == tree.branches


@_RUN
@given_random(strategies.lists(_changes, min_size=1, max_size=6), strategies.data())
def check_history(requests: Any, data: Any) -> None:
    """Each kept tree is rebuilt as it was, and every encoding is reversible."""
    state = SettingsState(Violations(), kept_revisions=4)
    trees = {0: state.tree.branches}
    for number, changes in enumerate(requests):
        index, base = 3 * number + 1, state.tree.revision
        command = data.draw(
            strategies.sampled_from(
                [
                    ChangeSettings(_ORIGIN, base, changes),
                    RollBack(_ORIGIN, base, max(trees)),
                    ImportTree(_ORIGIN, base, {"/a": {"hedge.budget": "1"}}),
                    ChangeSettings(_ORIGIN, base + 1, changes),
                ]
            )
        )
        assert decode_settings_command(encode_settings_command(command)).ok == command
        outcome = state.apply(index, START, command)
        assert decode_settings_outcome(encode_settings_outcome(outcome)).ok == outcome
        trees[state.tree.revision] = state.tree.branches
    snapshot = state.snapshot()
    assert decode_settings_snapshot(encode_settings_snapshot(snapshot)).ok == snapshot
    for revision in sorted(trees)[-5:]:
        assert state.tree_at(revision).ok.branches == trees[revision]
    assert len(state.history) <= 4 and state.audit.verify() == ()
