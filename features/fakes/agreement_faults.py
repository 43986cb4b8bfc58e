"""A network, disks and clocks that fail in every way the replicated log must bear."""

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
    """The machine of one instance: its clock's error, and whether it is frozen."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.frozen_until = 0.0
        self.restart_clock()

    def restart_clock(self) -> None:
        """Start the clocks anew, as a reboot does."""
        self.rate = self.random.uniform(0.98, 1.02)
        self.offset = self.random.uniform(0, 10_000)
        self.wall_error = self.random.uniform(-2, 2)

    @property
    def frozen(self) -> bool:
        return time.monotonic() < self.frozen_until

    async def gate(self) -> None:
        """Hold the calling task while the host is frozen."""
        while self.frozen:
            await sleep(self.frozen_until - time.monotonic())


class HostClock:
    """A clock with an error; its tasks stand still while the host is frozen.

    It keeps the error that the host had when the process started.
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
        await self._host.gate()

    async def with_timeout(
        self, limit: timedelta, work: Awaitable[Any]
    ) -> Result[Any, TimedOut]:
        seconds = max(0.0, limit.total_seconds() / self._rate)
        try:
            done = Ok(await timeout_after(seconds, work))
        except TaskTimeout:
            done = Error(TimedOut(limit))
        await self._host.gate()
        return done


class Store:
    """What is on a disk, and what of it would survive a crash now."""

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
        """Keep synced content, and any part of the rest, perhaps damaged."""
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
        """Change a byte of a log record before another; return False without one."""
        data = bytearray(self.durable.get("log", b""))
        valid_bytes = decode_log(bytes(data)).ok.valid_bytes
        last = data.rfind(b"LTr1", 1, valid_bytes)
        if last < 0:
            return False
        data[self._random.randrange(last)] ^= 0x10
        self.durable["log"] = self.current["log"] = bytes(data)
        return True

    def lose(self) -> None:
        """Forget everything, as a replaced disk does."""
        self.durable, self.current = {}, {}
        self._replaced.clear()


class Session:
    """One run of a process: when it ends, its disk and network calls end too.

    Parameters
    ----------
    crash
        Called when a planned crash point is reached.
    """

    def __init__(self, host: Host, crash: Callable[[], Awaitable[None]]) -> None:
        self.host = host
        self.alive = True
        self.syncs_to_crash: int | None = None
        self._crash = crash

    async def crash_point(self) -> None:
        """Crash here if this is the planned point."""
        if self.syncs_to_crash is not None:
            self.syncs_to_crash -= 1
            if self.syncs_to_crash <= 0:
                self.alive = False
                await self._crash()
        if not self.alive:
            await Event().wait()


class SessionDisk:
    """The disk of one run; slow, and a crash point before and after each sync."""

    def __init__(self, store: Store, session: Session) -> None:
        self._store = store
        self._session = session

    async def read(self, file: str) -> bytes | None:
        await self._work()
        return self._store.current.get(file)

    async def append(self, file: str, data: bytes) -> None:
        await self._work()
        self._store.append(file, data)

    async def sync(self, file: str) -> None:
        await self._work()
        self._store.sync(file)
        await self._session.crash_point()

    async def replace(self, file: str, data: bytes) -> None:
        await self._work()
        self._store.replace(file, data)
        await self._session.crash_point()

    async def sync_folder(self) -> None:
        await self._work()
        self._store.sync_folder()
        await self._session.crash_point()

    async def _work(self) -> None:
        host = self._session.host
        slow = host.random.random() < 0.01
        await sleep(host.random.uniform(0.05, 0.4) if slow else 0.001)
        await host.gate()
        await self._session.crash_point()


class Network:
    """Loses, delays, doubles and reorders messages, and cuts links.

    Parameters
    ----------
    deliver
        Called with sender, receiver and message; returns False to try later.
    tap
        Sees every message that is sent.
    """

    def __init__(
        self,
        random: Random,
        deliver: Callable[[str, str, AgreementMessage], Awaitable[bool]],
        tap: Callable[[str, AgreementMessage], None],
    ) -> None:
        self._random = random
        self._deliver = deliver
        self._tap = tap
        self._waiting: list[tuple[float, int, str, str, AgreementMessage]] = []
        self._order = count()
        self._sent = Event()
        self.loss = 0.0
        self.doubling = 0.0
        self.longest_delay = 0.005
        self.cuts: set[tuple[str, str]] = set()
        self.appends_to_cut: dict[str, int] = {}

    def isolate_instance(self, name: str, others: Iterable[str]) -> None:
        """Cut an instance off from others in both directions."""
        for other in others:
            if other != name:
                self.cuts |= {(name, other), (other, name)}

    async def send(self, sender: str, name: str, message: AgreementMessage) -> None:
        self._tap(sender, message)
        match message:
            case AppendEntries(entries=[_, *_]) if sender in self.appends_to_cut:
                self.appends_to_cut[sender] -= 1
                if self.appends_to_cut[sender] <= 0:
                    others = list(self.appends_to_cut)
                    del self.appends_to_cut[sender]
                    self.isolate_instance(sender, others)
        if (sender, name) in self.cuts or self._random.random() < self.loss:
            return
        copies = 2 if self._random.random() < self.doubling else 1
        for _ in range(copies):
            delay = self._random.uniform(0.0005, self.longest_delay)
            if self._random.random() < self.doubling / 4:
                delay += self._random.uniform(0, 5)
            await self._push(time.monotonic() + delay, sender, name, message)

    async def run(self) -> None:
        while True:
            due = self._waiting[0][0] if self._waiting else time.monotonic() + 60
            left = due - time.monotonic()
            if left > 0:
                self._sent.clear()
                try:
                    await timeout_after(left, self._sent.wait)
                except TaskTimeout:
                    pass
                continue
            _, _, sender, name, message = heappop(self._waiting)
            if (sender, name) in self.cuts:
                continue
            if not await self._deliver(sender, name, self._through_codec(message)):
                later = time.monotonic() + 0.05
                await self._push(later, sender, name, message)

    async def _push(self, due: float, *rest: Any) -> None:
        heappush(self._waiting, (due, next(self._order), *rest))
        await self._sent.set()

    def _through_codec(self, message: AgreementMessage) -> AgreementMessage:
        """Send one message in 20 through the real encoding, which is slow."""
        if self._random.random() > 0.05:
            return message
        envelope = Envelope(InstanceId("sender", "1"), message)
        decoded = decode_envelope(encode_envelope(envelope)).ok.message
        assert decoded == message, (decoded, message)
        return decoded


class SessionLink:
    """The network as one run of a process sees it."""

    def __init__(self, network: Network, name: str, session: Session) -> None:
        self._network = network
        self._name = name
        self._session = session

    async def send(self, name: str, message: AgreementMessage) -> None:
        if self._session.alive:
            await self._network.send(self._name, name, message)
