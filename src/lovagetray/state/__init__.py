"""State that commands change and queries read."""

from lovagetray.state._directory import Directory, Listing
from lovagetray.state._lease import LEASE, LeaseView, MemberLease
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
