"""INI encoding of a settings tree; the name of a section is the path of a branch."""

from configparser import ConfigParser, Error as IniError

from expression import Error, Ok, Result

from lovagetray._errors import MalformedRequest
from lovagetray.state import Branches


def format_ini(branches: Branches) -> str:
    """Return a tree as INI text."""
    sections = []
    for path, values in branches.items():
        lines = [f"[{path}]", *(f"{key} = {value}" for key, value in values.items())]
        sections.append("\n".join(lines) + "\n")
    return "\n".join(sections)


def parse_ini(text: str) -> Result[Branches, MalformedRequest]:
    """Return the tree in an INI text, or the reason why the text is malformed.

    Paths, keys and values are not validated here but by the import.
    """
    parser = ConfigParser(
        interpolation=None, default_section="", delimiters=("=",), strict=True
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text)
    except IniError as error:
        return Error(MalformedRequest(str(error)))
    return Ok({path: dict(parser[path]) for path in parser.sections()})
