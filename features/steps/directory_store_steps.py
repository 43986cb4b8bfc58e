"""Steps for the file that keeps the directory, in virtual time."""

from datetime import datetime, timedelta, timezone
from typing import Any

from behave import given, then, when
from behave.runner import Context
from curio import sleep, spawn
from fakes.replica_script import parse_notice
from fakes.virtual_time import VirtualKernel

from lovagetray import SystemClock
from lovagetray._routing_types import ReplicaRun
from lovagetray.commands.discovery import DirectoryStore
from lovagetray.state import Relays, ReplicaDirectory

_LIFETIME = timedelta(seconds=12)
_RETENTION = timedelta(minutes=2)
_CONFIRMATION_TIME = timedelta(seconds=3.6)
_START = datetime(2026, 1, 1, tzinfo=timezone.utc)


class _Clock(SystemClock):
    """Clock whose wall time follows the virtual time."""

    def now(self) -> datetime:
        return _START + self.monotonic_time()


class _Disk:
    """A disk in memory that can refuse to read and to write."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.refuses = False

    async def read(self, file: str) -> bytes | None:
        if self.refuses:
            raise OSError("input/output error")
        return self.files.get(file)

    async def replace(self, file: str, data: bytes) -> None:
        if self.refuses:
            raise OSError("no space left on device")
        self.files[file] = data

    async def sync_folder(self) -> None:
        """Do nothing: the files are never lost."""


@given('a saved directory with "{text}"')
def save_directory(context: Context, text: str) -> None:
    context.kernel = VirtualKernel()
    context.add_cleanup(context.kernel.close)
    context.disk = _Disk()
    _start(context)
    _accept(context, text)
    _save(context)
    assert context.disk.files


@given("{replica} leaves and the directory is saved")
def leave(context: Context, replica: str) -> None:
    context.kernel.run(_call, lambda: context.directory.leave(replica, _now()))
    _save(context)


@given("{replica} states that it is leaving and the directory is saved")
def state_leaving(context: Context, replica: str) -> None:
    context.directory.mark_leaving(ReplicaRun(replica, 10))
    _save(context)


@given('"{text}" arrives and the directory is saved')
def receive_and_save(context: Context, text: str) -> None:
    _accept(context, text)
    _save(context)


@given("{seconds:d} seconds pass")
def pass_time(context: Context, seconds: int) -> None:
    context.kernel.run(sleep, seconds)
    context.kernel.run(_call, lambda: context.directory.expire(_now()))
    _save(context)


@when(
    "{replica} leaves, its departure is to be acknowledged, and the instance restarts "
    "at once"
)
def leave_and_restart(context: Context, replica: str) -> None:
    context.kernel.run(_call, lambda: context.directory.leave(replica, _now()))
    context.saved = context.kernel.run(context.store.save, timedelta(seconds=1))
    context.kernel.run(context.task.cancel)
    _start(context)


@then("the departure was on the disk")
def check_saved(context: Context) -> None:
    assert context.saved


@when("the instance restarts after {seconds:d} seconds")
def restart(context: Context, seconds: int) -> None:
    context.kernel.run(context.task.cancel)
    context.kernel.run(sleep, seconds)
    _start(context)


@when("{fault} and the instance restarts")
def restart_with_fault(context: Context, fault: str) -> None:
    context.kernel.run(context.task.cancel)
    data = context.disk.files["directory"]
    match fault:
        case "the file is damaged":
            context.disk.files["directory"] = data[:-3] + b"\xff\xff\xff"
        case "the file is empty":
            context.disk.files["directory"] = b""
        case "the file is lost":
            context.disk.files.clear()
        case _:
            context.disk.refuses = True
    _start(context)


@when('"{text}" arrives after the restart')
def receive(context: Context, text: str) -> None:
    _accept(context, text)


@when("the disk is full while notices arrive")
def fill_disk(context: Context) -> None:
    context.disk.refuses = True
    _accept(context, "r2 ready born 10 sequence 1")
    _save(context)


@then("the instance goes on and saves the directory when there is room again")
def check_saved_again(context: Context) -> None:
    context.disk.refuses = False
    context.disk.files.clear()
    context.kernel.run(sleep, 11)
    assert context.disk.files


@then("{replica} is usable after the restart")
def check_usable(context: Context, replica: str) -> None:
    assert _usable(context) == [replica], _usable(context)


@then("{replica} is not usable after the restart")
def check_not_usable(context: Context, replica: str) -> None:
    assert replica not in _usable(context)


@then("{replica} is not usable {seconds:d} seconds later without a notice")
def check_unconfirmed(context: Context, replica: str, seconds: int) -> None:
    context.kernel.run(sleep, seconds)
    context.kernel.run(_call, lambda: context.directory.expire(_now()))
    check_not_usable(context, replica)


@then('{replica} is usable again after "{text}"')
def check_confirmed(context: Context, replica: str, text: str) -> None:
    _accept(context, text)
    check_usable(context, replica)


def _start(context: Context) -> None:
    context.directory = ReplicaDirectory(_LIFETIME, _RETENTION)
    store = context.store = DirectoryStore(
        context.disk, context.directory, Relays("me"), _Clock(), _CONFIRMATION_TIME
    )

    async def start() -> None:
        await store.load()
        context.task = await spawn(store.run, daemon=True)

    context.kernel.run(start)


def _save(context: Context) -> None:
    context.kernel.run(sleep, 0.6)


def _accept(context: Context, text: str) -> None:
    notice = parse_notice(text)
    context.kernel.run(_call, lambda: context.directory.accept(notice, _now()))


def _usable(context: Context) -> list[str]:
    return [notice.replica for notice in context.directory.usable("s")]


async def _call(work: Any) -> None:
    work()


def _now() -> timedelta:
    return SystemClock().monotonic_time()
