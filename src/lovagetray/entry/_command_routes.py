"""HTTP routes of commands: announcements and non-idempotent requests."""

from expression import Result

from lovagetray._clock import Clock
from lovagetray._telemetry import MEMBER_SERVICE
from lovagetray.commands.effects import EffectRunner
from lovagetray.commands.membership import accept_announcement
from lovagetray.entry._router import Handler
from lovagetray.entry._settings_in_force import SettingsInForce
from lovagetray.state import Members, TargetDirectory
from lovagetray.wire import (
    HttpRequest,
    HttpResponse,
    PeerTransport,
    decode_announcement,
    decode_effect_request,
    encode_announcement_response,
    encode_effect_response,
    encode_failure,
)


class CommandRoutes:
    """Handlers of targets' announcements and callers' non-idempotent requests."""

    def __init__(
        self,
        directory: TargetDirectory,
        members: Members,
        peers: PeerTransport,
        clock: Clock,
        effects: EffectRunner,
        settings: SettingsInForce,
    ) -> None:
        self._directory = directory
        self._members = members
        self._peers = peers
        self._clock = clock
        self._effects = effects
        self._settings = settings

    def routes(self) -> dict[tuple[str, str], Handler]:
        """Return the handlers by method and path."""
        return {
            ("POST", "/v1/announce"): self.announce,
            ("POST", "/v1/effects"): self.run_effect,
        }

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
                serving = self._members.serving(self._clock.monotonic_time())
                return encode_announcement_response(serving)
            case Result(error=failure):
                return encode_failure(failure, request_id)

    async def run_effect(self, request: HttpRequest, request_id: str) -> HttpResponse:
        """Answer ``POST /v1/effects``."""
        default_time_left = self._settings.search("").deadline
        match decode_effect_request(request.body, request_id, default_time_left):
            case Result(tag="ok", ok=effect):
                pass
            case Result(error=malformed):
                return encode_failure(malformed, request_id)
        match await self._effects.run(effect):
            case Result(tag="ok", ok=answer):
                MEMBER_SERVICE.labels(effect.service, effect.member).inc()
                return encode_effect_response(answer, request_id)
            case Result(error=failure):
                return encode_failure(failure, request_id)
