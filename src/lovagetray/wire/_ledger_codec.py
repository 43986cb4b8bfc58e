"""The msgpack encoding of ledger commands, replies and snapshots."""

from typing import Any, TypeVar, get_args

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, convert, to_builtins
from msgspec.msgpack import Decoder, encode

from lovagetray._errors import MalformedRequest
from lovagetray.state import LedgerCommand, LedgerReply, LedgerSnapshot

T = TypeVar("T")
_commands = {kind.__name__: kind for kind in get_args(LedgerCommand)}
_replies = {kind.__name__: kind for kind in get_args(LedgerReply)}
_tagged_decoder = Decoder(tuple[str, dict[str, Any]])
_snapshot_decoder = Decoder(LedgerSnapshot)


def encode_ledger_command(command: LedgerCommand) -> bytes:
    """Return the bytes of a command."""
    return _encode_tagged(command)


def decode_ledger_command(body: bytes) -> Result[LedgerCommand, MalformedRequest]:
    """Return the command in `body`."""
    return _decode_tagged(body, _commands)


def encode_ledger_reply(reply: LedgerReply) -> bytes:
    """Return the bytes of a reply."""
    return _encode_tagged(reply)


def decode_ledger_reply(body: bytes) -> Result[LedgerReply, MalformedRequest]:
    """Return the reply in `body`."""
    return _decode_tagged(body, _replies)


def encode_ledger_snapshot(snapshot: LedgerSnapshot) -> bytes:
    """Return the bytes of a whole ledger."""
    return encode(snapshot)


def decode_ledger_snapshot(body: bytes) -> Result[LedgerSnapshot, MalformedRequest]:
    """Return the ledger in `body`."""
    try:
        return Ok(_snapshot_decoder.decode(body))
    except (DecodeError, ValidationError) as error:
        return Error(MalformedRequest(str(error)))


def _encode_tagged(value: object) -> bytes:
    return encode((type(value).__name__, to_builtins(value)))


def _decode_tagged(
    body: bytes, kinds: dict[str, type[T]]
) -> Result[T, MalformedRequest]:
    try:
        name, fields = _tagged_decoder.decode(body)
        return Ok(convert(fields, kinds[name]))
    except (DecodeError, ValidationError, KeyError) as error:
        return Error(MalformedRequest(str(error)))
