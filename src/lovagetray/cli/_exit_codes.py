"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a subcommand; the help of the program explains each."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    UNREACHABLE = 4
    INCOMPLETE = 5
    CONFLICT = 6
    UNKNOWN = 7
