"""Steps for the rate-limited log stream."""

from os import close, pipe, read, set_blocking

from behave import then, when
from behave.runner import Context

from lovagetray._log_stream import LogStream


@when("{count:d} lines are logged in one second")
def log_many(context: Context, count: int) -> None:
    times = iter(number / count for number in range(count + 1))
    context.count = count
    _log(context, count, b"x" * 8, lambda: next(times), reading=True)


@when("{count:d} lines of {size:d} bytes are logged while nothing is read")
def log_unread(context: Context, count: int, size: int) -> None:
    context.count = count
    _log(context, count, b"y" * size, lambda: 0.0, reading=False)


@then("at most {limit:d} are written, each whole, and the others are counted")
def check_bounded(context: Context, limit: int) -> None:
    lines = context.written.split(b"\n")[:-1]
    assert len(lines) <= limit and set(lines) == {b"x" * 8}
    assert len(lines) + context.stream.dropped == context.count


@then("logging has not blocked and the reader gets whole lines")
def check_unread(context: Context) -> None:
    # A pipe holds 64 KiB: a blocking write would never have returned.
    lines = context.written.split(b"\n")[:-1]
    assert lines and set(lines) == {b"y" * 200}, len(lines)
    assert context.stream.dropped > 0


def _log(context: Context, count: int, line: bytes, clock, reading: bool) -> None:
    reader, writer = pipe()
    set_blocking(reader, False)
    context.written = b""
    context.stream = LogStream(writer, clock)

    def drain() -> None:
        try:
            while data := read(reader, 1 << 16):
                context.written += data
        except BlockingIOError:
            # The pipe is empty.
            pass

    for _ in range(count):
        context.stream.write(line.decode())
        context.stream.write("\n")
        if reading:
            drain()
    drain()
    close(writer)
    close(reader)
