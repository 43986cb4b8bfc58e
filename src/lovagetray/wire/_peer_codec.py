"""Msgpack encoding of messages between instances."""

from collections.abc import Sequence
from typing import get_args

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError, convert, to_builtins
from msgspec.msgpack import Decoder, encode

from lovagetray._errors import Failure, MalformedRequest, TargetFailed
from lovagetray._peer_messages import (
    Envelope,
    ExecutionFrame,
    FailureFrame,
    FeedUpdate,
    OutcomeFrame,
    PeerMessage,
    SubscribersHeard,
)
from lovagetray._types import ExecuteReply, InstanceId, SubReply
from lovagetray.wire._log_codec import compress_bytes, decompress_bytes

_decoders = {kind.__name__: Decoder(kind) for kind in get_args(PeerMessage)}
_sender_decoder = Decoder(InstanceId)
_failures = {kind.code: kind for kind in get_args(Failure)}
# Messages with many similar records, which take a quarter in compressed form. Every
# version that knows these messages accepts it.
_COMPRESSED_KINDS = FeedUpdate | SubscribersHeard
_MIN_COMPRESSED_BYTES = 512
# First byte of the compressed form; as msgpack it would be a number, not a message.
_COMPRESSION_MARK = b"\x78"


def encode_envelope(envelope: Envelope) -> list[bytes]:
    """Return the frames of a message: sender, kind and payload."""
    kind = type(envelope.message).__name__.encode()
    payload = encode(envelope.message)
    if len(payload) >= _MIN_COMPRESSED_BYTES and isinstance(
        envelope.message, _COMPRESSED_KINDS
    ):
        payload = compress_bytes(payload)
    return [encode(envelope.sender), kind, payload]


def decode_envelope(frames: Sequence[bytes]) -> Result[Envelope, MalformedRequest]:
    """Return the message in `frames`, or the reason why it is malformed."""
    if len(frames) != 3:
        return Error(MalformedRequest(f"{len(frames)} frames instead of 3"))
    sender, kind, payload = frames
    decoder = _decoders.get(kind.decode("ascii", "replace"))
    if decoder is None:
        return Error(MalformedRequest("unknown kind of message"))
    if payload.startswith(_COMPRESSION_MARK):
        match decompress_bytes(payload):
            case Result(tag="ok", ok=decompressed):
                payload = decompressed
            case Result(error=failure):
                return Error(failure)
    try:
        return Ok(Envelope(_sender_decoder.decode(sender), decoder.decode(payload)))
    except (DecodeError, ValidationError, RecursionError, OverflowError) as error:
        return Error(MalformedRequest(str(error)))


def encode_failure_frame(failure: Failure) -> FailureFrame:
    """Return a failure as a frame."""
    return FailureFrame(failure.code, to_builtins(failure))


def decode_failure_frame(frame: FailureFrame) -> Failure | None:
    """Return the failure in a frame, or None if its code or fields are invalid."""
    kind = _failures.get(frame.code)
    if kind is None:
        return None
    try:
        failure: Failure = convert(frame.fields, kind)
    except ValidationError:
        return None
    return failure


def encode_outcome(request_id: str, result: Result[SubReply, Failure]) -> OutcomeFrame:
    """Return the outcome of a sub-request as a frame."""
    match result:
        case Result(tag="ok", ok=reply):
            return OutcomeFrame(request_id, reply, None)
        case Result(error=failure):
            return OutcomeFrame(request_id, None, encode_failure_frame(failure))


def decode_outcome(frame: OutcomeFrame) -> Result[SubReply, Failure]:
    """Return the outcome of a sub-request in a frame."""
    if frame.reply is not None:
        return Ok(frame.reply)
    return Error(_decode_failure(frame.failure))


def encode_execution(
    request_id: str, result: Result[ExecuteReply, Failure]
) -> ExecutionFrame:
    """Return the outcome of an execution as a frame."""
    match result:
        case Result(tag="ok", ok=reply):
            return ExecutionFrame(request_id, reply, None)
        case Result(error=failure):
            return ExecutionFrame(request_id, None, encode_failure_frame(failure))


def decode_execution(frame: ExecutionFrame) -> Result[ExecuteReply, Failure]:
    """Return the outcome of an execution in a frame."""
    if frame.reply is not None:
        return Ok(frame.reply)
    return Error(_decode_failure(frame.failure))


def _decode_failure(frame: FailureFrame | None) -> Failure:
    """Return the failure in a frame, or `TargetFailed` if it cannot be decoded.

    `TargetFailed` is not taken as proof that the request did not run.
    """
    unreadable = TargetFailed("", 0)
    if frame is None:
        return unreadable
    return decode_failure_frame(frame) or unreadable
