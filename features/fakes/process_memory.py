"""Memory and descriptors that a process takes, with what the kernel holds for it."""

from os import listdir, stat
from pathlib import Path
from resource import getpagesize
from socket import AF_INET, AF_NETLINK, IPPROTO_TCP, SOCK_RAW, inet_aton, socket
from struct import calcsize, pack, unpack_from
from typing import NamedTuple

# Of sock_diag(7): the query of all TCP sockets, with their memory.
_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST_AND_DUMP = 0x301
_DONE = 3
_ALL_STATES = 0xFFFFFFFF
_SOCKET_MEMORY = 7
_HEADER = "=IHHII"
_MESSAGE_BYTES = 72
_SOURCE_OFFSET = 8
_ADDRESS_BYTES = 4
_INODE_OFFSET = 68
_RECEIVED, _QUEUED_TO_SEND, _OPTIONS = 0, 5, 6
_BUFFER_BYTES = 1 << 20


class ProcessUse(NamedTuple):
    """What a process takes of its machine.

    Parameters
    ----------
    resident_bytes
        Resident memory of the process.
    socket_bytes
        Memory that the kernel holds for its sockets.
    """

    resident_bytes: int
    socket_bytes: int
    descriptors: int

    @property
    def bytes(self) -> int:
        """Resident memory and that of the sockets."""
        return self.resident_bytes + self.socket_bytes


def process_use(pid: int, own_host: str | None) -> ProcessUse | None:
    """Return what a process takes, or None if it has ended.

    Parameters
    ----------
    own_host
        IPv4 address that only this process listens on; connections to it that the
        process has not accepted yet count as well. None if there is no such address.
    """
    process = Path(f"/proc/{pid}")
    try:
        pages = int((process / "statm").read_text().split()[1])
        numbers = listdir(process / "fd")
    except (OSError, IndexError):
        return None
    inodes = set()
    for number in numbers:
        try:
            inodes.add(stat(process / "fd" / number).st_ino)
        except OSError:
            # Closed since the descriptors were listed.
            pass
    return ProcessUse(
        pages * getpagesize(), _socket_bytes(inodes, own_host), len(numbers)
    )


def _socket_bytes(inodes: set[int], own_host: str | None) -> int:
    address = b"" if own_host is None else inet_aton(own_host)
    total = 0
    for message in _dump_tcp_sockets():
        (inode,) = unpack_from("=I", message, _INODE_OFFSET)
        source = message[_SOURCE_OFFSET : _SOURCE_OFFSET + _ADDRESS_BYTES]
        if inode in inodes or source == address:
            total += _memory(message)
    return total


def _dump_tcp_sockets() -> list[bytes]:
    """Return the description of each IPv4 TCP socket of the machine."""
    request = pack(
        "=BBBBI48x", AF_INET, IPPROTO_TCP, 1 << (_SOCKET_MEMORY - 1), 0, _ALL_STATES
    )
    header_bytes = calcsize(_HEADER)
    size = header_bytes + len(request)
    messages: list[bytes] = []
    with socket(AF_NETLINK, SOCK_RAW, _NETLINK_SOCK_DIAG) as link:
        header = pack(_HEADER, size, _SOCK_DIAG_BY_FAMILY, _REQUEST_AND_DUMP, 1, 0)
        link.send(header + request)
        while True:
            data = link.recv(_BUFFER_BYTES)
            while data:
                length, kind, *_ = unpack_from(_HEADER, data)
                if kind == _DONE:
                    return messages
                messages.append(data[header_bytes:length])
                # Messages and attributes begin at multiples of 4 bytes.
                data = data[(length + 3) & ~3 :]


def _memory(message: bytes) -> int:
    """Return the memory of a socket, with the overhead of its packets."""
    offset = _MESSAGE_BYTES
    while offset + 4 <= len(message):
        length, kind = unpack_from("=HH", message, offset)
        if kind == _SOCKET_MEMORY:
            values = unpack_from("=9I", message, offset + 4)
            return int(values[_RECEIVED] + values[_QUEUED_TO_SEND] + values[_OPTIONS])
        offset += (length + 3) & ~3
    return 0
