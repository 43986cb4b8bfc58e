"""Steps that use the administration interface as operators do."""

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
def call_with(context: Context, method: str, path: str, authorization: str) -> None:
    context.harness.call(method, path, {"base": 0}, authorization)


@when('{method} "{path}" is called with authorization ""')
def call_without(context: Context, method: str, path: str) -> None:
    context.harness.call(method, path, {"base": 0}, "")


@then('the answer is only the error "{code}" with status {status:d}')
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


@given("the log answers that no outcome is known")
def lose_outcomes(context: Context) -> None:
    async def propose(proposal: Any) -> Any:
        return Error(TimedOut(timedelta(seconds=5)))

    patched = patch.object(context.harness.proposer, "propose", propose)
    patched.start()
    context.add_cleanup(patched.stop)


@when("the server stops")
def stop_server(context: Context) -> None:
    context.harness.stop()


@then("these command lines exit and print as follows")
def check_command_lines(context: Context) -> None:
    for row in context.table:
        line = row["command line"].replace("{folder}", str(context.folder))
        code, printed = _run_line(context, line)
        assert code == int(row["exit"]), (line, code, printed)
        expected = " ".join(row["prints"].split())
        assert expected in " ".join(printed.split()), (line, printed)
        if line == "settings export":
            (context.folder / "exported.ini").write_text(printed)


def _run_line(context: Context, line: str) -> tuple[int, str]:
    arguments = split(line) + ["--entry", str(context.harness.address)]
    if "--token-file" not in line:
        arguments += ["--token-file", str(context.folder / "token")]
    with TemporaryFile("w+") as output:
        with _descriptors_into(output.fileno()):
            code = main(arguments)
        output.seek(0)
        return code, output.read()


@contextmanager
def _descriptors_into(descriptor: int) -> Iterator[None]:
    """Send both output streams to a file, below the objects that modules hold."""
    saved = [(stream.fileno(), dup(stream.fileno())) for stream in (stdout, stderr)]
    stdout.flush()
    try:
        for number, _ in saved:
            dup2(descriptor, number)
        yield
    finally:
        stdout.flush()
        for number, copy in saved:
            dup2(copy, number)
            close(copy)
