"""JSON requests of the administration interface."""

from typing import NotRequired, TypedDict, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from lovagetray._errors import MalformedRequest
from lovagetray.state import (
    Branches,
    Change,
    ChangeSettings,
    ImportTree,
    Origin,
    RollBack,
    SetValue,
    UnsetValue,
)

MAX_REQUEST_ID_LENGTH = 128


class ChangeDocument(TypedDict):
    """A change to one key; without a value, or with null, the key is unset."""

    path: str
    key: str
    value: NotRequired[str | None]


class ChangesDocument(TypedDict):
    """The body of ``POST /v1/settings/change``."""

    base: int
    changes: list[ChangeDocument]
    request_id: NotRequired[str]
    dry_run: NotRequired[bool]


class RollBackDocument(TypedDict):
    """The body of ``POST /v1/settings/rollback``."""

    base: int
    to_revision: int
    request_id: NotRequired[str]
    dry_run: NotRequired[bool]


class ImportDocument(TypedDict):
    """The body of ``POST /v1/settings/import``.

    `branches` maps each path to the values that are set there, by key.
    """

    base: int
    branches: Branches
    request_id: NotRequired[str]
    dry_run: NotRequired[bool]


Document = TypeVar("Document", ChangesDocument, RollBackDocument, ImportDocument)

_changes_decoder = Decoder(ChangesDocument)
_roll_back_decoder = Decoder(RollBackDocument)
_import_decoder = Decoder(ImportDocument)
_DECODE_ERRORS = (DecodeError, ValidationError, UnicodeDecodeError, RecursionError)


def decode_changes(body: bytes) -> Result[ChangesDocument, MalformedRequest]:
    """Return the document of a change, or the reason why it is malformed."""
    try:
        document = _changes_decoder.decode(body)
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))
    if not document["changes"]:
        return Error(MalformedRequest("there are no changes"))
    return _validate(document)


def decode_roll_back(body: bytes) -> Result[RollBackDocument, MalformedRequest]:
    """Return the document of a rollback, or the reason why it is malformed."""
    try:
        return _validate(_roll_back_decoder.decode(body))
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))


def decode_import(body: bytes) -> Result[ImportDocument, MalformedRequest]:
    """Return the document of an import, or the reason why it is malformed."""
    try:
        return _validate(_import_decoder.decode(body))
    except _DECODE_ERRORS as error:
        return Error(MalformedRequest(str(error)))


def change_command(document: ChangesDocument, origin: Origin) -> ChangeSettings:
    """Return the command for the changes in a document."""
    changes = tuple(map(_to_change, document["changes"]))
    return ChangeSettings(origin, document["base"], changes)


def roll_back_command(document: RollBackDocument, origin: Origin) -> RollBack:
    """Return the command for the rollback in a document."""
    return RollBack(origin, document["base"], document["to_revision"])


def import_command(document: ImportDocument, origin: Origin) -> ImportTree:
    """Return the command for the import in a document."""
    return ImportTree(origin, document["base"], document["branches"])


def _validate(document: Document) -> Result[Document, MalformedRequest]:
    if document["base"] < 0:
        return Error(MalformedRequest("base must be a revision"))
    request_id = document.get("request_id", "-")
    if not 1 <= len(request_id) <= MAX_REQUEST_ID_LENGTH:
        reason = f"request_id must have 1 to {MAX_REQUEST_ID_LENGTH} characters"
        return Error(MalformedRequest(reason))
    return Ok(document)


def _to_change(document: ChangeDocument) -> Change:
    text = document.get("value")
    if text is None:
        return UnsetValue(document["path"], document["key"])
    return SetValue(document["path"], document["key"], text)
