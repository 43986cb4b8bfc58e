"""Decoding of the settings file of a gateway process on the platform."""

from datetime import timedelta
from math import inf
from os import environ
from pathlib import Path
from tomllib import TOMLDecodeError, loads

from expression import Error, Ok, Result
from msgspec import Struct, ValidationError, convert, field

from lovagetray._gateway_settings import (
    DEFAULT_CONNECTION_SHARE,
    ColdLimits,
    GatewayAddresses,
    GatewaySettings,
    Placement,
    QuotaLimits,
    RetryBudgetLimits,
)
from lovagetray._settings_errors import InvalidSettings, SettingProblem
from lovagetray._types import Address, InstanceCapacity

_PATH_VARIABLE = "LOVAGETRAY_SETTINGS"
_DEFAULT_PATH = "/etc/lovagetray/settings.toml"
_PLACEMENT_VARIABLE = "LOVAGETRAY_PLACEMENT"
# In percent of a processor.
_CONNECTION_SHARE_VARIABLE = "LOVAGETRAY_CONNECTION_SHARE"
_MEGABYTE = 1024 * 1024


class _BindAddresses(Struct):
    front: str = field(name="Front")
    ready: str = field(name="Ready")
    control: str = field(name="Control")
    directory: str = field(name="directory")


class _FaultTolerance(Struct):
    tolerated_failures: int = field(name="Machines", default=0)


class _Bounds(Struct):
    grace_period_seconds: float = field(name="GraceS")
    address_lifetime_seconds: float = field(name="ttl_max_s", default=5.0)
    retry_budget_ratio: float = field(name="RetryBudgetRatio", default=0.0)
    retry_budget_window_seconds: float = field(name="RetryWindowS", default=10.0)
    retry_budget_fixed: float = field(name="RetrySlack", default=0.0)
    document_delay_ms: float = field(name="ConfigApplyMs", default=4_000)
    strict_revocation: bool = field(name="StrictRevoke", default=False)
    revocation_ms: float = field(name="RevokeMs", default=5_000)
    quota_window_seconds: float = field(name="QuotaWindowS", default=5)
    quota_overshoot: float = field(name="QuotaOvershoot", default=0.0)
    quota_slack: float = field(name="QuotaSlack", default=0.0)
    cold_overshoot: float = field(name="WarmupOvershoot", default=1.0)
    cold_slack: float = field(name="WarmupSlack", default=0.0)


class _Limits(Struct):
    # Share of the time for which the machine may use its one processor core.
    processor_share: float = field(name="CpuShare", default=0.0)
    # Speed of that core; despite its name it is no number of cores.
    processor_speed: float = field(name="CpuCores", default=1.0)
    link_mbps: float = field(name="LinkMbps", default=0.0)
    memory_mb: float = field(name="MemoryMb", default=0.0)
    max_descriptors: int = field(name="MaxFds", default=0)


class _SettingsFile(Struct):
    ip: str = field(name="Ip")
    data_centre: str = field(name="Zone")
    # First and last port for traffic between instances; only the first is used.
    port_range: tuple[int, int] = field(name="PortRange")
    # Control addresses of other instances.
    seeds: list[str] = field(name="SeedNodes")
    first_start: bool = field(name="FirstStart")
    bind_addresses: _BindAddresses = field(name="BindAddrs")
    bounds: _Bounds = field(name="Bounds")
    notice_interval_ms: float = field(name="HeartbeatMs")
    data_dir: str = field(name="DataDir", default="")
    tolerance: _FaultTolerance = field(
        name="FaultTolerance", default_factory=_FaultTolerance
    )
    limits: _Limits = field(name="Limits", default_factory=_Limits)


def settings_file() -> Path:
    """Return the path that `LOVAGETRAY_SETTINGS` names, or the default path."""
    return Path(environ.get(_PATH_VARIABLE, _DEFAULT_PATH))


def read_settings(path: Path) -> Result[GatewaySettings, InvalidSettings]:
    """Return the settings in a file, or the problem with it."""
    try:
        file = convert(loads(path.read_text()), _SettingsFile)
        return Ok(_to_gateway_settings(file))
    except (
        OSError,
        TOMLDecodeError,
        ValidationError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as error:
        problem = SettingProblem(
            str(path), "", "", str(error), "valid settings of a gateway process"
        )
        return Error(InvalidSettings((problem,)))


def _to_gateway_settings(file: _SettingsFile) -> GatewaySettings:
    peer_port = file.port_range[0]
    bind_addresses = file.bind_addresses
    # All instances use the same peer port, so a seed's host gives its peer address.
    seeds = tuple(Address(Address.parse(seed).host, peer_port) for seed in file.seeds)
    return GatewaySettings(
        data_centre=file.data_centre,
        addresses=GatewayAddresses(
            front=Address.parse(bind_addresses.front),
            ready=Address.parse(bind_addresses.ready),
            control=Address.parse(bind_addresses.control),
            directory=Address.parse(bind_addresses.directory),
            peer=Address(file.ip, peer_port),
        ),
        data_folder=Path(file.data_dir) / "log" if file.data_dir else None,
        seeds=seeds,
        first_start=file.first_start,
        tolerated_failures=file.tolerance.tolerated_failures,
        notice_interval=timedelta(milliseconds=file.notice_interval_ms),
        grace_period=timedelta(seconds=file.bounds.grace_period_seconds),
        address_lifetime=timedelta(seconds=file.bounds.address_lifetime_seconds),
        retry_budget=RetryBudgetLimits(
            file.bounds.retry_budget_ratio,
            int(file.bounds.retry_budget_fixed),
            timedelta(seconds=file.bounds.retry_budget_window_seconds),
        ),
        capacity=_capacity(file.limits, bool(file.data_dir)),
        revocation_limit=_revocation_limit(file.bounds),
        document_delay=timedelta(milliseconds=file.bounds.document_delay_ms),
        quota=QuotaLimits(
            timedelta(seconds=file.bounds.quota_window_seconds),
            file.bounds.quota_overshoot,
            file.bounds.quota_slack,
        ),
        cold_limits=ColdLimits(file.bounds.cold_overshoot, file.bounds.cold_slack),
        memory_bytes=int(file.limits.memory_mb * _MEGABYTE) or None,
        max_descriptors=file.limits.max_descriptors or None,
        placement=Placement(environ.get(_PLACEMENT_VARIABLE, Placement.LATENCY.value)),
        connection_share=_connection_share(environ.get(_CONNECTION_SHARE_VARIABLE)),
    )


def _connection_share(percent: str | None) -> float:
    """Return the share of a processor that a connection may use.

    Raises
    ------
    ValueError
        If the value is not a percentage from 1 to 100.
    """
    if percent is None:
        return DEFAULT_CONNECTION_SHARE
    if not (percent.isdecimal() and 1 <= int(percent) <= 100):
        raise ValueError(
            f"{_CONNECTION_SHARE_VARIABLE} is {percent!r}, expected 1 to 100 percent"
        )
    return int(percent) / 100


def _revocation_limit(bounds: _Bounds) -> timedelta | None:
    if not bounds.strict_revocation:
        return None
    return timedelta(milliseconds=bounds.revocation_ms)


def _capacity(limits: _Limits, disk: bool) -> InstanceCapacity | None:
    """Return the capacity of the machine, or None if it is not stated."""
    cores = limits.processor_share * limits.processor_speed
    if not (0 < cores < inf and 0 < limits.link_mbps < inf):
        return None
    return InstanceCapacity(cores, limits.link_mbps, disk)
