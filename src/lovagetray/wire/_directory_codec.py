"""Encoding of the file that holds the directory of replicas."""

from expression import Result
from msgspec.msgpack import Decoder, encode

from lovagetray._errors import LogCorrupted
from lovagetray.state import StoredDirectory
from lovagetray.wire._log_codec import decode_single_record, encode_record

_decoder = Decoder(StoredDirectory)


def encode_directory(stored: StoredDirectory) -> bytes:
    """Return the content of the directory's file."""
    return encode_record(encode(stored))


def decode_directory(data: bytes) -> Result[StoredDirectory, LogCorrupted]:
    """Return the directory in the content of its file."""
    return decode_single_record("directory", data, _decoder)
