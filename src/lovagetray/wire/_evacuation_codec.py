"""Msgpack encoding of evacuation orders, outcomes and snapshots in the log."""

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, encode

from lovagetray._errors import MalformedRequest
from lovagetray.state import (
    EndEvacuation,
    EvacuationOrder,
    EvacuationOutcome,
    StartEvacuation,
)

_order_decoder = Decoder(tuple[str, str])
_outcome_decoder = Decoder(EvacuationOutcome)
_snapshot_decoder = Decoder(tuple[str, ...])
_DECODE_ERRORS = (DecodeError, ValidationError, RecursionError)


def encode_evacuation_order(order: EvacuationOrder) -> bytes:
    """Return the body of the log entry that carries an order."""
    match order:
        case StartEvacuation(data_centre=name):
            return encode(("start", name))
        case EndEvacuation(data_centre=name):
            return encode(("end", name))


def decode_evacuation_order(body: bytes) -> Result[EvacuationOrder, MalformedRequest]:
    """Return the order in `body`, or the reason why it is malformed."""
    try:
        kind, name = _order_decoder.decode(body)
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))
    match kind:
        case "start":
            return Ok(StartEvacuation(name))
        case "end":
            return Ok(EndEvacuation(name))
        case _:
            return Error(MalformedRequest(f"unknown evacuation order {kind!r}"))


def encode_evacuation_outcome(outcome: EvacuationOutcome) -> bytes:
    """Return the outcome of an order, encoded."""
    return encode(outcome)


def decode_evacuation_outcome(
    body: bytes,
) -> Result[EvacuationOutcome, MalformedRequest]:
    """Return the outcome in `body`, or the reason why it is malformed."""
    try:
        return Ok(_outcome_decoder.decode(body))
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))


def encode_evacuation_snapshot(names: tuple[str, ...]) -> bytes:
    """Return the evacuated data centres, encoded; empty if there are none."""
    return encode(names) if names else b""


def decode_evacuation_snapshot(
    body: bytes,
) -> Result[tuple[str, ...], MalformedRequest]:
    """Return the evacuated data centres in `body`; none if it is empty."""
    if not body:
        return Ok(())
    try:
        return Ok(_snapshot_decoder.decode(body))
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))
