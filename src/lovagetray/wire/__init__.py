"""Encodings and connections; no decision is taken here."""

from lovagetray.wire._caller_json import (
    SearchDefaults,
    SearchDocument,
    decode_search_document,
    encode_addresses,
    encode_answer,
    encode_failure,
    search_request,
)
from lovagetray.wire._http import HttpRequest, HttpResponse
from lovagetray.wire._http_client import HttpConnection
from lovagetray.wire._http_server import HttpLimits, HttpServer
from lovagetray.wire._peer_codec import (
    decode_envelope,
    decode_execution,
    decode_outcome,
    encode_envelope,
    encode_execution,
    encode_outcome,
)
from lovagetray.wire._peers import Peers
from lovagetray.wire._target_json import (
    decode_announcement,
    decode_execute_reply,
    decode_sub_reply,
    encode_accepted,
    encode_execute_request,
    encode_sub_request,
    execute_headers,
    sub_request_headers,
)
