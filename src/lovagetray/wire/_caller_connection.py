"""A caller's connection, read as HTTP/1.1.

One task reads each connection, also while a request runs, so that a closed connection
is detected at once. The request runs in a second task, which is cancelled in this case.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from curio import CancelledError, Task, current_task, spawn
from h11 import (
    DONE,
    MUST_CLOSE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)
from structlog import get_logger

from lovagetray._clock import Clock
from lovagetray._errors import (
    MemoryExhausted,
    RequestTooLarge,
    RequestTooSlow,
)
from lovagetray._routing_types import CallerLimits
from lovagetray._task_failures import report_task_failure
from lovagetray.state import HeldBytes, HeldPart
from lovagetray.wire._caller_messages import (
    FailureEncoder,
    Handler,
    NoResponse,
    RawRequest,
    RawResponse,
    RequestFailure,
    request_failure,
    states_length,
)
from lovagetray.wire._closing import abort, discard_input
from lovagetray.wire._http import receive_size
from lovagetray.wire._processor_turns import ProcessorTurns
from lovagetray.wire._response_sender import ResponseSender

_log = get_logger()
# While a request runs, data is read only to detect the end of the connection; what a
# caller has pipelined stays in the kernel's receive buffer.
_PIPELINED_BYTES = 4096
# Counted for the work on each request. Measuring the steps of its task would make each
# request dearer.
_REQUEST_TIME = timedelta(microseconds=500)
_CLOSE_TIMEOUT = timedelta(seconds=1)
# The first request on a new connection is expected within this time; a server that
# closes does not wait longer for it.
_FIRST_REQUEST_TIME = timedelta(seconds=1)
# A connection without a request for this time may be closed for a new one.
_MIN_IDLE = timedelta(milliseconds=100)
_MIN_WAIT = timedelta(milliseconds=100)


@dataclass(slots=True)
class _PartialRequest:
    """A request that is being received."""

    head: Request | None = None
    body: bytearray = field(default_factory=bytearray)


class _Incomplete:
    """The outcome of parsing if more input is needed."""


class CallerConnection:
    """A caller's connection and the task that reads it.

    Parameters
    ----------
    held
        Account of the bytes held for callers.
    turns
        Turns of connections that have used much processor time.
    """

    def __init__(
        self,
        client: Any,
        handler: Handler,
        encode_failure: FailureEncoder,
        clock: Clock,
        limits: Callable[[], CallerLimits],
        draining: Callable[[], bool],
        held: HeldBytes,
        turns: ProcessorTurns,
    ) -> None:
        self._client = client
        self._handler = handler
        self._encode_failure = encode_failure
        self._clock = clock
        self._current_limits = limits
        self._draining = draining
        self._head_bytes = self._limits.head_bytes
        self._h11 = Connection(SERVER, max_incomplete_event_size=self._head_bytes)
        self._request_task: Task | None = None
        self._opened_at = self._waiting_since = clock.monotonic_time()
        self._receiving = False
        self._carried_request = False
        # Whether the request was a HEAD request, whose response must have no body.
        self._bodiless = False
        self._account = held
        self._turns = turns
        self._use = turns.new_use()
        self._sender = ResponseSender(client, held, clock)
        # The complete request, until its task takes it.
        self._request: RawRequest | None = None
        self._input_bytes = 0
        self._dropped = False
        self.task: Any = None

    @property
    def _limits(self) -> CallerLimits:
        return self._current_limits()

    def is_busy(self, now: timedelta) -> bool:
        """Return whether a request is in flight, arriving, or soon to be expected."""
        awaits_first = (
            not self._carried_request and now - self._opened_at < _FIRST_REQUEST_TIME
        )
        return self._request_task is not None or self._receiving or awaits_first

    def is_overdue(self, now: timedelta) -> bool:
        """Return whether the caller has exceeded `idle_time` or `request_time`.

        A caller that does not read its response may take `idle_time` as well.
        """
        if self._sender.sending_since is not None:
            return now - self._sender.sending_since > self._limits.idle_time
        if self._request_task is not None or self.task is None:
            return False
        limits = self._limits
        return now - self._waiting_since > (
            limits.request_time if self._receiving else limits.idle_time
        )

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        self.task = await current_task()
        try:
            while True:
                match await self._read_request():
                    case RawRequest() as request:
                        self._request = request
                        del request
                    case None:
                        return
                    case failure:
                        return await self._refuse(failure)
                self._carried_request = True
                self._request_task = await spawn(self._run_request, daemon=True)
                if not await self._wait_for_end(self._request_task):
                    return
        except CancelledError as error:
            if self._receiving and self._request_task is None:
                # The frames of the traceback hold what was read of the request.
                error.__traceback__ = None
                await self._refuse(RequestTooSlow(self._limits.request_time))
            raise
        finally:
            # Curio's kernel fails if the socket is closed while the task waits for it.
            if self._request_task is not None:
                await self._request_task.cancel()
            self._release()

    async def _wait_for_end(self, running: Task) -> bool:
        """Return whether the connection is reusable after a request.

        Waits for the end of the request and, unless some is buffered, for further data.
        Returns False at once if the caller closes the connection.
        """
        if not self._h11.trailing_data[0]:
            data = await self._client.recv(_PIPELINED_BYTES)
            if not data:
                return False
            self._h11.receive_data(data)
        await running.join()
        if self._h11.our_state is not DONE or self._h11.their_state is not DONE:
            return False
        self._h11.start_next_cycle()
        self._waiting_since = self._clock.monotonic_time()
        self._use.record(_REQUEST_TIME, self._waiting_since)
        return True

    async def _read_request(self) -> RawRequest | RequestFailure | None:
        """Return the next request, None at the end of the connection, or a failure."""
        partial = _PartialRequest()
        self._bodiless = False
        received, _ = self._h11.trailing_data
        self._receiving = bool(received)
        self._hold_input(len(received) - self._input_bytes)
        self._apply_head_limit()
        while True:
            outcome = await self._turns.run(self._use, lambda: self._parse(partial))
            if not isinstance(outcome, _Incomplete):
                return outcome
            if self._h11.they_are_waiting_for_100_continue:
                await self._client.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
            size = receive_size(partial.head, len(partial.body))
            data = await self._client.recv(size)
            if not self._hold_input(len(data)):
                return MemoryExhausted()
            if not self._receiving:
                self._receiving = True
                self._waiting_since = self._clock.monotonic_time()
                self._apply_head_limit()
            self._h11.receive_data(data)

    def _parse(
        self, partial: _PartialRequest
    ) -> RawRequest | RequestFailure | None | _Incomplete:
        """Parse what was received; return the result of `_read_request` if known."""
        while True:
            try:
                event = self._h11.next_event()
            except RemoteProtocolError as error:
                return request_failure(error, self._limits)
            match event:
                case Request():
                    partial.head = event
                    self._bodiless = event.method == b"HEAD"
                case Data(data=data):
                    partial.body += data
                    if len(partial.body) > self._limits.body_bytes:
                        return RequestTooLarge(self._limits.body_bytes)
                case EndOfMessage() if partial.head is not None:
                    self._receiving = False
                    head = partial.head
                    return RawRequest(
                        head.method,
                        head.target,
                        tuple(head.headers.raw_items()),
                        bytes(partial.body),
                    )
                case ConnectionClosed():
                    return None
                case _ if event is NEED_DATA:
                    return _Incomplete()
                case _ if event is PAUSED:
                    return None

    def _apply_head_limit(self) -> None:
        """Apply a changed limit to the next request; h11 keeps that of its start."""
        head_bytes = self._limits.head_bytes
        if head_bytes == self._head_bytes:
            return
        received, _ = self._h11.trailing_data
        self._head_bytes = head_bytes
        self._h11 = Connection(SERVER, max_incomplete_event_size=head_bytes)
        if received:
            self._h11.receive_data(received)

    async def _run_request(self) -> None:
        """Handle the request and send its response."""
        try:
            request, self._request = self._request, None
            assert request is not None
            response = await self._handler(request)
            match response:
                case NoResponse():
                    self.drop()
                case RawResponse():
                    self._load(response, self._draining())
            # The response is read as slowly as the caller likes, so only the pieces
            # that are left to be sent are kept meanwhile.
            del request, response
            self._hold_input(-self._input_bytes)
            await self._sender.send()
        except OSError:
            # The caller has disconnected; the task that reads the connection detects
            # this as well and ends.
            pass
        except Exception as error:
            # Without a response the caller would wait until its timeout.
            report_task_failure("caller_request", error)
            await self.task.cancel(blocking=False)
        finally:
            self._request_task = None
            self._waiting_since = self._clock.monotonic_time()
        if self._h11.our_state is MUST_CLOSE or self._h11.their_state is MUST_CLOSE:
            await self.task.cancel(blocking=False)

    async def _refuse(self, failure: RequestFailure) -> None:
        """Respond to an unreadable request; the connection must be closed after it."""
        if self._dropped:
            return
        self._hold_input(-self._input_bytes)
        response = self._encode_failure(failure)
        _log.info("request_unreadable", code=failure.code, reason=str(failure))
        try:
            self._load(response, True)
            await self._clock.with_timeout(_CLOSE_TIMEOUT, self._sender.send())
            # Closing a socket with unread input resets the connection, and the caller
            # may lose the response.
            await self._clock.with_timeout(_CLOSE_TIMEOUT, discard_input(self._client))
        except (OSError, LocalProtocolError):
            # The caller has disconnected, or the state of the protocol allows no
            # response.
            pass

    def _load(self, response: RawResponse, close: bool) -> None:
        """Encode a response for the sender."""
        headers = list(response.headers)
        if not (self._bodiless and states_length(response)):
            headers.append((b"Content-Length", b"%d" % len(response.body)))
        if close:
            headers.append((b"Connection", b"close"))
        head = Response(status_code=response.status, headers=headers)
        encoded_head = self._h11.send(head) or b""
        body = b""
        if not self._bodiless:
            body = self._h11.send(Data(data=response.body)) or b""
        # A response with a length has no bytes after its body.
        self._h11.send(EndOfMessage())
        if not self._sender.load(encoded_head, body):
            # The request has run, so it cannot be refused any more.
            self.drop()

    def held(self, part: HeldPart) -> int:
        """Return the bytes held of a part."""
        if part is HeldPart.RESPONSES:
            self._sender.update()
            return self._sender.held
        return self._input_bytes if part is HeldPart.REQUESTS else 0

    def waiting_for_caller(self, part: HeldPart, now: timedelta) -> timedelta:
        """Return for how long the caller has been reading or sending."""
        since = None
        if part is HeldPart.RESPONSES:
            since = self._sender.started_at
        elif self._receiving and self._request_task is None:
            since = self._waiting_since
        return timedelta(0) if since is None else now - since

    def pace(self, part: HeldPart, now: timedelta) -> float:
        """Return the bytes per second that the caller reads or sends."""
        if part is HeldPart.RESPONSES:
            return self._sender.pace(now)
        waiting = max(self.waiting_for_caller(part, now), _MIN_WAIT)
        return self._input_bytes / waiting.total_seconds()

    def idle_rank(self, now: timedelta) -> tuple[bool, timedelta] | None:
        """Return the order in which idle connections are closed; None if not idle."""
        if self._request_task is not None or now - self._waiting_since < _MIN_IDLE:
            return None
        return self._carried_request, self._waiting_since

    def drop(self) -> None:
        """Close the connection and release what it holds.

        The shutdown ends the tasks of the connection, which then close the socket; they
        may be waiting for it, so it must not be closed here.
        """
        self._dropped = True
        self._release()
        abort(self._client)

    def _hold_input(self, size: int) -> bool:
        """Count received bytes; return whether there is room for them."""
        if size > 0 and not self._account.make_room(HeldPart.REQUESTS, size):
            return False
        if not self._dropped:
            self._account.hold(HeldPart.REQUESTS, size)
            self._input_bytes += size
        return True

    def _release(self) -> None:
        self._account.release(HeldPart.REQUESTS, self._input_bytes)
        self._input_bytes = 0
        self._sender.release()
