"""Network, disks and clocks with every fault that the replicated log must tolerate."""

import time
from collections.abc import Awaitable, Callable, Iterable
from datetime import datetime, timedelta, timezone
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from curio import Event, TaskTimeout, sleep, timeout_after
from expression import Error, Ok, Result

from lovagetray._errors import TimedOut
from lovagetray._peer_messages import AgreementMessage, AppendEntries, Envelope
from lovagetray._types import InstanceId
from lovagetray.wire import decode_envelope, decode_log, encode_envelope

_EPOCH = datetime(2026, 1, 1, tzinfo=timezone.utc)


class Host:
    """Machine of one instance, with clock errors, that can be frozen."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.frozen_until = 0.0
        self.restart_clock()

    def restart_clock(self) -> None:
        """Draw new clock errors, as after a reboot."""
        self.rate = self.random.uniform(0.98, 1.02)
        self.offset = self.random.uniform(0, 10_000)
        self.wall_error = self.random.uniform(-2, 2)

    @property
    def frozen(self) -> bool:
        return time.monotonic() < self.frozen_until

    async def wait_while_frozen(self) -> None:
        """Return once the host is not frozen."""
        while self.frozen:
            await sleep(self.frozen_until - time.monotonic())


class HostClock:
    """Clock of one process, with the errors of its host.

    Rate and offset are those that the host had when the process started. `sleep` and
    `with_timeout` return only while the host is not frozen.
    """

    def __init__(self, host: Host) -> None:
        self._host = host
        self._rate = host.rate
        self._offset = host.offset

    def now(self) -> datetime:
        return _EPOCH + timedelta(seconds=time.monotonic() + self._host.wall_error)

    def monotonic_time(self) -> timedelta:
        return timedelta(seconds=self._offset + time.monotonic() * self._rate)

    async def sleep(self, duration: timedelta) -> None:
        await sleep(max(0.0, duration.total_seconds() / self._rate))
        await self._host.wait_while_frozen()

    async def with_timeout(
        self, timeout: timedelta, work: Awaitable[Any]
    ) -> Result[Any, TimedOut]:
        seconds = max(0.0, timeout.total_seconds() / self._rate)
        try:
            result = Ok(await timeout_after(seconds, work))
        except TaskTimeout:
            result = Error(TimedOut(timeout))
        await self._host.wait_while_frozen()
        return result


class DiskContent:
    """Files of a disk: their current content and the part that is durable."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.durable: dict[str, bytes] = {}
        self.current: dict[str, bytes] = {}
        self._replaced: set[str] = set()

    def append(self, file: str, data: bytes) -> None:
        self.current[file] = self.current.get(file, b"") + data

    def sync(self, file: str) -> None:
        if file not in self._replaced:
            self.durable[file] = self.current[file]

    def replace(self, file: str, data: bytes) -> None:
        self.current[file] = data
        self._replaced.add(file)

    def sync_folder(self) -> None:
        for file in self._replaced:
            self.durable[file] = self.current[file]
        self._replaced.clear()

    def crash(self) -> None:
        """Keep synced content and a random part of the rest, possibly damaged."""
        for file in sorted(self.current):
            if file in self._replaced:
                if self._random.random() < 0.5:
                    self.durable[file] = self.current[file]
                continue
            synced = self.durable.get(file, b"")
            tail = bytearray(self.current[file][len(synced) :])
            del tail[self._random.randint(0, len(tail)) :]
            if tail and self._random.random() < 0.5:
                tail[self._random.randrange(len(tail))] ^= 0x55
            if tail or file in self.durable:
                self.durable[file] = synced + bytes(tail)
        self.current = dict(self.durable)
        self._replaced.clear()

    def damage(self) -> bool:
        """Change a byte of the log; return False if there is none to change.

        The byte is in a record that another one follows, because a damaged last
        record counts as a torn write.
        """
        data = bytearray(self.durable.get("log", b""))
        valid_bytes = decode_log(bytes(data)).ok.valid_bytes
        last = data.rfind(b"LTr1", 1, valid_bytes)
        if last < 0:
            return False
        data[self._random.randrange(last)] ^= 0x10
        self.durable["log"] = self.current["log"] = bytes(data)
        return True

    def erase(self) -> None:
        """Remove all files, as a replaced disk has none."""
        self.durable, self.current = {}, {}
        self._replaced.clear()


class Process:
    """One run of an instance's process; its disk and transport stop working with it.

    Parameters
    ----------
    crash
        Called when the planned crash point is reached.
    """

    def __init__(self, host: Host, crash: Callable[[], Awaitable[None]]) -> None:
        self.host = host
        self.alive = True
        self.syncs_until_crash: int | None = None
        self._crash = crash

    async def crash_point(self) -> None:
        """Crash if this is the planned crash point; never return after a crash."""
        if self.syncs_until_crash is not None:
            self.syncs_until_crash -= 1
            if self.syncs_until_crash <= 0:
                self.alive = False
                await self._crash()
        if not self.alive:
            await Event().wait()


