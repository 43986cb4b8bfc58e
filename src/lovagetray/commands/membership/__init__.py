"""Commands on announcements of targets and on the ownership of replicas."""

from lovagetray.commands.membership._announce import (
    accept_announcement,
    accept_relayed_announcements,
    announcement_digest,
    newer_announcements,
)
from lovagetray.commands.membership._protocols import OwnershipTransport, ReplicaUse
from lovagetray.commands.membership._transfer import OwnershipTransfer
