"""Dispatches HTTP requests by method and path."""

from collections.abc import Awaitable, Callable, Mapping
from uuid import uuid4

from structlog.contextvars import bound_contextvars

from lovagetray._errors import UnknownRoute
from lovagetray._telemetry import REFUSALS
from lovagetray.wire import HttpRequest, HttpResponse, encode_failure

Handler = Callable[[HttpRequest, str], Awaitable[HttpResponse]]
_MAX_REQUEST_ID_LENGTH = 128


class Router:
    """Router of requests to the handlers of their method and path.

    Parameters
    ----------
    routes
        Handlers by method and path.
    """

    def __init__(self, routes: Mapping[tuple[str, str], Handler]) -> None:
        self._routes = routes

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        request_id = request.headers.get("x-request-id", "")[:_MAX_REQUEST_ID_LENGTH]
        request_id = request_id or uuid4().hex
        handler = self._routes.get((request.method, request.path))
        with bound_contextvars(request_id=request_id):
            if handler is None:
                unknown = UnknownRoute(request.method, request.path)
                response = encode_failure(unknown, request_id)
            else:
                response = await handler(request, request_id)
        if response.status >= 400:
            REFUSALS.labels(response.headers.get("x-error-code", "")).inc()
        response.headers["x-request-id"] = request_id
        return response
