"""Msgpack encoding of ledger commands, replies and snapshots."""

from typing import Any, TypeVar, get_args

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, convert, to_builtins
from msgspec.msgpack import Decoder, encode

from lovagetray._errors import MalformedRequest
from lovagetray.state import LedgerCommand, LedgerReply, LedgerSnapshot

T = TypeVar("T")
_command_types = {type_.__name__: type_ for type_ in get_args(LedgerCommand)}
_reply_types = {type_.__name__: type_ for type_ in get_args(LedgerReply)}
_tagged_decoder = Decoder(tuple[str, dict[str, Any]])
_snapshot_decoder = Decoder(LedgerSnapshot)


def encode_ledger_command(command: LedgerCommand) -> bytes:
    """Return a command as tagged msgpack."""
    return _encode_tagged(command)


def decode_ledger_command(body: bytes) -> Result[LedgerCommand, MalformedRequest]:
    """Return the command in `body`, or the reason why it is malformed."""
    return _decode_tagged(body, _command_types)


def encode_ledger_reply(reply: LedgerReply) -> bytes:
    """Return a reply as tagged msgpack."""
    return _encode_tagged(reply)


def decode_ledger_reply(body: bytes) -> Result[LedgerReply, MalformedRequest]:
    """Return the reply in `body`, or the reason why it is malformed."""
    return _decode_tagged(body, _reply_types)


def encode_ledger_snapshot(snapshot: LedgerSnapshot) -> bytes:
    """Return the complete state of a ledger, encoded."""
    return encode(snapshot)


def decode_ledger_snapshot(body: bytes) -> Result[LedgerSnapshot, MalformedRequest]:
    """Return the ledger state in `body`, or the reason why it is malformed."""
    try:
        return Ok(_snapshot_decoder.decode(body))
    except (DecodeError, ValidationError, RecursionError, OverflowError) as error:
        return Error(MalformedRequest(str(error)))


def _encode_tagged(value: object) -> bytes:
    """Return the name of the type of `value` and its fields as msgpack."""
    return encode((type(value).__name__, to_builtins(value)))


def _decode_tagged(
    body: bytes, types: dict[str, type[T]]
) -> Result[T, MalformedRequest]:
    try:
        name, fields = _tagged_decoder.decode(body)
        return Ok(convert(fields, types[name]))
    except (
        DecodeError,
        ValidationError,
        KeyError,
        RecursionError,
        OverflowError,
    ) as error:
        return Error(MalformedRequest(str(error)))
