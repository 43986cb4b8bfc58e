"""Encoding of the log's files as records.

A record is a header with the length and the checksum of the payload and with a checksum
of the header itself, followed by the payload.
"""

from collections.abc import Iterable
from struct import Struct
from typing import NamedTuple, TypeVar
from zlib import compress, decompressobj, error as ZlibError

from expression import Error, Ok, Result
from msgspec import DecodeError, ValidationError
from msgspec.msgpack import Decoder, encode
from xxhash import xxh32_intdigest, xxh64_intdigest

from lovagetray._errors import LogCorrupted, MalformedRequest
from lovagetray._log_entries import Entry, LogSnapshot, VoteRecord

T = TypeVar("T")

_MAGIC = b"LTr1"
_HEADER = Struct(">4sIQ")
_HEADER_CHECKSUM = Struct(">I")
_HEADER_SIZE = _HEADER.size + _HEADER_CHECKSUM.size
# Successive routing documents differ little: 15 of 20 KB take 12 KB at this level.
_COMPRESSION_LEVEL = 1
# A batch of entries and a snapshot are far smaller; the limit keeps damaged bytes from
# filling the memory.
_MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
_entries_decoder = Decoder(tuple[Entry, ...])
_vote_decoder = Decoder(VoteRecord)
_snapshot_decoder = Decoder(LogSnapshot)


class RecordHeader(NamedTuple):
    """Offsets of a record's payload in its file, and the payload's checksum."""

    start: int
    end: int
    checksum: int


class LogContent(NamedTuple):
    """Entries of a log file and the number of bytes that its intact records occupy."""

    entries: tuple[Entry, ...]
    valid_bytes: int


def encode_entries(entries: Iterable[Entry]) -> bytes:
    """Return one record that contains `entries`."""
    return encode_record(encode(tuple(entries)))


def compress_entries(entries: Iterable[Entry]) -> bytes:
    """Return entries in a compressed form, for other instances."""
    return compress_bytes(encode(tuple(entries)))


def decompress_entries(data: bytes) -> Result[tuple[Entry, ...], MalformedRequest]:
    """Return the entries in their compressed form."""
    match decompress_bytes(data):
        case Result(tag="ok", ok=encoded):
            try:
                return Ok(_entries_decoder.decode(encoded))
            except (DecodeError, ValidationError, RecursionError, OverflowError) as e:
                return Error(MalformedRequest(str(e)))
        case Result(error=failure):
            return Error(failure)


def compress_bytes(data: bytes) -> bytes:
    """Return `data` in a compressed form."""
    return compress(data, _COMPRESSION_LEVEL)


def decompress_bytes(data: bytes) -> Result[bytes, MalformedRequest]:
    """Return the bytes in their compressed form, of which there may be 64 MB."""
    decompressor = decompressobj()
    try:
        decompressed = decompressor.decompress(data, _MAX_DECOMPRESSED_BYTES)
    except ZlibError as error:
        return Error(MalformedRequest(str(error)))
    if not decompressor.eof:
        return Error(MalformedRequest("compressed bytes are cut off or too many"))
    return Ok(decompressed)


def encode_vote(vote: VoteRecord) -> bytes:
    """Return the content of the vote file."""
    return encode_record(encode(vote))


def encode_snapshot(snapshot: LogSnapshot) -> bytes:
    """Return the content of the snapshot file."""
    return encode_record(encode(snapshot))


def decode_vote(data: bytes) -> Result[VoteRecord, LogCorrupted]:
    """Return the vote in the content of a vote file."""
    return decode_single_record("vote", data, _vote_decoder)


def decode_snapshot(data: bytes) -> Result[LogSnapshot, LogCorrupted]:
    """Return the snapshot in the content of a snapshot file."""
    return decode_single_record("snapshot", data, _snapshot_decoder)


def decode_log(data: bytes) -> Result[LogContent, LogCorrupted]:
    """Return the entries of a log file; a damaged last record is ignored.

    Each record is synced before the next one is written, so a crash can damage only the
    last one. A damaged record that is followed by anything is therefore reported as
    corruption: either bytes beyond the length in its header, or another header.
    """
    entries: list[Entry] = []
    position = 0
    while position < len(data):
        payload = _payload_at(data, position)
        if payload is None:
            if _has_later_data(data, position):
                return Error(LogCorrupted("log", position))
            break
        try:
            entries.extend(_entries_decoder.decode(payload))
        except (DecodeError, ValidationError, RecursionError, OverflowError):
            return Error(LogCorrupted("log", position))
        position += _HEADER_SIZE + len(payload)
    return Ok(LogContent(tuple(entries), position))


def encode_record(payload: bytes) -> bytes:
    """Return a payload with the header of a record."""
    header = _HEADER.pack(_MAGIC, len(payload), xxh64_intdigest(payload))
    return header + _HEADER_CHECKSUM.pack(xxh32_intdigest(header)) + payload


def _header_at(data: bytes, position: int) -> RecordHeader | None:
    start = position + _HEADER_SIZE
    if start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, position)
    (header_checksum,) = _HEADER_CHECKSUM.unpack_from(data, position + _HEADER.size)
    header = data[position : position + _HEADER.size]
    if magic != _MAGIC or xxh32_intdigest(header) != header_checksum:
        return None
    return RecordHeader(start, start + length, checksum)


def _payload_at(data: bytes, position: int) -> bytes | None:
    header = _header_at(data, position)
    if header is None or header.end > len(data):
        return None
    payload = data[header.start : header.end]
    return payload if xxh64_intdigest(payload) == header.checksum else None


def _has_later_data(data: bytes, position: int) -> bool:
    header = _header_at(data, position)
    if header is not None and header.end < len(data):
        return True
    while (position := data.find(_MAGIC, position + 1)) >= 0:
        if _header_at(data, position) is not None:
            return True
    return False


def decode_single_record(
    file_name: str, data: bytes, decoder: Decoder[T]
) -> Result[T, LogCorrupted]:
    """Return the decoded payload of a file that holds one record."""
    payload = _payload_at(data, 0)
    if payload is None:
        return Error(LogCorrupted(file_name, 0))
    try:
        return Ok(decoder.decode(payload))
    except (DecodeError, ValidationError, RecursionError, OverflowError):
        return Error(LogCorrupted(file_name, 0))
