"""Logging and metrics of a process."""

from logging import CRITICAL, INFO, getLogger
from sys import stderr
from typing import Any, Protocol, TextIO, cast

from msgspec.json import Encoder
from prometheus_client import Counter, Gauge, Histogram
from structlog import PrintLoggerFactory, configure, make_filtering_bound_logger
from structlog.contextvars import merge_contextvars
from structlog.processors import JSONRenderer, TimeStamper, add_log_level

_encoder = Encoder(enc_hook=str)
SEARCH_SECONDS = Histogram(
    "lovagetray_search_seconds",
    "Time from reading a search to its answer",
    ["service"],
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5),
)
SHARDS_MISSING = Counter(
    "lovagetray_shards_missing_total",
    "Shards missing from answers, by reason",
    ["service", "reason"],
)
SUB_REQUESTS = Counter(
    "lovagetray_sub_requests_total",
    "Sub-requests sent, by kind: first, retry or hedge",
    ["service", "kind"],
)
SHARDS_INCLUDED = Counter(
    "lovagetray_shards_included_total",
    "Shards included in answers",
    ["service"],
)
LATE_REPLIES = Counter(
    "lovagetray_late_replies_total",
    "Outcomes of sub-requests that were no longer waited for",
    ["service"],
)
WRONG_REPLIES = Counter(
    "lovagetray_wrong_replies_total",
    "Replies discarded because they named another request, shard or snapshot",
    ["service", "field"],
)
QUERY_RESTARTS = Counter(
    "lovagetray_query_restarts_total",
    "Queries run again at a newer snapshot",
    ["service"],
)
SEARCH_REFUSALS = Counter(
    "lovagetray_search_refusals_total",
    "Searches refused, by service and error code",
    ["service", "code"],
)
ADMISSION_RUNNING = Gauge(
    "lovagetray_admission_running",
    "Queries that run now",
    ["service"],
)
ADMISSION_WAITING = Gauge(
    "lovagetray_admission_waiting",
    "Queries that wait to be admitted",
    ["service"],
)
ADMISSION_SECONDS = Histogram(
    "lovagetray_admission_seconds",
    "Time that admitted queries waited",
    ["service"],
    buckets=(0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.33),
)
REFUSALS = Counter(
    "lovagetray_refusals_total",
    "Requests answered with an error, by its code",
    ["code"],
)
MEMBER_SERVICE = Counter(
    "lovagetray_member_service_total",
    "Requests answered, by service and member",
    ["service", "member"],
)
CALLER_CONNECTIONS = Gauge(
    "lovagetray_caller_connections",
    "Connections of callers that are open",
)


SETTINGS_REVISION = Gauge(
    "lovagetray_settings_revision",
    "Revision of the settings in force at this instance",
)
AGREEMENT_TERM = Gauge(
    "lovagetray_agreement_term",
    "Newest term of the replicated log that this instance knows",
)
AGREEMENT_LEADS = Gauge(
    "lovagetray_agreement_leads",
    "1 if this instance leads the replicated log, otherwise 0",
)
REPLICA_CONNECTIONS = Gauge(
    "lovagetray_replica_connections",
    "Connections to replicas that are open",
    ["service"],
)
REPLICA_SLOTS = Gauge(
    "lovagetray_replica_slots_in_use",
    "Slots of replicas that this instance uses",
    ["service"],
)
QUEUE_WAIT_SECONDS = Histogram(
    "lovagetray_queue_wait_seconds",
    "Time that sub-requests waited for a slot at the owner",
    ["service"],
    buckets=(0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.33, 1),
)
SHEDS = Counter("lovagetray_sheds_total", "Requests that replicas shed", ["service"])
SILENT_CONNECTIONS = Counter(
    "lovagetray_silent_connections_total",
    "Connections found dead because a fresh one to the same replica answered",
    ["service"],
)
OWNERSHIP_MOVES = Counter(
    "lovagetray_ownership_moves_total",
    "Replicas that this instance took over",
    ["service"],
)
RELAYED_ANNOUNCEMENTS_REFUSED = Counter(
    "lovagetray_relayed_announcements_refused_total",
    "Relayed announcements that were stale or contradicted what is known",
    ["code"],
)
_DISPATCH_ATTEMPTS = Counter(
    "lovagetray_dispatch_attempts_total",
    "Requests sent to replicas, by kind: first, retry or hedge",
    ["kind"],
)
# The labelled counters are cached, because a lookup costs more than an increment.
DISPATCH_ATTEMPTS = {
    kind: _DISPATCH_ATTEMPTS.labels(kind) for kind in ("first", "retry", "hedge")
}


