"""HTTP routes of queries: searches, addresses, status, metrics and health."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from expression import Result
from msgspec.json import encode
from prometheus_client import generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from lovagetray._clock import Clock
from lovagetray._errors import Failure
from lovagetray._telemetry import MEMBER_SERVICE, SEARCH_SECONDS, SHARDS_MISSING
from lovagetray._types import Answer, SearchRequest
from lovagetray.entry._router import Handler
from lovagetray.entry._settings_in_force import SettingsInForce
from lovagetray.queries.agreement import AgreementStatus, AgreementView, status_of
from lovagetray.queries.membership import addresses_for
from lovagetray.queries.search import Searcher
from lovagetray.state import InstanceState, Members, TargetDirectory
from lovagetray.wire import (
    HttpRequest,
    HttpResponse,
    SearchDefaults,
    decode_search_document,
    encode_addresses,
    encode_failure,
    encode_search_response,
    search_request,
)

_JSON = {"content-type": "application/json"}


class QueryRoutes:
    """Handlers of callers' searches and of queries about the instance.

    Parameters
    ----------
    owned
        Returns the number of replicas of a service that this instance owns.
    """

    def __init__(
        self,
        searcher: Searcher,
        directory: TargetDirectory,
        members: Members,
        clock: Clock,
        agreement: AgreementView,
        settings: SettingsInForce,
        owned: Callable[[str], int],
    ) -> None:
        self._searcher = searcher
        self._directory = directory
        self._members = members
        self._clock = clock
        self._agreement = agreement
        self._settings = settings
        self._owned = owned

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Return the handlers by method and path."""
        return {
            ("POST", "/v1/search"): self.search,
            ("GET", "/v1/addresses"): self.addresses,
            ("GET", "/v1/status"): self.status,
            ("GET", "/metrics"): self.metrics,
            ("GET", "/healthz"): self.health,
            ("GET", "/readyz"): self.ready,
        }

    async def search(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``POST /v1/search``."""
        match decode_search_document(request.body):
            case Result(tag="ok", ok=document):
                pass
            case Result(error=malformed):
                return encode_failure(malformed, request_id)
        settings = self._settings.search(document["service"])
        defaults = SearchDefaults(
            deadline=settings.deadline, require_complete=settings.require_complete
        )
        match search_request(document, request_id, defaults):
            case Result(tag="ok", ok=search):
                return await self._answer(search)
            case Result(error=failure):
                return encode_failure(failure, request_id)

    async def addresses(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``GET /v1/addresses``."""
        serving = self._members.serving(self._clock.monotonic_time())
        caller = request.query.get("caller", request.peer_host)
        data_centre = request.query.get("data_centre", "")
        return encode_addresses(
            addresses_for(caller, data_centre, serving), self._settings.address_lifetime
        )

    async def status(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``GET /v1/status``."""
        now = self._clock.monotonic_time()
        document: dict[str, Any] = {
            "instance": self._members.own_record.instance.name,
            "state": self._members.own_record.state.value,
            "instances": [
                {
                    "name": record.instance.name,
                    "state": record.state.value,
                    "data_centre": record.data_centre,
                    "revision": record.revision,
                }
                for record in self._members.live(now)
            ],
            "revision": self._settings.revision,
            "agreement": _agreement_document(status_of(self._agreement)),
            "services": {
                service: self._service_status(service, now)
                for service in self._directory.services
            },
        }
        return HttpResponse(200, dict(_JSON), encode(document))

    async def metrics(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``GET /metrics``."""
        headers = {"content-type": CONTENT_TYPE_LATEST}
        return HttpResponse(200, headers, generate_latest())

    async def health(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``GET /healthz``: always 200 while the process responds."""
        return HttpResponse(200, dict(_JSON), b'{"status":"ok"}')

    async def ready(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``GET /readyz``: 200 if new callers should connect here, or 503."""
        state = self._members.own_record.state
        status = 200 if state is InstanceState.SERVING else 503
        return HttpResponse(status, dict(_JSON), encode({"state": state.value}))

    def _service_status(self, service: str, now: timedelta) -> dict[str, int]:
        listings = list(self._directory.listings(service))
        usable = [
            listing for listing in listings if self._directory.usable(listing, now)
        ]
        snapshots = self._directory.snapshots(service)
        return {
            "targets": len(listings),
            "usable": len(usable),
            "owned": self._owned(service),
            "newest_version": snapshots[0].version if snapshots else -1,
        }

    async def _answer(self, search: SearchRequest) -> HttpResponse:
        started_at = self._clock.monotonic_time()
        result: Result[Answer, Failure] = await self._searcher.search(search)
        duration = self._clock.monotonic_time() - started_at
        match result:
            case Result(tag="ok", ok=answer):
                SEARCH_SECONDS.labels(search.service).observe(duration.total_seconds())
                MEMBER_SERVICE.labels(search.service, search.member).inc()
                for gap in answer.coverage.missing:
                    SHARDS_MISSING.labels(search.service, gap.reason.value).inc()
                return encode_search_response(answer)
            case Result(error=failure):
                return encode_failure(failure, search.request_id)


def _agreement_document(status: AgreementStatus) -> dict[str, Any]:
    return {
        **status._asdict(),
        "identity": status.identity._asdict(),
        "voters": [voter._asdict() for voter in status.voters],
    }
