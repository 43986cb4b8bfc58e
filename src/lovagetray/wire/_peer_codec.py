"""The msgpack encoding of messages between instances."""

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
    OutcomeFrame,
    PeerMessage,
)
from lovagetray._types import ExecuteReply, InstanceId, SubReply

_decoders = {kind.__name__: Decoder(kind) for kind in get_args(PeerMessage)}
_sender_decoder = Decoder(InstanceId)
_failures = {kind.code: kind for kind in get_args(Failure)}


def encode_envelope(envelope: Envelope) -> list[bytes]:
    """Return the frames of a message: sender, kind and payload."""
    kind = type(envelope.message).__name__.encode()
    return [encode(envelope.sender), kind, encode(envelope.message)]


def decode_envelope(frames: Sequence[bytes]) -> Result[Envelope, MalformedRequest]:
    """Return the message in `frames`, or why it is malformed."""
    if len(frames) != 3:
        return Error(MalformedRequest(f"{len(frames)} frames in place of 3"))
    sender, kind, payload = frames
    decoder = _decoders.get(kind.decode("ascii", "replace"))
    if decoder is None:
        return Error(MalformedRequest("unknown kind of message"))
    try:
        return Ok(Envelope(_sender_decoder.decode(sender), decoder.decode(payload)))
    except (DecodeError, ValidationError, RecursionError) as error:
        return Error(MalformedRequest(str(error)))


def encode_failure_frame(failure: Failure) -> FailureFrame:
    """Return the frame of a failure."""
    return FailureFrame(failure.code, to_builtins(failure))


def decode_failure_frame(frame: FailureFrame) -> Failure | None:
    """Return the failure in a frame, or None if it is unknown or malformed."""
    kind = _failures.get(frame.code)
    if kind is None:
        return None
    try:
        failure: Failure = convert(frame.fields, kind)
    except ValidationError:
        return None
    return failure


def encode_outcome(request_id: str, result: Result[SubReply, Failure]) -> OutcomeFrame:
    """Return the frame of one outcome."""
    match result:
        case Result(tag="ok", ok=reply):
            return OutcomeFrame(request_id, reply, None)
        case Result(error=failure):
            return OutcomeFrame(request_id, None, encode_failure_frame(failure))


def decode_outcome(frame: OutcomeFrame) -> Result[SubReply, Failure]:
    """Return the outcome in a frame."""
    if frame.reply is not None:
        return Ok(frame.reply)
    return Error(_failure(frame.failure))


def encode_execution(
    request_id: str, result: Result[ExecuteReply, Failure]
) -> ExecutionFrame:
    """Return the frame of the outcome of one execution."""
    match result:
        case Result(tag="ok", ok=reply):
            return ExecutionFrame(request_id, reply, None)
        case Result(error=failure):
            return ExecutionFrame(request_id, None, encode_failure_frame(failure))


def decode_execution(frame: ExecutionFrame) -> Result[ExecuteReply, Failure]:
    """Return the outcome of an execution in a frame."""
    if frame.reply is not None:
        return Ok(frame.reply)
    return Error(_failure(frame.failure))


def _failure(frame: FailureFrame | None) -> Failure:
    """Return the failure in a frame; an unreadable one proves nothing."""
    unreadable = TargetFailed("", 0)
    if frame is None:
        return unreadable
    return decode_failure_frame(frame) or unreadable
