"""Decoding of the notices that replicas send about themselves."""

from datetime import timedelta

from expression import Error, Ok, Result
from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import Decoder

from lovagetray._routing_errors import UnreadableNotice
from lovagetray._routing_types import ReplicaNotice, ReplicaState
from lovagetray._types import Address

_STATES = {"ready": ReplicaState.READY, "draining": ReplicaState.DRAINING}


class _Heartbeat(Struct):
    """The body of a replica's heartbeat request."""

    service: str = field(name="Service")
    address: str = field(name="Address")
    data_centre: str = field(name="Zone")
    state: str = field(name="State")
    sequence: int = field(name="Sequence")
    born: int
    slots: int = field(name="Slots")
    warm_up_left_ms: float = field(name="WarmupLeftMs", default=0)


_decoder = Decoder(_Heartbeat)


def decode_notice(replica: str, body: bytes) -> Result[ReplicaNotice, UnreadableNotice]:
    """Return the notice in `body`, or the reason why it cannot be used."""
    try:
        heartbeat = _decoder.decode(body)
    except (DecodeError, ValidationError) as error:
        return Error(UnreadableNotice(str(error)))
    state = _STATES.get(heartbeat.state)
    try:
        address = Address.parse(heartbeat.address)
    except ValueError as error:
        return Error(UnreadableNotice(str(error)))
    if state is None or not replica:
        return Error(
            UnreadableNotice(
                f"invalid state {heartbeat.state!r} or replica id {replica!r}"
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