class ProcessDisk:
    """Disk of one process, with delays and crash points.

    A crash is possible before each operation and after each sync and replacement.
    """

    def __init__(self, content: DiskContent, process: Process) -> None:
        self._content = content
        self._process = process

    async def read(self, file: str) -> bytes | None:
        await self._work()
        return self._content.current.get(file)

    async def append(self, file: str, data: bytes) -> None:
        await self._work()
        self._content.append(file, data)

    async def sync(self, file: str) -> None:
        await self._work()
        self._content.sync(file)
        await self._process.crash_point()

    async def replace(self, file: str, data: bytes) -> None:
        await self._work()
        self._content.replace(file, data)
        await self._process.crash_point()

    async def sync_folder(self) -> None:
        await self._work()
        self._content.sync_folder()
        await self._process.crash_point()

    async def _work(self) -> None:
        host = self._process.host
        slow = host.random.random() < 0.01
        await sleep(host.random.uniform(0.05, 0.4) if slow else 0.001)
        await host.wait_while_frozen()
        await self._process.crash_point()


class Network:
    """Network that loses, delays, duplicates and reorders messages and cuts links.

    Parameters
    ----------
    deliver
        Called with sender, receiver and message; returns False to be called again
        later.
    on_send
        Called with the sender and every message that is sent, also if it gets lost.
    """

    def __init__(
        self,
        random: Random,
        deliver: Callable[[str, str, AgreementMessage], Awaitable[bool]],
        on_send: Callable[[str, AgreementMessage], None],
    ) -> None:
        self._random = random
        self._deliver = deliver
        self._on_send = on_send
        self._queue: list[tuple[float, int, str, str, AgreementMessage]] = []
        self._sequence = count()
        self._scheduled = Event()
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay = 0.005
        self.cut_links: set[tuple[str, str]] = set()
        self.appends_until_cut: dict[str, int] = {}

    def isolate_instance(self, name: str, others: Iterable[str]) -> None:
        """Cut the links between an instance and others in both directions."""
        for other in others:
            if other != name:
                self.cut_links |= {(name, other), (other, name)}

    async def send(self, sender: str, name: str, message: AgreementMessage) -> None:
        self._on_send(sender, message)
        match message:
            case AppendEntries(entries=entries, compressed=compressed) if (
                entries or compressed
            ) and sender in self.appends_until_cut:
                self.appends_until_cut[sender] -= 1
                if self.appends_until_cut[sender] <= 0:
                    others = list(self.appends_until_cut)
                    del self.appends_until_cut[sender]
                    self.isolate_instance(sender, others)
        if (sender, name) in self.cut_links or self._random.random() < self.loss:
            return
        copies = 2 if self._random.random() < self.duplication else 1
        for _ in range(copies):
            delay = self._random.uniform(0.0005, self.max_delay)
            if self._random.random() < self.duplication / 4:
                delay += self._random.uniform(0, 5)
            await self._schedule(time.monotonic() + delay, sender, name, message)

    async def run(self) -> None:
        while True:
            due = self._queue[0][0] if self._queue else time.monotonic() + 60
            remaining = due - time.monotonic()
            if remaining > 0:
                self._scheduled.clear()
                try:
                    await timeout_after(remaining, self._scheduled.wait)
                except TaskTimeout:
                    pass
                continue
            _, _, sender, name, message = heappop(self._queue)
            if (sender, name) in self.cut_links:
                continue
            if not await self._deliver(sender, name, self._encode_and_decode(message)):
                later = time.monotonic() + 0.05
                await self._schedule(later, sender, name, message)

    async def _schedule(self, due: float, *rest: Any) -> None:
        heappush(self._queue, (due, next(self._sequence), *rest))
        await self._scheduled.set()

    def _encode_and_decode(self, message: AgreementMessage) -> AgreementMessage:
        """Return the message, which for one in 20 is encoded and decoded.

        The others skip the encoding because it is slow.
        """
        if self._random.random() > 0.05:
            return message
        envelope = Envelope(InstanceId("sender", "1"), message)
        decoded = decode_envelope(encode_envelope(envelope)).ok.message
        assert decoded == message, (decoded, message)
        return decoded


class ProcessTransport:
    """Transport to the network that ends with its process."""

    def __init__(self, network: Network, name: str, process: Process) -> None:
        self._network = network
        self._name = name
        self._process = process

    async def send(self, name: str, message: AgreementMessage) -> None:
        if self._process.alive:
            await self._network.send(self._name, name, message)
