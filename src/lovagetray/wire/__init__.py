"""Encodings of messages, and connections; contains no decisions."""

from lovagetray.wire._caller_json import (
    SearchDefaults,
    SearchDocument,
    decode_search_document,
    encode_addresses,
    encode_failure,
    encode_search_response,
    failure_status,
    search_request,
)
from lovagetray.wire._caller_messages import NoResponse, RawRequest, RawResponse
from lovagetray.wire._caller_server import CallerServer
from lovagetray.wire._connect import connect
from lovagetray.wire._directory_codec import decode_directory, encode_directory
from lovagetray.wire._effect_json import decode_effect_request, encode_effect_response
from lovagetray.wire._evacuation_codec import (
    decode_evacuation_order,
    decode_evacuation_outcome,
    decode_evacuation_snapshot,
    encode_evacuation_order,
    encode_evacuation_outcome,
    encode_evacuation_snapshot,
)
from lovagetray.wire._http import HttpRequest, HttpResponse, is_status
from lovagetray.wire._http_client import HttpConnection
from lovagetray.wire._http_reader import HttpLimits
from lovagetray.wire._http_server import HttpServer
from lovagetray.wire._ledger_codec import (
    decode_ledger_command,
    decode_ledger_reply,
    decode_ledger_snapshot,
    encode_ledger_command,
    encode_ledger_reply,
    encode_ledger_snapshot,
)
from lovagetray.wire._log_codec import (
    LogContent,
    compress_bytes,
    compress_entries,
    decode_log,
    decode_snapshot,
    decode_vote,
    decompress_bytes,
    decompress_entries,
    encode_entries,
    encode_snapshot,
    encode_vote,
)
from lovagetray.wire._peer_codec import (
    decode_envelope,
    decode_execution,
    decode_failure_frame,
    decode_outcome,
    encode_envelope,
    encode_execution,
    encode_failure_frame,
    encode_outcome,
)
from lovagetray.wire._peers import PeerTransport
from lovagetray.wire._processor_turns import ProcessorTurns
from lovagetray.wire._settings_codec import (
    decode_settings_command,
    decode_settings_outcome,
    decode_settings_snapshot,
    encode_settings_command,
    encode_settings_outcome,
    encode_settings_snapshot,
)
from lovagetray.wire._settings_documents import (
    AcceptedDocument,
    AuditDocument,
    AuditEntryDocument,
    AuditFaultDocument,
    DiffDocument,
    DifferenceDocument,
    DryRunDocument,
    EffectiveValueChangeDocument,
    EffectiveValueDocument,
    EffectiveValuesDocument,
    ExplanationDocument,
    ExportDocument,
    HistoryDocument,
    ProblemDocument,
    RevisionDocument,
    SettingsErrorDocument,
    SettingsFailureDocument,
    StepDocument,
    ValueDocument,
    WinnerDocument,
)
from lovagetray.wire._settings_ini import format_ini, parse_ini
from lovagetray.wire._settings_json import (
    MAX_REQUEST_ID_LENGTH,
    ChangeDocument,
    ChangesDocument,
    ImportDocument,
    RollBackDocument,
    change_command,
    decode_changes,
    decode_import,
    decode_roll_back,
    import_command,
    roll_back_command,
)
from lovagetray.wire._settings_responses import (
    encode_accepted_change,
    encode_diff,
    encode_explanation,
    encode_export,
    encode_history,
    encode_named_tuple,
    encode_settings_failure,
    encode_value,
)
from lovagetray.wire._target_json import (
    decode_announcement,
    decode_execute_reply,
    decode_sub_reply,
    encode_announcement_response,
    encode_execute_request,
    encode_sub_request,
    execute_headers,
    sub_request_headers,
)
