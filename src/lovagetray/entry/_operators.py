"""Authenticates operators by their tokens."""

from collections.abc import Awaitable, Callable, Mapping
from hashlib import sha256
from hmac import compare_digest

from expression import Error, Ok, Result

from lovagetray._errors import Unauthorized
from lovagetray.entry._router import Handler
from lovagetray.wire import HttpRequest, HttpResponse, encode_failure

OperatorHandler = Callable[[HttpRequest, str, str], Awaitable[HttpResponse]]
_SCHEME = "bearer"


class Operators:
    """The operators that may use the administration interface.

    Parameters
    ----------
    digests
        SHA-256 digests of the operators' tokens in hexadecimal, by operator.
    """

    def __init__(self, digests: Mapping[str, str]) -> None:
        self._digests = dict(digests)

    def authenticate(self, request: HttpRequest) -> Result[str, Unauthorized]:
        """Return the name of the operator whose token a request carries.

        The token's digest is compared with that of every operator, each time in
        constant time, so that the duration reveals nothing about the digests, nor which
        of them is similar.
        """
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        token_digest = sha256(token.strip().encode("latin-1", "replace")).hexdigest()
        authenticated = ""
        for operator, digest in self._digests.items():
            if compare_digest(token_digest, digest):
                authenticated = operator
        if not authenticated or scheme.lower() != _SCHEME:
            return Error(Unauthorized())
        return Ok(authenticated)

    def guard(self, handler: OperatorHandler) -> Handler:
        """Return a handler that calls `handler` with the authenticated operator.

        A request without an operator's token is refused as `Unauthorized`.
        """

        async def guarded(request: HttpRequest, request_id: str) -> HttpResponse:
            match self.authenticate(request):
                case Result(tag="ok", ok=operator):
                    return await handler(request, request_id, operator)
                case Result(error=unauthorized):
                    response = encode_failure(unauthorized, request_id)
                    response.headers["www-authenticate"] = "Bearer"
                    return response

        return guarded
