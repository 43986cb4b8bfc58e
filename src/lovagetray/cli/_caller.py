"""A caller of the system: asks for addresses, keeps them and connects there."""

from collections.abc import Sequence
from datetime import timedelta
from typing import TypedDict

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from lovagetray._clock import Clock
from lovagetray._errors import (
    ConnectFailed,
    ConnectionLost,
    MalformedRequest,
    NoReply,
)
from lovagetray._types import Address
from lovagetray.wire import HttpConnection, HttpResponse

CallFailure = ConnectFailed | ConnectionLost | NoReply | MalformedRequest
_CONNECT_LIMIT = timedelta(seconds=1)
_ADDRESS_LIMIT = timedelta(seconds=2)


class AddressDocument(TypedDict):
    """One address in the reply to ``GET /v1/addresses``."""

    instance: str
    host: str
    port: int
    data_centre: str


class AddressesDocument(TypedDict):
    """The reply to ``GET /v1/addresses``."""

    lifetime_ms: int
    addresses: list[AddressDocument]


_addresses_decoder = Decoder(AddressesDocument)


class Caller:
    """Calls the system and follows its address lists.

    Parameters
    ----------
    seeds
        Addresses to ask first.
    name
        Identifies the caller; different callers are spread over instances.
    """

    def __init__(
        self, seeds: Sequence[Address], name: str, data_centre: str, clock: Clock
    ) -> None:
        self._seeds = list(seeds)
        self._name = name
        self._data_centre = data_centre
        self._clock = clock
        self._addresses: list[Address] = []
        self._keep_until = timedelta(0)
        self._connections: dict[Address, HttpConnection] = {}

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        limit: timedelta,
        headers: dict[str, str] | None = None,
    ) -> Result[HttpResponse, CallFailure]:
        """Return the response of the first instance that can be reached.

        Only a failure to connect moves on to the next address: after that the request
        may have run.
        """
        failure: CallFailure = ConnectFailed("the system")
        for address in await self._current_addresses():
            match await self._connection(address):
                case Result(tag="ok", ok=connection):
                    replied = await connection.exchange(
                        method, path, headers or {}, body, limit
                    )
                    await self._put_back(address, connection)
                    return replied
                case Result(error=failure):
                    continue
        return Error(failure)

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            await connection.close()
        self._connections.clear()

    async def _current_addresses(self) -> list[Address]:
        if self._clock.monotonic_time() >= self._keep_until or not self._addresses:
            for address in [*self._addresses, *self._seeds]:
                match await self._ask(address):
                    case Result(tag="ok", ok=document) if document["addresses"]:
                        self._keep(document)
                        break
        return self._addresses or self._seeds

    def _keep(self, document: AddressesDocument) -> None:
        lifetime = timedelta(milliseconds=document["lifetime_ms"])
        self._keep_until = self._clock.monotonic_time() + lifetime
        self._addresses = [
            Address(one["host"], one["port"]) for one in document["addresses"]
        ]

    async def _ask(self, address: Address) -> Result[AddressesDocument, CallFailure]:
        match await self._connection(address):
            case Result(tag="ok", ok=connection):
                pass
            case Result(error=unreachable):
                return Error(unreachable)
        path = f"/v1/addresses?caller={self._name}&data_centre={self._data_centre}"
        replied = await connection.exchange("GET", path, {}, b"", _ADDRESS_LIMIT)
        await self._put_back(address, connection)
        match replied:
            case Result(tag="ok", ok=response):
                return _decode_addresses(response)
            case Result(error=failure):
                return Error(failure)

    async def _connection(
        self, address: Address
    ) -> Result[HttpConnection, ConnectFailed]:
        kept = self._connections.pop(address, None)
        if kept is not None:
            return Ok(kept)
        return await HttpConnection.open(
            str(address), address, self._clock, _CONNECT_LIMIT
        )

    async def _put_back(self, address: Address, connection: HttpConnection) -> None:
        if connection.reusable and address not in self._connections:
            self._connections[address] = connection
        else:
            await connection.close()


def _decode_addresses(
    response: HttpResponse,
) -> Result[AddressesDocument, MalformedRequest]:
    try:
        return Ok(_addresses_decoder.decode(response.body))
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        return Error(MalformedRequest(str(error)))
