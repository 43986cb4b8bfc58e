"""The INI settings file of a process: its name, addresses and peers."""

from configparser import ConfigParser, Error as IniError
from ipaddress import ip_address
from pathlib import Path
from typing import NamedTuple

from expression import Error, Ok, Result

from lovagetray._gateway_settings import DEFAULT_CONNECTION_SHARE
from lovagetray._settings_errors import InvalidSettings, SettingProblem
from lovagetray._types import Address


class ProcessSettings(NamedTuple):
    """Settings that a process reads from its own file.

    Parameters
    ----------
    data_folder
        Folder of the durable state; None on an instance without a disk.
    voters
        Instances that vote when the system starts for the first time.
    operators
        SHA-256 digests of the operators' tokens in hexadecimal, by operator.
    connection_share
        Share of a processor that a connection may use without waiting for turns.
    """

    name: str
    data_centre: str
    http_address: Address
    peer_address: Address
    data_folder: Path | None
    peers: dict[str, Address]
    voters: tuple[str, ...]
    operators: dict[str, str]
    connection_share: float = DEFAULT_CONNECTION_SHARE


class ProcessKey(NamedTuple):
    """One key of the settings file of a process.

    Parameters
    ----------
    name
        The key; a placeholder in angle brackets if the operator chooses it.
    expected
        Format of the values.
    """

    section: str
    name: str
    expected: str
    required: bool
    meaning: str


PROCESS_KEYS: tuple[ProcessKey, ...] = (
    ProcessKey(
        "instance",
        "name",
        "a name",
        True,
        "Name of the instance; its peers and voters use it.",
    ),
    ProcessKey(
        "instance",
        "data_centre",
        "a name",
        True,
        "Data centre of the instance; callers and targets in it are preferred.",
    ),
    ProcessKey(
        "instance", "host", "an IP address", True, "Address that the instance binds."
    ),
    ProcessKey(
        "instance", "http_port", "1 to 65535", True, "Port for callers and operators."
    ),
    ProcessKey(
        "instance", "peer_port", "1 to 65535", True, "Port for other instances."
    ),
    ProcessKey(
        "instance",
        "data_folder",
        "a folder",
        False,
        "Where the durable state lives; left out on an instance without a disk.",
    ),
    ProcessKey(
        "instance",
        "connection_share",
        "a percentage from 1 to 100",
        False,
        "Part of a processor that a connection may use without waiting for turns; 5.",
    ),
    ProcessKey(
        "peers",
        "<instance>",
        "IP:port",
        False,
        "Peer address of another instance; the key is its name.",
    ),
    ProcessKey(
        "agreement",
        "voters",
        "names of instances",
        False,
        "Instances that vote when the system starts first; each needs a data folder.",
    ),
    ProcessKey(
        "operators",
        "<operator>",
        "64 hexadecimal digits",
        False,
        "SHA-256 digest of an operator's token; the key is the operator's name.",
    ),
)

# Sections whose keys are names that the operator chooses.
_FREE_KEY_SECTIONS = {key.section for key in PROCESS_KEYS if key.name.startswith("<")}
_KNOWN_KEYS: dict[str, set[str]] = {}
for _key in PROCESS_KEYS:
    if _key.section not in _FREE_KEY_SECTIONS:
        _KNOWN_KEYS.setdefault(_key.section, set()).add(_key.name)

_DIGEST_HEX_DIGITS = 64


