"""``lovagetray check-configuration``: check a routing document before it is sent."""

from argparse import ArgumentTypeError, Namespace, RawDescriptionHelpFormatter
from collections.abc import Sequence
from io import TextIOWrapper
from json import dumps
from os import O_WRONLY, devnull, dup2, open as os_open
from pathlib import Path
from sys import stderr, stdout
from typing import Any

from expression import Error, Ok, Result

from lovagetray._routing_types import RoutingDocument
from lovagetray.cli._exit_codes import ExitCode
from lovagetray.cli.queries._findings_text import (
    FindingDocument,
    finding_line,
    report_documents,
)
from lovagetray.queries.configuration import (
    ConfigurationReport,
    Expectations,
    UnusableFile,
    check_configuration,
)

_EPILOG = """The findings are printed one per line as SEVERITY: KIND: WHERE: MESSAGE.
Keys of workspaces are never printed.

exit codes:
  0  instances accept the configuration; there may be warnings and differences
  1  there are errors, or a file cannot be read as a configuration
  2  wrong usage
"""


def add_check_configuration_parser(subparsers: Any) -> None:
    """Add the subcommand that checks a routing document."""
    parser = subparsers.add_parser(
        "check-configuration",
        help="check a configuration of the gateway before it is sent",
        epilog=_EPILOG,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("file", type=Path, help="the configuration, a JSON file")
    parser.add_argument(
        "--against",
        type=Path,
        metavar="FILE",
        help="the configuration in force; the differences from it are listed",
    )
    parser.add_argument(
        "--replicas",
        type=_count_argument,
        metavar="COUNT",
        help="replicas of each service, which a configuration does not state; "
        "routes with more attempts are reported",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_run_check)


def _count_argument(text: str) -> int:
    try:
        count = int(text)
    except ValueError:
        raise ArgumentTypeError(f"{text!r} is not a number") from None
    if count < 0:
        raise ArgumentTypeError(f"{count} is negative")
    return count


def _run_check(arguments: Namespace) -> int:
    report = _check_files(
        arguments.file, arguments.against, Expectations(replicas=arguments.replicas)
    )
    try:
        _print_findings(report_documents(report), arguments)
        stdout.flush()
    except BrokenPipeError:
        # The reader wants no more lines, such as `head`. The interpreter flushes the
        # output once more at its end.
        dup2(os_open(devnull, O_WRONLY), stdout.fileno())
    return ExitCode.REFUSED if report.errors else ExitCode.DONE


def _check_files(
    file: Path, against: Path | None, expectations: Expectations
) -> ConfigurationReport:
    in_force: RoutingDocument | None = None
    unusable: tuple[UnusableFile, ...] = ()
    if against is not None:
        match _read_document(against):
            case Result(tag="ok", ok=in_force):
                pass
            case Result(error=unusable):
                pass
    match _read_document(file):
        case Result(tag="ok", ok=document):
            report = check_configuration(document, in_force, expectations)
            return report._replace(errors=unusable + report.errors)
        case Result(error=reasons):
            return ConfigurationReport(errors=reasons + unusable)


def _read_document(
    file: Path,
) -> Result[RoutingDocument, tuple[UnusableFile, ...]]:
    # Imported here, because the other subcommands do not need the libraries that the
    # platform package imports.
    from lovagetray.platform.formats import (
        MAX_DOCUMENT_BYTES,
        decode_document,
        unreadable_entries,
    )

    try:
        with file.open("rb") as stream:
            # A larger file may not fit into the memory, or may have no end.
            source = stream.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        return Error((UnusableFile(str(file), error.strerror or str(error)),))
    if len(source) > MAX_DOCUMENT_BYTES:
        reason = (
            f"the file has more than {MAX_DOCUMENT_BYTES} bytes, which instances refuse"
        )
        return Error((UnusableFile(str(file), reason),))
    match decode_document(source):
        case Result(tag="ok", ok=document):
            return Ok(document)
        case _:
            return Error(
                tuple(
                    UnusableFile(str(file), failure.reason)
                    for failure in unreadable_entries(source)
                )
            )


def _print_findings(findings: Sequence[FindingDocument], arguments: Namespace) -> None:
    counts = {
        f"{severity}s": sum(finding["severity"] == severity for finding in findings)
        for severity in ("error", "warning", "difference")
    }
    if arguments.json:
        against = None if arguments.against is None else str(arguments.against)
        document = {"file": str(arguments.file), "against": against, **counts}
        # Only ASCII characters, so that any encoding of the output can hold them.
        print(dumps({**document, "findings": findings}, indent=2))
        return
    if isinstance(stdout, TextIOWrapper):
        stdout.reconfigure(errors="backslashreplace")
    for finding in findings:
        print(finding_line(finding))
    summary = ", ".join(f"{count} {name}" for name, count in counts.items())
    print(ascii(str(arguments.file))[1:-1] + f": {summary}", file=stderr)
