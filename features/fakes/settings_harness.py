"""Harness for the administration interface, called directly or over loopback."""

from datetime import datetime, timedelta, timezone
from hashlib import sha256
from threading import Thread
from typing import Any

from curio import UniversalEvent, run, spawn
from fakes.single_log import SingleLog, settings_applier
from fleet import free_ports
from msgspec.json import decode, encode

from lovagetray._clock import SystemClock
from lovagetray._types import Address
from lovagetray._violations import Violations
from lovagetray.commands.settings import SettingsProposer
from lovagetray.entry import (
    Operators,
    Router,
    SettingsCommandRoutes,
    SettingsQueryRoutes,
)
from lovagetray.state import SettingsState
from lovagetray.wire import HttpRequest, HttpServer, encode_failure

TOKENS = {"aino": "aino-token", "nikos": "nikos-token"}
START = datetime(2026, 1, 1, tzinfo=timezone.utc)


class SteppingClock(SystemClock):
    """Clock whose wall-clock time advances by a second with each reading."""

    def __init__(self) -> None:
        self._now = START

    def now(self) -> datetime:
        self._now += timedelta(seconds=1)
        return self._now


class SettingsHarness:
    """Settings state, log and routes of one instance, and the last answer."""

    def __init__(self) -> None:
        self.violations = Violations()
        self.state = SettingsState(self.violations)
        self.announced_paths: set[str] = set()
        self.proposer = SingleLog(settings_applier(self.state))
        settings_proposer = SettingsProposer(self.state, self.proposer, SteppingClock())
        operators = Operators(
            {name: sha256(token.encode()).hexdigest() for name, token in TOKENS.items()}
        )
        commands = SettingsCommandRoutes(
            self.state, settings_proposer, operators, lambda: self.announced_paths
        )
        queries = SettingsQueryRoutes(self.state, operators)
        self.router = Router({**queries.routes(), **commands.routes()})
        self.status = 0
        self.answer: Any = None
        self.address = Address("127.0.0.1", 0)
        self._stopping = UniversalEvent()
        self._thread: Thread | None = None

    def call(
        self,
        method: str,
        route: str,
        document: object = None,
        authorization: str = "Bearer aino-token",
        **query: str,
    ) -> Any:
        """Return the decoded answer of the routes to a request."""
        headers = {"authorization": authorization} if authorization else {}
        body = b"" if document is None else encode(document)
        request = HttpRequest(method, route, query, headers, body, "10.0.0.7")
        response = run(self.router.handle, request)
        self.status, self.answer = response.status, decode(response.body)
        return self.answer

    def change(self, changes: list[dict[str, Any]], **fields: Any) -> Any:
        """Return the answer to changes based on the revision in force.

        Parameters
        ----------
        fields
            Fields that are added to the request or replace its fields.
        """
        document = {"base": self.state.tree.revision, "changes": changes, **fields}
        return self.call("POST", "/v1/settings/change", document)

    def listen(self) -> None:
        """Serve the routes on a loopback port."""
        self.address = Address("127.0.0.1", free_ports(1)[0])
        server = HttpServer(self.router.handle, encode_failure, SystemClock())
        listener = server.listen(self.address)
        self._thread = Thread(target=run, args=(self._serve, server, listener))
        self._thread.start()

    def stop(self) -> None:
        """Stop the server that `listen` started."""
        if self._thread is not None:
            self._stopping.set()
            self._thread.join()
            self._thread = None

    async def _serve(self, server: HttpServer, listener: Any) -> None:
        task = await spawn(server.run, listener)
        await self._stopping.wait()
        await task.cancel()
