"""HTTP routes that change state."""

from expression import Result

from lovagetray._clock import Clock
from lovagetray.commands.membership import accept_announcement
from lovagetray.state import Directory, Members
from lovagetray.wire import (
    HttpRequest,
    HttpResponse,
    Peers,
    decode_announcement,
    encode_accepted,
    encode_failure,
)


class CommandRoutes:
    """Takes announcements of targets."""

    def __init__(
        self, directory: Directory, members: Members, peers: Peers, clock: Clock
    ) -> None:
        self._directory = directory
        self._members = members
        self._peers = peers
        self._clock = clock

    async def announce(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``POST /v1/announce``."""
        match decode_announcement(request.body):
            case Result(tag="ok", ok=announcement):
                pass
            case Result(error=malformed):
                return encode_failure(malformed, request_id)
        match accept_announcement(self._directory, announcement, self._clock):
            case Result(tag="ok", ok=relayed):
                await self._peers.broadcast(relayed)
                serving = self._members.serving(self._clock.elapsed())
                return encode_accepted(serving)
            case Result(error=failure):
                return encode_failure(failure, request_id)
