"""Runs a gateway on the platform."""

from datetime import timedelta
from pathlib import Path
from sys import stderr, stdout

from curio import run
from expression import Result

from lovagetray._clock import SystemClock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._log_stream import LogStream
from lovagetray._telemetry import configure_logging
from lovagetray._types import Address
from lovagetray.gateway import ControlServer, FrontServer, Gateway, GatewayFormats
from lovagetray.platform._caller_handler import CallerHandler, encode_unreadable
from lovagetray.platform._control_handler import (
    ControlHandler,
    encode_unreadable as encode_unreadable_call,
)
from lovagetray.platform._replica_codec import decode_reply, replica_encoder
from lovagetray.platform._routing_document import decode_document
from lovagetray.platform._settings import read_settings, settings_file
from lovagetray.wire import CallerServer, HttpLimits, HttpServer

_INVALID_SETTINGS = 3
# A configuration of 2,000 routes has about 600 KB.
_CONTROL_LIMITS = HttpLimits(
    body_bytes=4 * 1024 * 1024, idle_time=timedelta(seconds=30)
)


def run_gateway(
    path: Path | None = None, process_started_at: timedelta | None = None
) -> int:
    """Run a gateway until it is told to stop; return the exit code.

    Parameters
    ----------
    path
        The settings file; the environment names it by default.
    process_started_at
        When the process began, by the steady clock; None if unknown.
    """
    settings_path = path or settings_file()
    configure_logging(stream=LogStream(stdout.fileno()))
    match read_settings(settings_path):
        case Result(tag="ok", ok=settings):
            pass
        case Result(error=failure):
            print(failure, file=stderr)
            return _INVALID_SETTINGS
    formats = GatewayFormats(decode_document, replica_encoder, decode_reply)
    gateway = Gateway(settings, formats, SystemClock(), process_started_at)

    def reload() -> GatewaySettings | None:
        return read_settings(settings_path).default_value(None)

    code: int = run(gateway.run, _servers, reload)
    return code


def _servers(gateway: Gateway) -> tuple[FrontServer, list[ControlServer]]:
    clock = SystemClock()
    addresses = gateway.settings.addresses
    callers = CallerServer(
        CallerHandler(gateway).handle,
        encode_unreadable,
        clock,
        lambda: gateway.caller_limits,
    )
    calls = HttpServer(
        ControlHandler(gateway).handle, encode_unreadable_call, clock, _CONTROL_LIMITS
    )
    front = FrontServer(
        lambda: callers.run(addresses.front),
        callers.drain,
        callers.close,
        lambda: callers.running_requests,
    )
    others = sorted({addresses.ready, addresses.control, addresses.directory})
    return front, [_call_server(calls, address) for address in others]


def _call_server(calls: HttpServer, address: Address) -> ControlServer:
    return ControlServer(lambda: calls.run(calls.listen(address)))
