"""State that commands change and queries read."""

from lovagetray.state._directory import Directory, Listing
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
    Members,
    Sighting,
)
from lovagetray.state._setting_keys import (
    SETTING_KEYS,
    Choice,
    Count,
    Duration,
    Flag,
    SettingKey,
    Share,
    Value,
)
