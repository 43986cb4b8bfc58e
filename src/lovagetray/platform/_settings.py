"""The settings file of a process on the platform."""

from datetime import timedelta
from os import environ
from pathlib import Path
from tomllib import TOMLDecodeError, loads

from expression import Error, Ok, Result
from msgspec import Struct, ValidationError, convert, field

from lovagetray._gateway_settings import (
    GatewayAddresses,
    GatewaySettings,
    RetryBudgetLimits,
)
from lovagetray._settings_errors import InvalidSettings, SettingProblem
from lovagetray._types import Address

_VARIABLE = "LOVAGETRAY_SETTINGS"
_DEFAULT_PATH = "/etc/lovagetray/settings.toml"


class _BindAddrs(Struct):
    front: str = field(name="Front")
    ready: str = field(name="Ready")
    control: str = field(name="Control")
    directory: str = field(name="directory")


class _FaultTolerance(Struct):
    machines: int = field(name="Machines", default=0)


class _Bounds(Struct):
    grace_seconds: float = field(name="GraceS")
    address_lifetime_seconds: float = field(name="ttl_max_s", default=5.0)
    retry_ratio: float = field(name="RetryBudgetRatio", default=0.0)
    retry_window_seconds: float = field(name="RetryWindowS", default=10.0)
    retry_slack: float = field(name="RetrySlack", default=0.0)


class _File(Struct):
    ip: str = field(name="Ip")
    zone: str = field(name="Zone")
    # First and last port for traffic between instances.
    ports: tuple[int, int] = field(name="PortRange")
    # Control addresses of other instances.
    seeds: list[str] = field(name="SeedNodes")
    first_start: bool = field(name="FirstStart")
    listen: _BindAddrs = field(name="BindAddrs")
    bounds: _Bounds = field(name="Bounds")
    heartbeat_ms: float = field(name="HeartbeatMs")
    data_dir: str = field(name="DataDir", default="")
    tolerance: _FaultTolerance = field(
        name="FaultTolerance", default_factory=_FaultTolerance
    )


def settings_file() -> Path:
    """Return the path of the settings file of this process."""
    return Path(environ.get(_VARIABLE, _DEFAULT_PATH))


def read_settings(path: Path) -> Result[GatewaySettings, InvalidSettings]:
    """Return the settings in a file, or what is wrong with it."""
    try:
        file = convert(loads(path.read_text()), _File)
        return Ok(_settings(file))
    except (OSError, TOMLDecodeError, ValidationError, ValueError) as error:
        problem = SettingProblem(
            str(path), "", "", str(error), "the settings of a process"
        )
        return Error(InvalidSettings((problem,)))


def _settings(file: _File) -> GatewaySettings:
    peer_port = file.ports[0]
    listen = file.listen
    # Ports are the same on all machines, so a seed's host tells its peer address.
    seeds = tuple(Address(Address.parse(seed).host, peer_port) for seed in file.seeds)
    return GatewaySettings(
        data_centre=file.zone,
        addresses=GatewayAddresses(
            front=Address.parse(listen.front),
            ready=Address.parse(listen.ready),
            control=Address.parse(listen.control),
            directory=Address.parse(listen.directory),
            peer=Address(file.ip, peer_port),
        ),
        data_folder=Path(file.data_dir) / "log" if file.data_dir else None,
        seeds=seeds,
        first_start=file.first_start,
        tolerated_failures=file.tolerance.machines,
        notice_interval=timedelta(milliseconds=file.heartbeat_ms),
        grace_period=timedelta(seconds=file.bounds.grace_seconds),
        address_lifetime=timedelta(seconds=file.bounds.address_lifetime_seconds),
        retry_budget=RetryBudgetLimits(
            file.bounds.retry_ratio,
            int(file.bounds.retry_slack),
            timedelta(seconds=file.bounds.retry_window_seconds),
        ),
    )
