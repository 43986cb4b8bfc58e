"""What the owner of a replica does with it, and how others reach the owner."""

from lovagetray.targets._access import TargetAccess
from lovagetray.targets._channel import (
    Channel,
    ChannelFailure,
    Exchange,
    Outcome,
    ReplyDecoder,
)
from lovagetray.targets._connection import NoFirstByte, TargetConnection, TargetDialer
from lovagetray.targets._connection_pool import (
    Availability,
    ConnectionLimits,
    ConnectionPool,
)
from lovagetray.targets._http_dialer import HttpDialer
from lovagetray.targets._pool import ReplicaPool
from lovagetray.targets._pooled_connection import (
    PoolDependencies,
    PooledConnection,
    PoolRetryBudget,
    TargetSettings,
    UnlimitedRetryBudget,
)
from lovagetray.targets._pools import ReplicaPools
from lovagetray.targets._sender import ExecutionSender, OwnerRouter, SubRequestSender
from lovagetray.targets._work import (
    Execute,
    ExecuteOutcome,
    Job,
    Reply,
    Search,
    SubOutcome,
    Work,
)
