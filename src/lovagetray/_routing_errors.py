"""Failures of routing, notices and forwarding."""

from datetime import timedelta
from typing import ClassVar

from msgspec import Struct


class UnreadableDocument(Struct, frozen=True):
    """A routing document that could not be decoded."""

    code: ClassVar[str] = "unreadable_document"
    reason: str

    def __str__(self) -> str:
        return f"the routing document cannot be read: {self.reason}"


class InvalidDocument(Struct, frozen=True):
    """All problems of a routing document that is inconsistent."""

    code: ClassVar[str] = "invalid_document"
    problems: tuple[str, ...]

    def __str__(self) -> str:
        return f"the routing document is invalid: {'; '.join(self.problems)}"


class NotConfirmed(Struct, frozen=True):
    """The refusal of an instance that may not have the newest routing document.

    Parameters
    ----------
    leader
        The instance to ask instead, if known.
    """

    code: ClassVar[str] = "not_confirmed"
    leader: str

    def __str__(self) -> str:
        return "this instance cannot confirm that it has the newest routing document"


class UnreadableNotice(Struct, frozen=True):
    """A replica's notice that could not be decoded or names no replica."""

    code: ClassVar[str] = "unreadable_notice"
    reason: str

    def __str__(self) -> str:
        return f"the notice cannot be used: {self.reason}"


class NoticeUnconfirmed(Struct, frozen=True):
    """A leaving notice that no peer confirmed, so the replica gets no confirmation."""

    code: ClassVar[str] = "notice_unconfirmed"
    replica: str

    def __str__(self) -> str:
        return f"no other instance confirmed that {self.replica!r} is leaving"


class NotStarted(Struct, frozen=True):
    """The refusal of an instance that has no routing document yet."""

    code: ClassVar[str] = "not_started"

    def __str__(self) -> str:
        return "this instance has no routing document yet"


class NoRoute(Struct, frozen=True):
    """A host and path that no route matches."""

    code: ClassVar[str] = "no_route"
    host: str

    def __str__(self) -> str:
        return f"no route of host {self.host!r} matches the path"


class RequestNotRun(Struct, frozen=True):
    """A request that no replica ran and none will run.

    Parameters
    ----------
    retry_after
        Time after which a retry is useful.
    """

    code: ClassVar[str] = "request_not_run"
    reason: str
    retry_after: timedelta

    def __str__(self) -> str:
        return f"the request was not run: {self.reason}"


class OverQuota(Struct, frozen=True):
    """A request that was not run because its workspace has used its quota.

    Parameters
    ----------
    retry_after
        Time after which the caller should return.
    """

    code: ClassVar[str] = "over_quota"
    workspace: str
    retry_after: timedelta

    def __str__(self) -> str:
        return f"the quota of workspace {self.workspace!r} is used up"


class QuotaUnconfirmed(Struct, frozen=True):
    """A request that was not run because no leader confirmed credit for it in time.

    Parameters
    ----------
    retry_after
        Time after which a retry is useful.
    """

    code: ClassVar[str] = "quota_unconfirmed"
    workspace: str
    retry_after: timedelta

    def __str__(self) -> str:
        return (
            f"the request was not run: the quota of workspace {self.workspace!r} "
            "cannot be confirmed"
        )


class RequestFailed(Struct, frozen=True):
    """A request that may have run, without a complete answer."""

    code: ClassVar[str] = "request_failed"
    reason: str

    def __str__(self) -> str:
        return f"no complete answer: {self.reason}"


class TimeLimitReached(Struct, frozen=True):
    """A request that may have run and whose time limit has passed."""

    code: ClassVar[str] = "time_limit_reached"
    limit: timedelta

    def __str__(self) -> str:
        return f"no answer within {self.limit.total_seconds() * 1000:.0f} ms"


class ResponseDropped(Struct, frozen=True):
    """A request that has run and whose response found no room in memory."""

    code: ClassVar[str] = "response_dropped"

    def __str__(self) -> str:
        return "no complete answer: no memory was free for the response"


class KeyMissing(Struct, frozen=True):
    """A request without a key on a route that needs one."""

    code: ClassVar[str] = "key_missing"

    def __str__(self) -> str:
        return "the request has no key"


class KeyMalformed(Struct, frozen=True):
    """A request with credentials that are not exactly one key."""

    code: ClassVar[str] = "key_malformed"

    def __str__(self) -> str:
        return "the request does not carry exactly one well-formed key"


class KeyUnknown(Struct, frozen=True):
    """A request with a key that no workspace has."""

    code: ClassVar[str] = "key_unknown"

    def __str__(self) -> str:
        return "the key of the request is not valid"


class StateTooOld(Struct, frozen=True):
    """The refusal of an instance that cannot tell whether a key is valid.

    The request has not run.

    Parameters
    ----------
    retry_after
        Time after which a retry is useful; other instances may know the valid keys.
    """

    code: ClassVar[str] = "state_too_old"
    retry_after: timedelta = timedelta(0)

    def __str__(self) -> str:
        return "the request was not run: this instance cannot confirm the valid keys"


AccessFailure = KeyMissing | KeyMalformed | KeyUnknown | StateTooOld
ForwardFailure = (
    NotStarted
    | NoRoute
    | RequestNotRun
    | OverQuota
    | QuotaUnconfirmed
    | RequestFailed
    | ResponseDropped
    | TimeLimitReached
    | KeyMissing
    | KeyMalformed
    | KeyUnknown
    | StateTooOld
)
