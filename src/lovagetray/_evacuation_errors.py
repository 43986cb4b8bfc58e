"""Failures of evacuation orders."""

from typing import ClassVar

from msgspec import Struct


class InvalidDataCentre(Struct, frozen=True):
    """A data centre that cannot be evacuated."""

    code: ClassVar[str] = "invalid_data_centre"
    reason: str

    def __str__(self) -> str:
        return f"the data centre cannot be evacuated: {self.reason}"


class OrderNotApplied(Struct, frozen=True):
    """An order that a leader of an earlier version committed but did not apply."""

    code: ClassVar[str] = "order_not_applied"

    def __str__(self) -> str:
        return "the leader runs a version that does not support evacuations"
