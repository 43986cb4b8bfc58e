"""Commands that change what an instance knows of targets and instances."""

from lovagetray.commands.membership._announce import (
    accept_announcement,
    accept_relayed,
    digest,
    newer_than,
)
from lovagetray.commands.membership._collaborators import PeerSender, ReplicaUse
from lovagetray.commands.membership._transfer import OwnershipTransfer
