"""Start of a gateway process on the platform."""

from datetime import timedelta
from pathlib import Path
from sys import stderr, stdout

from curio import run
from expression import Result

from lovagetray._clock import SystemClock
from lovagetray._gateway_settings import GatewaySettings
from lovagetray._log_stream import LogStream
from lovagetray._settings_errors import InvalidSettings
from lovagetray._telemetry import configure_logging
from lovagetray._types import Address
from lovagetray.gateway import CallerFrontend, ControlServer, Gateway, GatewayFormats
from lovagetray.platform._caller_handler import CallerHandler, encode_caller_failure
from lovagetray.platform._control_handler import (
    COSTLY_PATHS,
    ControlHandler,
    encode_control_failure,
)
from lovagetray.platform._replica_codec import decode_reply, replica_encoder
from lovagetray.platform._routing_document import MAX_DOCUMENT_BYTES, decode_document
from lovagetray.platform._settings import read_settings, settings_file
from lovagetray.wire import CallerServer, HttpLimits, HttpServer, ProcessorTurns

_EXIT_INVALID_SETTINGS = 3
_CONTROL_LIMITS = HttpLimits(
    body_bytes=MAX_DOCUMENT_BYTES, idle_time=timedelta(seconds=30)
)


def run_gateway(
    path: Path | None = None, process_started_at: timedelta | None = None
) -> int:
    """Run a gateway until it is told to stop; return the exit code of the process.

    Parameters
    ----------
    path
        Path of the settings file; by default the one that the environment names, see
        `settings_file`.
    process_started_at
        Monotonic time at which the process started; None if unknown.
    """
    settings_path = path or settings_file()
    configure_logging(stream=LogStream(stdout.fileno()))
    match read_settings(settings_path):
        case Result(tag="ok", ok=settings):
            pass
        case Result(error=failure):
            print(failure, file=stderr)
            return _EXIT_INVALID_SETTINGS
    formats = GatewayFormats(decode_document, replica_encoder, decode_reply)
    gateway = Gateway(settings, formats, SystemClock(), process_started_at)

    def reload_settings() -> Result[GatewaySettings, InvalidSettings]:
        return read_settings(settings_path)

    code: int = run(gateway.run, _create_servers, reload_settings)
    return code


def _create_servers(gateway: Gateway) -> tuple[CallerFrontend, list[ControlServer]]:
    clock = SystemClock()
    addresses = gateway.settings.addresses
    turns = ProcessorTurns(clock, gateway.settings.connection_share)
    caller_server = CallerServer(
        CallerHandler(gateway).handle,
        encode_caller_failure,
        clock,
        lambda: gateway.caller_limits,
        gateway.bounds.held,
        gateway.bounds.caller_connections,
        turns,
    )
    http_server = HttpServer(
        ControlHandler(gateway).handle,
        encode_control_failure,
        clock,
        _CONTROL_LIMITS._replace(connections=gateway.bounds.control_connections),
        held=gateway.bounds.held,
        turns=turns,
        costly_paths=COSTLY_PATHS,
    )
    frontend = CallerFrontend(
        lambda: caller_server.run(addresses.front),
        caller_server.drain,
        caller_server.close,
        lambda: caller_server.running_requests,
    )
    control_addresses = sorted(
        {addresses.ready, addresses.control, addresses.directory}
    )
    return frontend, [
        _control_server_on(http_server, address) for address in control_addresses
    ]


def _control_server_on(http_server: HttpServer, address: Address) -> ControlServer:
    return ControlServer(lambda: http_server.run(http_server.listen(address)))