GATEWAY_SECONDS = Histogram(
    "lovagetray_gateway_request_seconds",
    "Time from reading a caller's request to its answer, by outcome",
    ["outcome"],
    buckets=(0.005, 0.01, 0.02, 0.035, 0.05, 0.1, 0.25, 0.5, 0.8, 2, 8),
)
GATEWAY_SHARDS = Counter(
    "lovagetray_gateway_shards_total",
    "Shards of answered queries, included or missing",
    ["part"],
)
_ACCESS_REFUSALS = Counter(
    "lovagetray_access_refusals_total",
    "Requests refused because of their key, by reason",
    ["reason"],
)
ACCESS_REFUSALS = {
    reason: _ACCESS_REFUSALS.labels(reason)
    for reason in ("key_missing", "key_malformed", "key_unknown", "state_too_old")
}
CONFIRMED_STATE_AGE = Gauge(
    "lovagetray_confirmed_state_age_seconds",
    "Time since when accepted changes may be missing here; infinite if unknown",
)
ROUTING_VERSION = Gauge(
    "lovagetray_routing_version",
    "Version of the routing document in force at this instance",
)
DIRECTORY_RELAY = Gauge(
    "lovagetray_directory_relay",
    "1 if this instance relays the directory to others, 0 if it subscribes to a relay",
)
KNOWN_INSTANCES = Gauge(
    "lovagetray_known_instances",
    "Instances that this one knows, by whether they are live",
    ["state"],
)
KNOWN_REPLICAS = Gauge(
    "lovagetray_known_replicas",
    "Replicas that this instance knows, by whether they take requests",
    ["state"],
)
EVACUATED_DATA_CENTRES = Gauge(
    "lovagetray_evacuated_data_centres",
    "Data centres whose replicas get no requests because they are evacuated",
)
EVACUATED_REPLICAS = Gauge(
    "lovagetray_evacuated_replicas",
    "Usable replicas that get no requests because their data centre is evacuated",
)
COLD_REPLICAS = Gauge(
    "lovagetray_cold_replicas",
    "Usable replicas whose rate of requests is limited because they warm up",
)
COLD_REPLICAS_SKIPPED = Counter(
    "lovagetray_cold_replicas_skipped_total",
    "Choices of a replica in which the limit for cold replicas excluded one",
)
PREDICTION_RATIO = Histogram(
    "lovagetray_placement_prediction_ratio",
    "Latency of sub-requests divided by the latency expected when they were sent",
    buckets=(0.1, 0.2, 0.5, 0.8, 1.0, 1.25, 2, 5, 10),
)
ESTIMATE_RELIANCE = Gauge(
    "lovagetray_placement_estimate_reliance",
    "How far estimates by route and workspace are used, from 0 to 1",
)
ADMISSION_DECISIONS = Counter(
    "lovagetray_admission_decisions_total",
    "Requests by admission decision",
    ["decision"],
)
REPLICA_CHANNELS = Gauge(
    "lovagetray_replica_channels",
    "Connections to replicas that are open",
)
_QUOTA_REQUESTS = Counter(
    "lovagetray_quota_requests_total",
    "Requests of workspaces with a quota, by the decision on their admission",
    ["decision"],
)
QUOTA_REQUESTS = {
    decision: _QUOTA_REQUESTS.labels(decision)
    for decision in (
        "admitted_on_debt",
        "granted",
        "over_quota",
        "unconfirmed",
        "not_checked",
        "returned",
    )
}
QUOTA_REPORT_SECONDS = Histogram(
    "lovagetray_quota_report_seconds",
    "Time from a report of use to the answer of the leader",
    buckets=(0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5),
)
QUOTA_REPORTS_LOST = Counter(
    "lovagetray_quota_reports_unanswered_total",
    "Reports of use that no leader answered in time",
)

HELD_BYTES = Gauge(
    "lovagetray_held_bytes",
    "Bytes held for callers, by what they are held for",
    ["part"],
)
HELD_BYTES_LIMIT = Gauge(
    "lovagetray_held_bytes_limit",
    "Bound of the bytes held for callers, by what they are held for",
    ["part"],
)
DOOR_CONNECTIONS = Gauge(
    "lovagetray_door_connections",
    "Connections that are open, by door: callers or control",
    ["door"],
)
DOOR_CONNECTIONS_LIMIT = Gauge(
    "lovagetray_door_connections_limit",
    "Maximum number of connections, by door: callers or control",
    ["door"],
)
BOUND_ACTIONS = Counter(
    "lovagetray_bound_actions_total",
    "Connections closed and requests refused at a bound of memory or descriptors",
    ["action"],
)
PROCESSOR_TURNS = Counter(
    "lovagetray_processor_turns_total",
    "Turns in which input of connections beyond their processor time was read",
)


class LineStream(Protocol):
    """Output stream for log lines."""

    def write(self, text: str) -> object:
        """Write a line."""

    def flush(self) -> None:
        """Write out buffered lines."""


def configure_logging(level: int = INFO, stream: LineStream = stderr) -> None:
    """Write log events of a level and above as JSON lines to a stream."""
    # curio logs plain-text warnings about tasks that end just after their timeout.
    getLogger("curio").setLevel(CRITICAL)
    configure(
        wrapper_class=make_filtering_bound_logger(level),
        processors=[
            merge_contextvars,
            add_log_level,
            TimeStamper(fmt="iso", utc=True, key="time"),
            JSONRenderer(serializer=_encode_line),
        ],
        logger_factory=PrintLoggerFactory(cast(TextIO, stream)),
        cache_logger_on_first_use=True,
    )


def _encode_line(event: Any, **_: Any) -> str:
    return _encoder.encode(event).decode()
