"""What the owner of a replica does with it, and how others reach the owner."""

from lovagetray.targets._pool import Job, ReplicaPool, SubOutcome
from lovagetray.targets._sender import OwnerRouter, SubRequestSender
