"""Storage of the replicated log: files in one folder, or none."""

from os import (
    O_APPEND,
    O_CREAT,
    O_RDONLY,
    O_WRONLY,
    close,
    fsync,
    open as open_file,
    replace,
    write,
)
from pathlib import Path

from curio import run_in_thread


class FolderDisk:
    """A disk that stores files in one folder; blocking calls run in threads.

    Parameters
    ----------
    folder
        Created if it does not exist.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    async def read(self, file: str) -> bytes | None:
        content: bytes | None = await run_in_thread(self._read, file)
        return content

    async def append(self, file: str, data: bytes) -> None:
        await run_in_thread(self._append, file, data)

    async def sync(self, file: str) -> None:
        await run_in_thread(_sync_path, self._folder / file)

    async def replace(self, file: str, data: bytes) -> None:
        await run_in_thread(self._replace, file, data)

    async def sync_folder(self) -> None:
        await run_in_thread(_sync_path, self._folder)

    def _read(self, file: str) -> bytes | None:
        if not self._folder.exists():
            self._folder.mkdir(parents=True)
            _sync_path(self._folder.parent)
        try:
            return (self._folder / file).read_bytes()
        except FileNotFoundError:
            return None

    def _append(self, file: str, data: bytes) -> None:
        descriptor = open_file(self._folder / file, O_WRONLY | O_APPEND | O_CREAT)
        try:
            _write_all(descriptor, data)
        finally:
            close(descriptor)

    def _replace(self, file: str, data: bytes) -> None:
        temporary = self._folder / f"{file}.new"
        temporary.write_bytes(data)
        _sync_path(temporary)
        replace(temporary, self._folder / file)


class NoDisk:
    """A disk that stores nothing, for learners without a disk."""

    async def read(self, file: str) -> bytes | None:
        return None

    async def append(self, file: str, data: bytes) -> None:
        pass

    async def sync(self, file: str) -> None:
        pass

    async def replace(self, file: str, data: bytes) -> None:
        pass

    async def sync_folder(self) -> None:
        pass


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[write(descriptor, remaining) :]


def _sync_path(path: Path) -> None:
    descriptor = open_file(path, O_RDONLY)
    try:
        fsync(descriptor)
    finally:
        close(descriptor)
