"""What replicas announce about themselves."""

from datetime import timedelta

from expression import Error, Ok, Result
from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import Decoder

from lovagetray._routing_errors import UnreadableNotice
from lovagetray._routing_types import ReplicaNotice, ReplicaState
from lovagetray._types import Address

_STATES = {"ready": ReplicaState.READY, "draining": ReplicaState.DRAINING}


class _Heartbeat(Struct):
    service: str = field(name="Service")
    address: str = field(name="Address")
    zone: str = field(name="Zone")
    state: str = field(name="State")
    sequence: int = field(name="Sequence")
    born: int
    slots: int = field(name="Slots")
    warm_up_ms: float = field(name="WarmupLeftMs", default=0)


_decoder = Decoder(_Heartbeat)


def decode_notice(replica: str, body: bytes) -> Result[ReplicaNotice, UnreadableNotice]:
    """Return the announcement in a body, or why it cannot be used."""
    try:
        beat = _decoder.decode(body)
    except (DecodeError, ValidationError) as error:
        return Error(UnreadableNotice(str(error)))
    state = _STATES.get(beat.state)
    try:
        address = Address.parse(beat.address)
    except ValueError as error:
        return Error(UnreadableNotice(str(error)))
    if state is None or not replica:
        return Error(UnreadableNotice(f"state {beat.state!r}, replica {replica!r}"))
    return Ok(
        ReplicaNotice(
            replica=replica,
            service=beat.service,
            address=address,
            data_centre=beat.zone,
            state=state,
            born=beat.born,
            sequence=beat.sequence,
            slots=max(1, beat.slots),
            warm_up=timedelta(milliseconds=max(0, beat.warm_up_ms)),
        )
    )
