"""Calls of replicas, the operator, callers without an address, and the platform."""

from re import compile as compile_pattern

from expression import Result
from msgspec.json import encode
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from structlog import get_logger

from lovagetray._errors import MalformedRequest, RequestTooLarge, RequestTooSlow
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
from lovagetray.wire import HttpRequest, HttpResponse, failure_status

_log = get_logger()
_JSON = {"content-type": "application/json"}
_HEARTBEAT = compile_pattern(r"/-/instances/([^/]+)/heartbeat")
_DEREGISTER = compile_pattern(r"/-/instances/([^/]+)/deregister")


class ControlHandler:
    """Handles the calls that are not callers' requests."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a call."""
        match request.method, request.path:
            case "GET", "/-/readiness":
                return _empty(200 if self._gateway.ready else 503)
            case "GET", "/metrics":
                headers = {"content-type": CONTENT_TYPE_LATEST}
                return HttpResponse(200, headers, self._gateway.metrics())
            case "GET", "/-/resolve":
                return self._resolve()
            case "POST", "/-/config/put":
                return await self._put(request)
            case "GET", "/-/config/get":
                return self._get(request)
            case "POST", path if found := _HEARTBEAT.fullmatch(path):
                return await self._heartbeat(found[1], request)
            case "POST", path if found := _DEREGISTER.fullmatch(path):
                match await self._gateway.deregister_replica(found[1]):
                    case Result(tag="ok"):
                        return _empty(200)
                    case Result(error=failure):
                        return _refusal(503, str(failure))
        return _refusal(404, f"there is no {request.method} {request.path}")

    def _resolve(self) -> HttpResponse:
        listed = self._gateway.addresses()
        if not listed.addresses:
            return _refusal(503, "no instance accepts callers yet")
        document = {
            "addrs": [str(address) for address in listed.addresses],
            "ttl_s": listed.lifetime.total_seconds(),
        }
        return HttpResponse(200, dict(_JSON), encode(document))

    async def _put(self, request: HttpRequest) -> HttpResponse:
        match decode_document(request.body):
            case Result(tag="ok", ok=document):
                pass
            case Result(error=unreadable):
                _log.warning("routing_refused", reason=str(unreadable))
                return _refusal(400, str(unreadable))
        match await self._gateway.put_document(document):
            case Result(tag="ok"):
                return HttpResponse(200, dict(_JSON), b"{}")
            case Result(error=InvalidDocument() as invalid):
                return _refusal(400, str(invalid))
            case Result(error=failure):
                return _refusal(503, str(failure))

    def _get(self, request: HttpRequest) -> HttpResponse:
        match self._gateway.document():
            case Result(tag="ok", ok=None):
                return _refusal(503, "there is no configuration yet")
            case Result(tag="ok", ok=RoutingDocument(source=source)):
                return HttpResponse(200, dict(_JSON), source)
            case Result(error=NotConfirmed(leader=leader) as failure):
                if leader in ("", self._gateway.settings.name):
                    return _refusal(503, str(failure))
                # Control ports are the same on all machines.
                host = Address.parse(leader).host
                port = self._gateway.settings.addresses.control.port
                location = f"http://{host}:{port}{request.path}"
                return HttpResponse(307, {"location": location}, b"")

    async def _heartbeat(self, replica: str, request: HttpRequest) -> HttpResponse:
        match decode_notice(replica, request.body):
            case Result(tag="ok", ok=notice):
                pass
            case Result(error=UnreadableNotice() as unreadable):
                _log.warning("notice_refused", replica=replica, reason=str(unreadable))
                return _refusal(400, str(unreadable))
        match await self._gateway.accept_notice(notice):
            case Result(tag="ok"):
                return HttpResponse(200, dict(_JSON), b"{}")
            case Result(error=unconfirmed):
                return _refusal(503, str(unconfirmed))


def encode_unreadable(
    failure: MalformedRequest | RequestTooLarge | RequestTooSlow,
) -> HttpResponse:
    """Return the response to a call that could not be read."""
    return _refusal(failure_status(failure), str(failure))


def _empty(status: int) -> HttpResponse:
    return HttpResponse(status, {}, b"")


def _refusal(status: int, message: str) -> HttpResponse:
    return HttpResponse(status, dict(_JSON), encode({"error": message}))
