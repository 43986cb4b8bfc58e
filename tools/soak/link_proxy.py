"""Loopback proxies on the links to replicas, which harm connections on demand."""

import asyncio
from re import compile as compile_pattern
from threading import Thread
from time import monotonic
from typing import Any, NamedTuple

_REQUEST_ID = compile_pattern(rb"(?i)\r\nrequest-id: *([^\r\n]+)")


class LinkState(NamedTuple):
    """What happens to the bytes of a link.

    Parameters
    ----------
    mode
        pass, delay, reset (each connection is reset), silent (no bytes in either
        direction) or one_way (requests arrive, responses do not).
    delay_seconds
        Delay of each piece of data for the mode delay.
    """

    mode: str = "pass"
    delay_seconds: float = 0.0


class LinkProxies:
    """One proxy for each replica, all in one thread.

    Parameters
    ----------
    ports
        Port of each replica by its name.
    """

    def __init__(self, ports: dict[str, int]) -> None:
        self._targets = ports
        self._states = dict.fromkeys(ports, LinkState())
        self._connections: dict[str, set[Any]] = {name: set() for name in ports}
        self._loop = asyncio.new_event_loop()
        self.ports: dict[str, int] = {}
        # Monotonic times at which requests left a gateway, by replica and request id; a
        # harmed link may hold them for longer.
        self.sent_at: dict[tuple[str, str], list[float]] = {}
        Thread(target=self._loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._listen(), self._loop).result(10)

    def change(self, name: str, state: LinkState) -> None:
        """Change what happens on the link to a replica."""
        self._loop.call_soon_threadsafe(self._change, name, state)

    def stop(self) -> None:
        """End all proxies."""
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _change(self, name: str, state: LinkState) -> None:
        self._states[name] = state
        if state.mode == "reset":
            for writer in list(self._connections[name]):
                writer.transport.abort()

    async def _listen(self) -> None:
        for name in self._targets:
            server = await asyncio.start_server(
                lambda reader, writer, name=name: self._serve(name, reader, writer),
                "127.0.0.1",
                0,
            )
            self.ports[name] = server.sockets[0].getsockname()[1]

    async def _serve(self, name: str, reader: Any, writer: Any) -> None:
        if self._states[name].mode == "reset":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._targets[name]
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._connections[name] |= writers
        try:
            await asyncio.wait(
                {
                    asyncio.ensure_future(self._copy(name, reader, target_writer, 0)),
                    asyncio.ensure_future(self._copy(name, target_reader, writer, 1)),
                },
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            self._connections[name] -= writers
            for open_writer in writers:
                open_writer.close()

    async def _copy(self, name: str, reader: Any, writer: Any, direction: int) -> None:
        try:
            while data := await reader.read(65536):
                if not direction and (found := _REQUEST_ID.search(data)):
                    key = name, found[1].decode("latin-1")
                    self.sent_at.setdefault(key, []).append(monotonic())
                state = self._states[name]
                while state.mode == "silent" or (state.mode == "one_way" and direction):
                    await asyncio.sleep(0.02)
                    state = self._states[name]
                if state.mode == "delay":
                    await asyncio.sleep(state.delay_seconds)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
