"""Decoders and encoders of the formats of the users' platform."""

from lovagetray.platform._caller_handler import (
    decode_request,
    encode_caller_failure,
    encode_failure,
)
from lovagetray.platform._notices import decode_notice
from lovagetray.platform._replica_codec import decode_reply, replica_encoder
from lovagetray.platform._routing_document import (
    MAX_DOCUMENT_BYTES,
    decode_document,
    unreadable_entries,
)
from lovagetray.platform._settings import read_settings, settings_file

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "decode_document",
    "decode_notice",
    "decode_reply",
    "decode_request",
    "encode_caller_failure",
    "encode_failure",
    "read_settings",
    "replica_encoder",
    "settings_file",
    "unreadable_entries",
]
