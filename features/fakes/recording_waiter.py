"""Receiver of the outcomes of one exchange."""

from typing import Any

from curio import Event

from lovagetray.targets import Exchange


class RecordingWaiter:
    """Receiver that keeps all outcomes, of which there should be one."""

    def __init__(self) -> None:
        self.outcomes: list[Any] = []
        self.done = Event()

    async def deliver(self, exchange: Exchange, outcome: Any) -> None:
        """Record an outcome and wake whoever waits for it."""
        self.outcomes.append(outcome)
        await self.done.set()
