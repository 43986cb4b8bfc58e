"""Steps for the administration interface: its routes and its command line."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from os import close, dup, dup2
from shlex import split
from sys import __stderr__ as stderr, __stdout__ as stdout
from tempfile import TemporaryFile
from typing import Any
from unittest.mock import patch
from urllib.parse import parse_qsl, urlsplit

from behave import given, then, when
from behave.runner import Context
from expression import Error
from fakes.settings_harness import SettingsHarness
from msgspec.json import decode

from lovagetray._errors import TimedOut
from lovagetray.cli import main


@when('{method} "{path}" is called with authorization "{authorization}"')
def call_with_authorization(
    context: Context, method: str, path: str, authorization: str
) -> None:
    context.harness.call(method, path, {"base": 0}, authorization)


@when('{method} "{path}" is called with authorization ""')
def call_without_authorization(context: Context, method: str, path: str) -> None:
    context.harness.call(method, path, {"base": 0}, "")


@then('the answer holds only the error "{code}" with status {status:d}')
def check_only_error(context: Context, code: str, status: int) -> None:
    harness = context.harness
    assert harness.status == status, harness.answer
    assert set(harness.answer) == {"error", "request_id"}, harness.answer
    assert set(harness.answer["error"]) == {
        "code",
        "message",
        "not_run",
    }, harness.answer
    assert harness.answer["error"]["code"] == code, harness.answer
    assert harness.proposer.index == 0


@when("an operator calls {method} \"{target}\" with body '{body}'")
def call_with_body(context: Context, method: str, target: str, body: str) -> None:
    context.harness.call(method, urlsplit(target).path, decode(body))


@when("an operator calls {method} \"{target}\" with body ''")
def call_without_body(context: Context, method: str, target: str) -> None:
    parts = urlsplit(target)
    context.harness.call(method, parts.path, **dict(parse_qsl(parts.query)))


@given("an empty settings tree served on loopback")
def serve_tree(context: Context) -> None:
    context.harness = SettingsHarness()
    context.harness.listen()
    context.add_cleanup(context.harness.stop)
    (context.folder / "token").write_text("aino-token\n")
    (context.folder / "bad").write_text("no-token\n")


@given("the outcome of every proposal is unknown")
def time_out_proposals(context: Context) -> None:
    async def propose(proposal: Any) -> Any:
        return Error(TimedOut(timedelta(seconds=5)))

    patcher = patch.object(context.harness.proposer, "propose", propose)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when("the server stops")
def stop_server(context: Context) -> None:
    context.harness.stop()


@then("these command lines exit and print as follows")
def check_command_lines(context: Context) -> None:
    for row in context.table:
        line = row["command line"].replace("{folder}", str(context.folder))
        code, output = _run_command_line(context, line)
        assert code == int(row["exit"]), (line, code, output)
        expected = " ".join(row["prints"].split())
        assert expected in " ".join(output.split()), (line, output)
        if line == "settings export":
            (context.folder / "exported.ini").write_text(output)


def _run_command_line(context: Context, line: str) -> tuple[int, str]:
    """Return the exit code of a command line, and its standard output and errors."""
    arguments = split(line) + ["--entry", str(context.harness.address)]
    if "--token-file" not in line:
        arguments += ["--token-file", str(context.folder / "token")]
    with TemporaryFile("w+") as file:
        with _redirected_output(file.fileno()):
            code = main(arguments)
        file.seek(0)
        return code, file.read()


@contextmanager
def _redirected_output(descriptor: int) -> Iterator[None]:
    """Redirect standard output and errors to a file descriptor.

    The redirection is done at the level of descriptors, because modules hold references
    to the stream objects.
    """
    saved = [(stream.fileno(), dup(stream.fileno())) for stream in (stdout, stderr)]
    stdout.flush()
    try:
        for original, _ in saved:
            dup2(descriptor, original)
        yield
    finally:
        stdout.flush()
        for original, copy in saved:
            dup2(copy, original)
            close(copy)
