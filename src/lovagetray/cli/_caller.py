"""Client of the query interface that follows the address lists of instances."""

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
_CONNECT_TIMEOUT = timedelta(seconds=1)
_ADDRESSES_TIMEOUT = timedelta(seconds=2)


class AddressDocument(TypedDict):
    """Address of an instance in the response to ``GET /v1/addresses``."""

    instance: str
    host: str
    port: int
    data_centre: str


class AddressesDocument(TypedDict):
    """Response to ``GET /v1/addresses``."""

    lifetime_ms: int
    addresses: list[AddressDocument]


_addresses_decoder = Decoder(AddressesDocument)


class Caller:
    """Client that follows the address lists of instances and reuses connections.

    Parameters
    ----------
    seeds
        Addresses to ask for an address list if no known address answers.
    name
        Identifies the caller; instances use it to spread callers over addresses.
    """

    def __init__(
        self, seeds: Sequence[Address], name: str, data_centre: str, clock: Clock
    ) -> None:
        self._seeds = list(seeds)
        self._name = name
        self._data_centre = data_centre
        self._clock = clock
        self._addresses: list[Address] = []
        self._addresses_expire_at = timedelta(0)
        self._idle_connections: dict[Address, HttpConnection] = {}

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: timedelta,
        headers: dict[str, str] | None = None,
    ) -> Result[HttpResponse, CallFailure]:
        """Return the response of the first instance that can be reached.

        Only after a failure to connect is the next address tried: once a connection is
        open, the request may have run.
        """
        failure: CallFailure = ConnectFailed("the system")
        for address in await self._current_addresses():
            match await self._obtain_connection(address):
                case Result(tag="ok", ok=connection):
                    replied = await connection.exchange(
                        method, path, headers or {}, body, timeout
                    )
                    await self._return_connection(address, connection)
                    return replied
                case Result(error=failure):
                    continue
        return Error(failure)

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._idle_connections.values():
            await connection.close()
        self._idle_connections.clear()

    async def _current_addresses(self) -> list[Address]:
        if (
            self._clock.monotonic_time() >= self._addresses_expire_at
            or not self._addresses
        ):
            for address in [*self._addresses, *self._seeds]:
                match await self._request_addresses(address):
                    case Result(tag="ok", ok=document) if document["addresses"]:
                        self._store_addresses(document)
                        break
        return self._addresses or self._seeds

    def _store_addresses(self, document: AddressesDocument) -> None:
        lifetime = timedelta(milliseconds=document["lifetime_ms"])
        self._addresses_expire_at = self._clock.monotonic_time() + lifetime
        self._addresses = [
            Address(item["host"], item["port"]) for item in document["addresses"]
        ]

    async def _request_addresses(
        self, address: Address
    ) -> Result[AddressesDocument, CallFailure]:
        match await self._obtain_connection(address):
            case Result(tag="ok", ok=connection):
                pass
            case Result(error=unreachable):
                return Error(unreachable)
        path = f"/v1/addresses?caller={self._name}&data_centre={self._data_centre}"
        replied = await connection.exchange("GET", path, {}, b"", _ADDRESSES_TIMEOUT)
        await self._return_connection(address, connection)
        match replied:
            case Result(tag="ok", ok=response):
                return _decode_addresses(response)
            case Result(error=failure):
                return Error(failure)

    async def _obtain_connection(
        self, address: Address
    ) -> Result[HttpConnection, ConnectFailed]:
        idle = self._idle_connections.pop(address, None)
        if idle is not None:
            return Ok(idle)
        return await HttpConnection.open(
            str(address), address, self._clock, _CONNECT_TIMEOUT
        )

    async def _return_connection(
        self, address: Address, connection: HttpConnection
    ) -> None:
        if connection.reusable and address not in self._idle_connections:
            self._idle_connections[address] = connection
        else:
            await connection.close()


def _decode_addresses(
    response: HttpResponse,
) -> Result[AddressesDocument, MalformedRequest]:
    try:
        return Ok(_addresses_decoder.decode(response.body))
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return Error(MalformedRequest(str(error)))
