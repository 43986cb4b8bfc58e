"""The encoding of the log's files: records of length, checksum and payload."""

from collections.abc import Iterable
from struct import Struct
from typing import NamedTuple, TypeVar

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, encode
from xxhash import xxh32_intdigest, xxh64_intdigest

from lovagetray._errors import LogCorrupted
from lovagetray._log_entries import Entry, LogSnapshot, VoteRecord

T = TypeVar("T")

_MAGIC = b"LTr1"
_HEADER = Struct(">4sIQ")
_HEADER_CHECK = Struct(">I")
_HEADER_SIZE = _HEADER.size + _HEADER_CHECK.size
_entries_decoder = Decoder(tuple[Entry, ...])
_vote_decoder = Decoder(VoteRecord)
_snapshot_decoder = Decoder(LogSnapshot)


class RecordHeader(NamedTuple):
    """Where the payload of a record lies, and its checksum."""

    start: int
    end: int
    checksum: int


class LogContent(NamedTuple):
    """What a log file holds and how many of its bytes are whole records."""

    entries: tuple[Entry, ...]
    valid_bytes: int


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Return one record that holds `entries`."""
    return _record(encode(tuple(entries)))


def encode_vote(vote: VoteRecord) -> bytes:
    """Return the content of the vote file."""
    return _record(encode(vote))


def encode_snapshot(snapshot: LogSnapshot) -> bytes:
    """Return the content of the snapshot file."""
    return _record(encode(snapshot))


def decode_vote(data: bytes) -> Result[VoteRecord, LogCorrupted]:
    """Return the vote in a file."""
    return _decode_single("vote", data, _vote_decoder)


def decode_snapshot(data: bytes) -> Result[LogSnapshot, LogCorrupted]:
    """Return the snapshot in a file."""
    return _decode_single("snapshot", data, _snapshot_decoder)


def decode_log(data: bytes) -> Result[LogContent, LogCorrupted]:
    """Return the entries of a log file without a torn tail.

    Each record is synced before the next is written, so a crash can damage only the
    last one. A damaged record is therefore corruption if anything follows it: bytes
    after the length in its header, or a later header.
    """
    entries: list[Entry] = []
    position = 0
    while position < len(data):
        payload = _payload_at(data, position)
        if payload is None:
            if _is_followed(data, position):
                return Error(LogCorrupted("log", position))
            break
        try:
            entries.extend(_entries_decoder.decode(payload))
        except (DecodeError, ValidationError):
            return Error(LogCorrupted("log", position))
        position += _HEADER_SIZE + len(payload)
    return Ok(LogContent(tuple(entries), position))


def _record(payload: bytes) -> bytes:
    header = _HEADER.pack(_MAGIC, len(payload), xxh64_intdigest(payload))
    return header + _HEADER_CHECK.pack(xxh32_intdigest(header)) + payload


def _header_at(data: bytes, position: int) -> RecordHeader | None:
    start = position + _HEADER_SIZE
    if start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, position)
    (check,) = _HEADER_CHECK.unpack_from(data, position + _HEADER.size)
    header = data[position : position + _HEADER.size]
    if magic != _MAGIC or xxh32_intdigest(header) != check:
        return None
    return RecordHeader(start, start + length, checksum)


def _payload_at(data: bytes, position: int) -> bytes | None:
    header = _header_at(data, position)
    if header is None or header.end > len(data):
        return None
    payload = data[header.start : header.end]
    return payload if xxh64_intdigest(payload) == header.checksum else None


def _is_followed(data: bytes, position: int) -> bool:
    header = _header_at(data, position)
    if header is not None and header.end < len(data):
        return True
    while (position := data.find(_MAGIC, position + 1)) >= 0:
        if _header_at(data, position) is not None:
            return True
    return False


def _decode_single(
    file: str, data: bytes, decoder: Decoder[T]
) -> Result[T, LogCorrupted]:
    payload = _payload_at(data, 0)
    if payload is None:
        return Error(LogCorrupted(file, 0))
    try:
        return Ok(decoder.decode(payload))
    except (DecodeError, ValidationError):
        return Error(LogCorrupted(file, 0))
