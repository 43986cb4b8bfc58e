"""Handling of control requests.

They come from replicas, operators, the platform and callers that look up addresses.
"""

from re import compile as compile_pattern
from urllib.parse import unquote

from expression import Result
from msgspec.json import encode
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from structlog import get_logger

from lovagetray._errors import (
    MalformedRequest,
    MemoryExhausted,
    RequestTooLarge,
    RequestTooSlow,
)
from lovagetray._evacuation_errors import InvalidDataCentre
from lovagetray._routing_errors import (
    InvalidDocument,
    NotConfirmed,
    UnreadableNotice,
)
from lovagetray._routing_types import RoutingDocument
from lovagetray._types import Address
from lovagetray.gateway import Gateway
from lovagetray.platform._notices import decode_notice
from lovagetray.platform._routing_document import decode_document
from lovagetray.state import EndEvacuation, StartEvacuation
from lovagetray.wire import HttpRequest, HttpResponse, failure_status

_log = get_logger()
COSTLY_PATHS = frozenset(("/metrics", "/-/config/put"))
_JSON = {"content-type": "application/json"}
_HEARTBEAT_PATH = compile_pattern(r"/-/instances/([^/]+)/heartbeat")
_DEREGISTER_PATH = compile_pattern(r"/-/instances/([^/]+)/deregister")
_EVACUATION_PATH = compile_pattern(r"/-/evacuation/([^/]*)/(start|end)")
# A percent sign that does not start the code of a byte; `unquote` would keep it.
_BROKEN_ESCAPE = compile_pattern(r"%(?![0-9A-Fa-f]{2})")


class ControlHandler:
    """Handler of control requests: all that are not forwarded to replicas."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a control request."""
        match request.method, request.path:
            case "GET", "/-/readiness":
                return _empty_response(200 if self._gateway.ready else 503)
            case "GET", "/metrics":
                headers = {"content-type": CONTENT_TYPE_LATEST}
                return HttpResponse(200, headers, self._gateway.metrics())
            case "GET", "/-/resolve":
                return self._list_addresses()
            case "POST", "/-/config/put":
                return await self._put_document(request)
            case "GET", "/-/config/get":
                return self._get_document(request)
            case "POST", path if matched := _HEARTBEAT_PATH.fullmatch(path):
                return await self._accept_notice(matched[1], request)
            case "POST", path if matched := _DEREGISTER_PATH.fullmatch(path):
                return await self._deregister(matched[1], request)
            case "POST", path if matched := _EVACUATION_PATH.fullmatch(path):
                return await self._order_evacuation(matched[1], matched[2])
        return _error_response(404, f"no endpoint for {request.method} {request.path}")

    def _list_addresses(self) -> HttpResponse:
        listed = self._gateway.addresses()
        if not listed.addresses:
            return _error_response(503, "no instance accepts callers yet")
        document = {
            "addrs": [str(address) for address in listed.addresses],
            "ttl_s": listed.lifetime.total_seconds(),
        }
        return HttpResponse(200, dict(_JSON), encode(document))

    async def _put_document(self, request: HttpRequest) -> HttpResponse:
        match decode_document(request.body):
            case Result(tag="ok", ok=document):
                pass
            case Result(error=unreadable):
                _log.warning("routing_refused", reason=str(unreadable))
                return _error_response(400, str(unreadable))
        match await self._gateway.put_document(document):
            case Result(tag="ok"):
                return HttpResponse(200, dict(_JSON), b"{}")
            case Result(error=InvalidDocument() as invalid):
                return _error_response(400, str(invalid))
            case Result(error=failure):
                return _error_response(503, str(failure))

    def _get_document(self, request: HttpRequest) -> HttpResponse:
        match self._gateway.document():
            case Result(tag="ok", ok=None):
                return _error_response(503, "there is no routing document yet")
            case Result(tag="ok", ok=RoutingDocument(source=source)):
                return HttpResponse(200, dict(_JSON), source)
            case Result(error=NotConfirmed(leader=leader) as failure):
                if leader in ("", self._gateway.settings.name):
                    return _error_response(503, str(failure))
                # All instances listen on the same control port.
                host = Address.parse(leader).host
                port = self._gateway.settings.addresses.control.port
                location = f"http://{host}:{port}{request.path}"
                return HttpResponse(307, {"location": location}, b"")

    async def _order_evacuation(self, encoded_name: str, action: str) -> HttpResponse:
        name = _decode_name(encoded_name)
        if name is None:
            return _error_response(400, "the name of the data centre is not decodable")
        order = StartEvacuation(name) if action == "start" else EndEvacuation(name)
        match await self._gateway.order_evacuation(order):
            case Result(tag="ok"):
                return HttpResponse(200, dict(_JSON), b"{}")
            case Result(error=InvalidDataCentre() as invalid):
                return _error_response(400, str(invalid))
            case Result(error=failure):
                return _error_response(503, str(failure))

    async def _deregister(self, replica: str, request: HttpRequest) -> HttpResponse:
        # A replica need not send more than its id. If it does, its run is known.
        notice = decode_notice(replica, request.body).default_value(None)
        match await self._gateway.deregister_replica(replica, notice):
            case Result(tag="ok"):
                return _empty_response(200)
            case Result(error=failure):
                return _error_response(503, str(failure))

    async def _accept_notice(self, replica: str, request: HttpRequest) -> HttpResponse:
        match decode_notice(replica, request.body):
            case Result(tag="ok", ok=notice):
                pass
            case Result(error=UnreadableNotice() as unreadable):
                _log.warning("notice_refused", replica=replica, reason=str(unreadable))
                return _error_response(400, str(unreadable))
        match await self._gateway.accept_notice(notice):
            case Result(tag="ok"):
                address = self._gateway.notice_address(notice)
                document = {} if address is None else {"HeartbeatAddr": str(address)}
                return HttpResponse(200, dict(_JSON), encode(document))
            case Result(error=unconfirmed):
                return _error_response(503, str(unconfirmed))


def encode_control_failure(
    failure: MalformedRequest | RequestTooLarge | RequestTooSlow | MemoryExhausted,
) -> HttpResponse:
    """Return the response to a control request that could not be read."""
    response = _error_response(failure_status(failure), str(failure))
    match failure:
        case MemoryExhausted(retry_after=retry_after):
            response.headers["retry-after"] = f"{retry_after.total_seconds():.2f}"
    return response


def _decode_name(encoded: str) -> str | None:
    """Return a percent-encoded name, or None if it is not valid UTF-8."""
    if _BROKEN_ESCAPE.search(encoded):
        return None
    try:
        return unquote(encoded, errors="strict")
    except UnicodeDecodeError:
        return None


def _empty_response(status: int) -> HttpResponse:
    return HttpResponse(status, {}, b"")


def _error_response(status: int, message: str) -> HttpResponse:
    return HttpResponse(status, dict(_JSON), encode({"error": message}))
