"""Msgpack encoding of settings commands, outcomes and snapshots in the log."""

from typing import Any, NamedTuple, get_args

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, convert, to_builtins
from msgspec.msgpack import Decoder, encode

from lovagetray._errors import MalformedRequest, RefusedSettings
from lovagetray.state import (
    Accepted,
    Action,
    ChangeSettings,
    Difference,
    ImportTree,
    Origin,
    RecordRefusal,
    Refused,
    RefusedOutcome,
    RollBack,
    SettingsCommand,
    SettingsOutcome,
    SettingsSnapshot,
    SetValue,
    UnsetValue,
)


class _Frame(NamedTuple):
    """A data class, encoded as its kind and fields.

    The kind is the name of the type or, for a failure, its error code.
    """

    kind: str
    fields: dict[str, Any]


class _ChangeFields(NamedTuple):
    """A change to one key; the text is None if the change unsets the key."""

    path: str
    key: str
    text: str | None


_frame_decoder = Decoder(_Frame)
_snapshot_decoder = Decoder(SettingsSnapshot)
_failure_kinds: dict[str, Any] = {kind.code: kind for kind in get_args(RefusedOutcome)}
_DECODE_ERRORS = (DecodeError, ValidationError, RecursionError, KeyError, TypeError)


def encode_settings_command(command: SettingsCommand) -> bytes:
    """Return the body of the log entry that carries a command."""
    match command:
        case ChangeSettings(origin=origin, base=base, changes=changes):
            change_fields = [_to_change_fields(change) for change in changes]
            return _encode(
                command, {"origin": origin, "base": base, "changes": change_fields}
            )
        case RecordRefusal():
            fields = to_builtins(command)
            fields["failure"] = _to_failure_frame(command.failure)
            return _encode(command, fields)
        case RollBack() | ImportTree():
            return _encode(command, to_builtins(command))


def decode_settings_command(
    body: bytes,
) -> Result[SettingsCommand, MalformedRequest]:
    """Return the command in a log entry's body, or the reason why it is malformed."""
    try:
        frame = _frame_decoder.decode(body)
        return Ok(_to_command(frame))
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))


def encode_settings_outcome(outcome: SettingsOutcome) -> bytes:
    """Return the outcome of a request, encoded as the log stores it by request id."""
    match outcome:
        case Accepted():
            return _encode(outcome, to_builtins(outcome))
        case Refused(fingerprint=fingerprint, failure=failure):
            frame = _to_failure_frame(failure)
            return _encode(outcome, {"fingerprint": fingerprint, "failure": frame})


def decode_settings_outcome(
    body: bytes,
) -> Result[SettingsOutcome, MalformedRequest]:
    """Return the outcome of a request, or the reason why it is malformed."""
    try:
        frame = _frame_decoder.decode(body)
        if frame.kind == Accepted.__name__:
            return Ok(convert(frame.fields, Accepted))
        if frame.kind == Refused.__name__:
            failure = _to_failure(frame.fields["failure"])
            return Ok(Refused(str(frame.fields["fingerprint"]), failure))
        return Error(MalformedRequest(f"unknown kind of outcome {frame.kind!r}"))
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))


def encode_settings_snapshot(snapshot: SettingsSnapshot) -> bytes:
    """Return the complete settings state, encoded."""
    return encode(snapshot)


def decode_settings_snapshot(
    body: bytes,
) -> Result[SettingsSnapshot, MalformedRequest]:
    """Return the settings state in a snapshot, or the reason why it is malformed."""
    try:
        return Ok(_snapshot_decoder.decode(body))
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))


def _encode(value: object, fields: dict[str, Any]) -> bytes:
    return encode(_Frame(type(value).__name__, fields))


def _to_command(frame: _Frame) -> SettingsCommand:
    match frame.kind:
        case "ChangeSettings":
            changes = convert(frame.fields["changes"], tuple[_ChangeFields, ...])
            return ChangeSettings(
                convert(frame.fields["origin"], Origin),
                convert(frame.fields["base"], int),
                tuple(_to_change(change) for change in changes),
            )
        case "RecordRefusal":
            failure = frame.fields["failure"]
            return RecordRefusal(
                convert(frame.fields["origin"], Origin),
                convert(frame.fields["action"], Action),
                convert(convert(failure, _Frame).fields, RefusedSettings),
                convert(frame.fields["asked"], tuple[Difference, ...]),
            )
        case "RollBack":
            return convert(frame.fields, RollBack)
        case "ImportTree":
            return convert(frame.fields, ImportTree)
        case unknown:
            raise ValidationError(f"unknown kind of command {unknown!r}")


def _to_change_fields(change: SetValue | UnsetValue) -> _ChangeFields:
    match change:
        case SetValue(path=path, key=key, text=text):
            return _ChangeFields(path, key, text)
        case UnsetValue(path=path, key=key):
            return _ChangeFields(path, key, None)


def _to_change(change: _ChangeFields) -> SetValue | UnsetValue:
    if change.text is None:
        return UnsetValue(change.path, change.key)
    return SetValue(change.path, change.key, change.text)


def _to_failure_frame(failure: RefusedOutcome) -> _Frame:
    return _Frame(failure.code, to_builtins(failure))


def _to_failure(fields: Any) -> RefusedOutcome:
    frame = convert(fields, _Frame)
    failure: RefusedOutcome = convert(frame.fields, _failure_kinds[frame.kind])
    return failure
