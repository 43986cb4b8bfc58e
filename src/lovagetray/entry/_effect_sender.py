"""Runs non-idempotent requests on targets, through the owners of replicas."""

from datetime import timedelta
from uuid import uuid4

from curio import Queue
from expression import Error, Ok, Result
from msgspec.json import encode

from lovagetray._clock import Clock
from lovagetray._errors import Failure, NoReply
from lovagetray._types import ExecuteRequest
from lovagetray.commands.effects import EffectRequest
from lovagetray.targets import ExecuteOutcome, ExecutionSender


class OwnerEffectSender:
    """Sender of requests to the owners of replicas, which waits for the outcomes."""

    def __init__(self, sender: ExecutionSender, clock: Clock) -> None:
        self._sender = sender
        self._clock = clock

    async def execute(
        self, request: EffectRequest, target: str, timeout: timedelta
    ) -> Result[str, Failure]:
        """Return the target's answer; a failure tells whether it may have run."""
        outcome_queue: Queue = Queue()
        execution = ExecuteRequest(
            request_id=uuid4().hex,
            service=request.service,
            target=target,
            key=request.key,
            body=encode(request.body),
            time_left=timeout,
        )
        await self._sender.execute(execution, outcome_queue)
        match await self._clock.with_timeout(timeout, outcome_queue.get()):
            case Result(tag="ok", ok=ExecuteOutcome(result=Result(tag="ok", ok=reply))):
                return Ok(reply.body.decode("utf-8", "replace"))
            case Result(tag="ok", ok=ExecuteOutcome(result=Result(error=failure))):
                return Error(failure)
            case _:
                return Error(NoReply(target))
