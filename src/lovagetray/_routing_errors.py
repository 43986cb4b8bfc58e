"""Failures of routing, announcements and forwarding."""

from dataclasses import dataclass
from datetime import timedelta
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """A routing document could not be decoded."""

    code: ClassVar[str] = "unreadable_document"
    reason: str

    def __str__(self) -> str:
        return f"the routing document cannot be read: {self.reason}"


@dataclass(frozen=True, slots=True)
class InvalidDocument:
    """A routing document contradicts itself; all problems are listed."""

    code: ClassVar[str] = "invalid_document"
    problems: tuple[str, ...]

    def __str__(self) -> str:
        return f"the routing document is invalid: {'; '.join(self.problems)}"


@dataclass(frozen=True, slots=True)
class NotConfirmed:
    """This instance cannot be sure that it knows the newest document.

    Parameters
    ----------
    leader
        The instance that can be asked, if known.
    """

    code: ClassVar[str] = "not_confirmed"
    leader: str

    def __str__(self) -> str:
        return "this instance cannot confirm which routing document is the newest"


@dataclass(frozen=True, slots=True)
class UnreadableNotice:
    """An announcement of a replica could not be decoded or names no replica."""

    code: ClassVar[str] = "unreadable_notice"
    reason: str

    def __str__(self) -> str:
        return f"the announcement cannot be used: {self.reason}"


@dataclass(frozen=True, slots=True)
class NoticeUnconfirmed:
    """No peer has confirmed a leaving notice, so it is not acknowledged."""

    code: ClassVar[str] = "notice_unconfirmed"
    replica: str

    def __str__(self) -> str:
        return f"no other instance confirmed that {self.replica!r} leaves"


@dataclass(frozen=True, slots=True)
class NotStarted:
    """This instance knows no routing document yet."""

    code: ClassVar[str] = "not_started"

    def __str__(self) -> str:
        return "no routing document is known yet"


@dataclass(frozen=True, slots=True)
class NoRoute:
    """No route matches a host and path."""

    code: ClassVar[str] = "no_route"
    host: str

    def __str__(self) -> str:
        return f"no route of host {self.host!r} matches the path"


@dataclass(frozen=True, slots=True)
class RequestNotRun:
    """No replica ran the request, and none will.

    Parameters
    ----------
    retry_after
        When another try makes sense.
    """

    code: ClassVar[str] = "request_not_run"
    reason: str
    retry_after: timedelta

    def __str__(self) -> str:
        return f"the request was not run: {self.reason}"


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The request may have run, and there is no complete answer."""

    code: ClassVar[str] = "request_failed"
    reason: str

    def __str__(self) -> str:
        return f"no complete answer: {self.reason}"


@dataclass(frozen=True, slots=True)
class TimeLimitReached:
    """The time limit of the request passed; it may have run."""

    code: ClassVar[str] = "time_limit_reached"
    limit: timedelta

    def __str__(self) -> str:
        return f"no answer within {self.limit.total_seconds() * 1000:.0f} ms"


ForwardFailure = NotStarted | NoRoute | RequestNotRun | RequestFailed | TimeLimitReached