class _Reader:
    """Reader of the values of one settings file, which collects its problems."""

    def __init__(self, file: str, parser: ConfigParser) -> None:
        self._file = file
        self._parser = parser
        self._problems: list[SettingProblem] = []

    @property
    def problems(self) -> tuple[SettingProblem, ...]:
        return tuple(self._problems)

    def add_problem(self, section: str, key: str, found: str, expected: str) -> None:
        self._problems.append(SettingProblem(self._file, section, key, found, expected))

    def text(self, section: str, key: str, expected: str) -> str:
        value = self._parser.get(section, key, fallback="").strip()
        if not value:
            self.add_problem(section, key, "", expected)
        return value

    def host(self, section: str, key: str) -> str:
        value = self.text(section, key, "an IP address")
        if value:
            self._check_host(section, key, value)
        return value

    def port(self, section: str, key: str) -> int:
        return self._port(section, key, self.text(section, key, "a port"))

    def address(self, section: str, key: str) -> Address:
        value = self.text(section, key, "IP:port")
        host, colon, port = value.rpartition(":")
        if not colon:
            self.add_problem(section, key, value, "IP:port")
            return Address("", 0)
        self._check_host(section, key, host)
        return Address(host, self._port(section, key, port))

    def check_names(self) -> None:
        for section in self._parser.sections():
            if section in _FREE_KEY_SECTIONS:
                continue
            if section not in _KNOWN_KEYS:
                self.add_problem(section, "", section, "a known section")
                continue
            for key in self._parser[section]:
                if key not in _KNOWN_KEYS[section]:
                    known = ", ".join(sorted(_KNOWN_KEYS[section]))
                    self.add_problem(section, key, key, f"one of {known}")

    def keys(self, section: str) -> list[str]:
        if not self._parser.has_section(section):
            return []
        return list(self._parser[section])

    def share(self, section: str, key: str, default: float) -> float:
        value = self._parser.get(section, key, fallback="").strip()
        if not value:
            return default
        if value.isdecimal() and 1 <= int(value) <= 100:
            return int(value) / 100
        self.add_problem(section, key, value, "a percentage from 1 to 100")
        return default

    def _check_host(self, section: str, key: str, value: str) -> None:
        try:
            ip_address(value)
        except ValueError:
            self.add_problem(section, key, value, "an IP address")

    def _port(self, section: str, key: str, value: str) -> int:
        if value.isdecimal() and 1 <= int(value) <= 65535:
            return int(value)
        if value:
            self.add_problem(section, key, value, "a port from 1 to 65535")
        return 0


def read_process_settings(path: Path) -> Result[ProcessSettings, InvalidSettings]:
    """Return the settings of a process, or all problems of the file."""
    parser = ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeDecodeError, IniError) as error:
        problem = SettingProblem(str(path), "", "", str(error), "a readable INI file")
        return Error(InvalidSettings((problem,)))
    reader = _Reader(str(path), parser)
    reader.check_names()
    settings = _read_settings(reader, parser)
    if reader.problems:
        return Error(InvalidSettings(reader.problems))
    return Ok(settings)


def _read_settings(reader: _Reader, parser: ConfigParser) -> ProcessSettings:
    host = reader.host("instance", "host")
    name = reader.text("instance", "name", "the name of the instance")
    peers = {key: reader.address("peers", key) for key in reader.keys("peers")}
    folder = parser.get("instance", "data_folder", fallback="").strip()
    voters = parser.get("agreement", "voters", fallback="").replace(",", " ").split()
    if not voters:
        reader.add_problem("agreement", "voters", "", "the names of the initial voters")
    for voter in voters:
        if voter != name and voter not in peers:
            reader.add_problem("agreement", "voters", voter, "this instance or a peer")
    if name in voters and not folder:
        reader.add_problem("instance", "data_folder", "", "a folder (voters need one)")
    return ProcessSettings(
        name=name,
        data_centre=reader.text("instance", "data_centre", "a data centre"),
        http_address=Address(host, reader.port("instance", "http_port")),
        peer_address=Address(host, reader.port("instance", "peer_port")),
        data_folder=Path(folder) if folder else None,
        peers=peers,
        voters=tuple(voters),
        operators={key: _read_digest(reader, key) for key in reader.keys("operators")},
        connection_share=reader.share(
            "instance", "connection_share", DEFAULT_CONNECTION_SHARE
        ),
    )


def _read_digest(reader: _Reader, operator: str) -> str:
    value = reader.text("operators", operator, "a SHA-256 digest").lower()
    if len(value) != _DIGEST_HEX_DIGITS or not set(value) <= set("0123456789abcdef"):
        reader.add_problem(
            "operators", operator, value, "a SHA-256 digest in hexadecimal"
        )
    return value
