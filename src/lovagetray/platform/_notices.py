"""Decoding of the notices that replicas send about themselves."""

from datetime import timedelta
from typing import Annotated

from expression import Error, Ok, Result
from msgspec import DecodeError, Meta, Struct, ValidationError, field
from msgspec.json import Decoder

from lovagetray._routing_errors import UnreadableNotice
from lovagetray._routing_types import ReplicaNotice, ReplicaState
from lovagetray._types import Address, is_host_address

_STATES = {"ready": ReplicaState.READY, "draining": ReplicaState.DRAINING}
_MAX_REPLICA_ID_LENGTH = 256
_DAY_MS = 24 * 60 * 60 * 1000
# Larger numbers cannot be sent to the other instances, or exceed a timedelta.
_Name = Annotated[str, Meta(min_length=1, max_length=256)]
_Count = Annotated[int, Meta(ge=0, le=2**53)]
_Slots = Annotated[int, Meta(le=100_000)]
_Milliseconds = Annotated[float, Meta(le=_DAY_MS)]


class _Heartbeat(Struct):
    """The body of a replica's heartbeat request."""

    service: _Name = field(name="Service")
    address: _Name = field(name="Address")
    data_centre: _Name = field(name="Zone")
    state: str = field(name="State")
    sequence: _Count = field(name="Sequence")
    born: _Count
    slots: _Slots = field(name="Slots")
    warm_up_left_ms: _Milliseconds = field(name="WarmupLeftMs", default=0)


_decoder = Decoder(_Heartbeat)


def decode_notice(replica: str, body: bytes) -> Result[ReplicaNotice, UnreadableNotice]:
    """Return the notice in `body`, or the reason why it cannot be used."""
    try:
        heartbeat = _decoder.decode(body)
    except (DecodeError, ValidationError, RecursionError) as error:
        return Error(UnreadableNotice(str(error)))
    state = _STATES.get(heartbeat.state)
    try:
        address = Address.parse(heartbeat.address)
    except ValueError as error:
        return Error(UnreadableNotice(str(error)))
    if not is_host_address(address.host):
        return Error(
            UnreadableNotice(f"{address.host!r} is not the IPv4 address of one host")
        )
    if state is None or not 0 < len(replica) <= _MAX_REPLICA_ID_LENGTH:
        return Error(
            UnreadableNotice(
                f"invalid state {heartbeat.state!r} or replica id {replica[:80]!r}"
            )
        )
    return Ok(
        ReplicaNotice(
            replica=replica,
            service=heartbeat.service,
            address=address,
            data_centre=heartbeat.data_centre,
            state=state,
            born=heartbeat.born,
            sequence=heartbeat.sequence,
            slots=max(1, heartbeat.slots),
            warm_up=timedelta(milliseconds=max(0, heartbeat.warm_up_left_ms)),
        )
    )
