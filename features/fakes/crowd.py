"""A crowd of clients that read slowly or send in an unusual way, in one thread."""

from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from socket import IPPROTO_TCP, SO_RCVBUF, SOL_SOCKET, TCP_NODELAY, socket
from threading import Event, Thread
from time import monotonic, sleep

from fakes.process_memory import ProcessUse, process_use

_TICK_SECONDS = 0.02
_MEASURE_SECONDS = 0.1
_READ_BYTES = 64
_READ_SECONDS = 0.3
_RECEIVE_BUFFER_BYTES = 4096
# A member whose connection ends comes back after this time.
_RETURN_SECONDS = 2.0
_DISCARDED_BYTES = 65536


@dataclass(frozen=True)
class ReadsSlowly:
    """Sends requests at once and reads 64 bytes of the responses each 300 ms."""

    requests: bytes


@dataclass(frozen=True)
class SendsSteadily:
    """Sends the beginning of a request, then one piece again and again.

    Parameters
    ----------
    pieces_per_second
        Number of pieces that are due in a second.
    pieces_per_packet
        Number of pieces that are sent together if they are due.
    """

    beginning: bytes
    piece: bytes
    pieces_per_second: float
    pieces_per_packet: int


@dataclass(frozen=True)
class ReturnsAtOnce:
    """Sends a request that ends its connection, reads the response and comes again."""

    request: bytes


Behaviour = ReadsSlowly | SendsSteadily | ReturnsAtOnce


class Member:
    """One client of a crowd."""

    def __init__(self, address: tuple[str, int], behaviour: Behaviour) -> None:
        self._address = address
        self._behaviour = behaviour
        self._socket: socket | None = None
        self._rest = b""
        self._connect_at = 0.0
        self._read_at = 0.0
        self._paced_at = 0.0
        self._due = 0.0

    def advance(self, now: float) -> str:
        """Do what is due; return the status of a response, "closed" or nothing."""
        if self._socket is None:
            if now >= self._connect_at:
                self._connect(now)
            return ""
        try:
            match self._behaviour:
                case ReadsSlowly():
                    return self._read_slowly(self._socket, now)
                case SendsSteadily() as behaviour:
                    return self._send_steadily(self._socket, behaviour, now)
                case ReturnsAtOnce():
                    return self._read_and_return(self._socket)
        except BlockingIOError:
            return ""
        except OSError:
            self.close()
            self._connect_at = now + _RETURN_SECONDS
            return "closed"

    def close(self) -> None:
        """Close the connection, if any."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _connect(self, now: float) -> None:
        self._socket = socket()
        self._socket.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self._socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._socket.setblocking(False)
        self._socket.connect_ex(self._address)
        self._paced_at, self._due = now, 0.0
        match self._behaviour:
            case (
                ReadsSlowly(requests=payload)
                | SendsSteadily(beginning=payload)
                | ReturnsAtOnce(request=payload)
            ):
                self._rest = payload

    def _send_rest(self, connection: socket) -> None:
        while self._rest:
            self._rest = self._rest[connection.send(self._rest) :]

    def _read_slowly(self, connection: socket, now: float) -> str:
        with suppress(BlockingIOError):
            self._send_rest(connection)
        if now < self._read_at + _READ_SECONDS:
            return ""
        self._read_at = now
        return _status(connection.recv(_READ_BYTES))

    def _send_steadily(
        self, connection: socket, behaviour: SendsSteadily, now: float
    ) -> str:
        self._due += (now - self._paced_at) * behaviour.pieces_per_second
        self._paced_at = now
        with suppress(BlockingIOError):
            self._send_rest(connection)
            while self._due >= behaviour.pieces_per_packet:
                self._rest = behaviour.piece * behaviour.pieces_per_packet
                self._due -= behaviour.pieces_per_packet
                self._send_rest(connection)
        # What does not fit is not made up for.
        self._due = min(self._due, behaviour.pieces_per_second)
        return _status(connection.recv(_DISCARDED_BYTES))

    def _read_and_return(self, connection: socket) -> str:
        self._send_rest(connection)
        data = connection.recv(_DISCARDED_BYTES)
        if not data:
            self.close()
            return ""
        return _status(data)


def _status(data: bytes) -> str:
    """Return the status in received bytes, if they begin a response.

    Raises
    ------
    ConnectionError
        If the connection has ended.
    """
    if not data:
        raise ConnectionError("closed")
    return data[9:12].decode() if data.startswith(b"HTTP/1.1") else ""


class Crowd:
    """Members that all come at once and stay until the crowd is stopped.

    Parameters
    ----------
    pid
        The process that the crowd connects to, which is measured meanwhile.
    own_host
        IPv4 address that only this process listens on, if there is one.
    """

    def __init__(
        self,
        address: tuple[str, int],
        count: int,
        behaviour: Behaviour,
        pid: int,
        own_host: str | None,
    ) -> None:
        self._members = [Member(address, behaviour) for _ in range(count)]
        self._pid = pid
        self._own_host = own_host
        self._stopping = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self.outcomes: Counter[str] = Counter()
        self.peak = ProcessUse(0, 0, 0)
        self.peak_bytes = 0
        self.peak_descriptors = 0

    def start(self) -> None:
        """Let all members come."""
        self._thread.start()

    def stop(self) -> None:
        """Let all members leave."""
        self._stopping.set()
        self._thread.join()
        for member in self._members:
            member.close()

    def __str__(self) -> str:
        megabyte = 1024 * 1024
        return (
            f"peak {self.peak_bytes / megabyte:.0f} MB "
            f"(resident {self.peak.resident_bytes / megabyte:.0f}, "
            f"sockets {self.peak.socket_bytes / megabyte:.0f}), "
            f"{self.peak_descriptors} descriptors, {dict(self.outcomes)}"
        )

    def _run(self) -> None:
        measured_at = 0.0
        while not self._stopping.is_set():
            now = monotonic()
            for member in self._members:
                outcome = member.advance(now)
                if outcome:
                    self.outcomes[outcome] += 1
            if now >= measured_at + _MEASURE_SECONDS:
                measured_at = now
                self._measure()
            sleep(max(0.0, now + _TICK_SECONDS - monotonic()))
        self._measure()

    def _measure(self) -> None:
        use = process_use(self._pid, self._own_host)
        if use is None:
            return
        if use.bytes > self.peak_bytes:
            self.peak, self.peak_bytes = use, use.bytes
        self.peak_descriptors = max(self.peak_descriptors, use.descriptors)
