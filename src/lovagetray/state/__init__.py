"""State of an instance, which commands change and queries read."""

from lovagetray.state._admission_counts import (
    AdmissionCounts,
    RequestCounts,
    ReturnSchedule,
    WaitHorizons,
)
from lovagetray.state._answer_limit import AnswerLimit
from lovagetray.state._audit import (
    Audit,
    AuditAnchor,
    AuditEntry,
    AuditFault,
    AuditSnapshot,
    verify_chain,
)
from lovagetray.state._credit import CreditAnswer, CreditBook, CreditClaim
from lovagetray.state._directory_feed import (
    DirectoryFeed,
    FedInstance,
    FedReplica,
    FeedChanges,
    FeedEntry,
    FeedPosition,
)
from lovagetray.state._evacuations import (
    MAX_DATA_CENTRE_LENGTH,
    MAX_EVACUATED,
    EndEvacuation,
    EvacuationOrder,
    EvacuationOutcome,
    Evacuations,
    StartEvacuation,
)
from lovagetray.state._held_bytes import (
    HeldBytes,
    HeldPart,
    ResponseMemory,
    held_limit,
    unlimited_memory,
)
from lovagetray.state._lease import LEASE_DURATION, LeaseView
from lovagetray.state._ledger import (
    AlreadyBegun,
    AlreadyFinished,
    AlreadyLost,
    Attempt,
    BeginEffect,
    Begun,
    ChangeRetention,
    EffectDone,
    EffectKey,
    EffectOutcome,
    EffectUnknown,
    FinishEffect,
    IssuedTooEarly,
    IssuedTooLate,
    KeyReused,
    Ledger,
    LedgerCommand,
    LedgerEntry,
    LedgerReply,
    LedgerSnapshot,
    LoseEffect,
    Progress,
    Recorded,
    ReleaseEffect,
)
from lovagetray.state._members import (
    InstanceRecord,
    InstanceState,
    KnownInstance,
    Members,
)
from lovagetray.state._notice_content import is_repetition
from lovagetray.state._processor_use import ProcessorUse
from lovagetray.state._relays import Relays
from lovagetray.state._replica_directory import (
    KnownReplica,
    ReplicaDirectory,
    StoredDirectory,
    StoredReplica,
)
from lovagetray.state._routing import (
    DocumentDecoder,
    RoutingState,
    RoutingTable,
    build_table,
    document_problems,
    route_services,
)
from lovagetray.state._setting_checks import COMBINATION_CHECKS
from lovagetray.state._setting_keys import (
    SETTING_KEYS,
    Choice,
    Count,
    Duration,
    Flag,
    Kind,
    Percentage,
    SettingKey,
    Value,
)
from lovagetray.state._setting_paths import (
    LEVELS,
    MAX_NAME_LENGTH,
    ROOT,
    ancestry,
    branch_path,
    path_problem,
    with_ancestors,
)
from lovagetray.state._setting_values import (
    MAX_VALUE_LENGTH,
    describe_kind,
    format_value,
    parse_value,
)
from lovagetray.state._settings_commands import (
    Accepted,
    Action,
    Branches,
    Change,
    ChangeSettings,
    Difference,
    ImportTree,
    Origin,
    RecordRefusal,
    Refused,
    RefusedOutcome,
    RollBack,
    SettingsCommand,
    SettingsOutcome,
    SetValue,
    UnsetValue,
)
from lovagetray.state._settings_preview import (
    SettingsPreview,
    SettingsRequest,
    canonical_request,
    preview,
)
from lovagetray.state._settings_state import (
    Revision,
    SettingsSnapshot,
    SettingsState,
)
from lovagetray.state._settings_tree import (
    MAX_BRANCHES,
    MAX_VALUES,
    Explanation,
    ExplanationStep,
    SettingsTree,
    value_problems,
)
from lovagetray.state._target_directory import Listing, TargetDirectory
from lovagetray.state._workspace_use import WorkspaceUse
from lovagetray.state._workspaces import WorkspaceIndex, build_workspace_index
