"""Steps that compare random settings trees with reference models."""

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
_RUN_SETTINGS = settings(
    max_examples=150, derandomize=True, database=None, deadline=None
)
_MILLISECOND = timedelta(milliseconds=1)


def _values_of(kind: Any) -> Any:
    """Return a strategy for the valid values of a kind."""
    match kind:
        case Duration(low=low, high=high):
            milliseconds = strategies.integers(
                low // _MILLISECOND, high // _MILLISECOND
            )
            return milliseconds.map(lambda count: count * _MILLISECOND)
        case Percentage(low=low, high=high):
            thousandths = strategies.integers(int(low * 1000), int(high * 1000))
            return thousandths.map(lambda count: count / 1000)
        case Count(low=low, high=high):
            return strategies.integers(low, high)
        case Flag():
            return strategies.booleans()
        case Choice(words=words):
            return strategies.sampled_from(words)


_paths = strategies.lists(strategies.sampled_from(["a", "b", "a-1"]), max_size=3).map(
    lambda names: "/" + "/".join(names)
)
_keys_with_values = strategies.sampled_from(list(SETTING_KEYS.values())).flatmap(
    lambda key: strategies.tuples(strategies.just(key.name), _values_of(key.kind))
)
_keys_with_texts = _keys_with_values.map(
    lambda pair: (pair[0], format_value(SETTING_KEYS[pair[0]].kind, pair[1]))
)
_set_values = strategies.builds(
    lambda path, pair: SetValue(path, *pair), _paths, _keys_with_texts
)
_unset_values = strategies.builds(
    UnsetValue, _paths, strategies.sampled_from(list(SETTING_KEYS))
)
_changes = strategies.lists(
    strategies.one_of(_set_values, _set_values, _unset_values), max_size=12
).map(tuple)
_branches = strategies.dictionaries(
    _paths,
    strategies.dictionaries(_keys_with_texts, strategies.none()).map(dict),
    max_size=6,
).map(lambda branches: {path: dict(texts) for path, texts in branches.items() if texts})


@then("values, history and encodings of random trees agree with reference models")
def check_random(context: Context) -> None:
    _check_values()
    _check_inheritance()
    _check_ini()
    _check_history()


@_RUN_SETTINGS
@given_random(_keys_with_values)
def _check_values(pair: Any) -> None:
    """Check that every value in range is read back from its text."""
    key = SETTING_KEYS[pair[0]]
    assert parse_value("/", key, format_value(key.kind, pair[1])).ok == pair[1], pair


@_RUN_SETTINGS
@given_random(_changes, _paths)
def _check_inheritance(changes: Any, path: str) -> None:
    """Check that a path gets each value from its longest prefix, by whole names."""
    model: dict[tuple[str, ...], dict[str, str]] = {}
    for change in changes:
        branch = model.setdefault(tuple(change.path.split("/")[1:]), {})
        branch.pop(change.key, None)
        if isinstance(change, SetValue):
            branch[change.key] = change.text
    tree = SettingsTree().changed_by(changes, 1)
    names = tuple(path.split("/")[1:])
    for key, definition in SETTING_KEYS.items():
        expected, length = definition.default, -1
        for branch_names, texts in model.items():
            depth = len([name for name in branch_names if name])
            if branch_names[:depth] == names[:depth] and depth > length:
                if key in texts:
                    expected, length = texts[key], depth
        assert tree.value(path, key) == parse_value("/", definition, expected).ok
        assert tree.text(path, key) == tree.explain(path, key).text


@_RUN_SETTINGS
@given_random(_changes)
def _check_ini(changes: Any) -> None:
    """Check that the import of an export yields the same tree."""
    tree = SettingsTree().changed_by(changes, 1)
    branches = parse_ini(format_ini(tree.branches)).ok
    assert SettingsTree(1, branches).branches == tree.branches


@_RUN_SETTINGS
@given_random(strategies.lists(_changes, min_size=1, max_size=6), strategies.data())
def _check_history(requests: Any, data: Any) -> None:
    """Check that kept revisions are restored exactly and encodings are reversible."""
    state = SettingsState(Violations(), max_revisions=4)
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
