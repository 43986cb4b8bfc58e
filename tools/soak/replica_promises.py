"""The promises to replicas that leave or refuse, from what the replicas saw."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

# A replica that says that it leaves gets no request that was sent later than this.
DRAIN_SECONDS = 3.0
# From this time on a refusal must have reached the gateway.
_REFUSAL_GRACE_SECONDS = 0.5
_MAX_REQUESTS_WHILE_REFUSING = 2


class Delivery(NamedTuple):
    """A caller's request: its gateway, and when it was sent, answered and over.

    Parameters
    ----------
    replicas
        Replicas whose responses are in the answer.
    """

    gateway: int
    sent_at: float
    answered_at: float
    ended_at: float = 0.0
    replicas: frozenset[str] = frozenset()


class ReplicaEvent(NamedTuple):
    """What a replica did with a request.

    Parameters
    ----------
    kind
        ``arrived``; ``leaving`` if its answer said that it leaves; ``refused`` if it
        asked for no requests.
    at
        Monotonic time of the event.
    born
        Identifies the run of the replica.
    """

    kind: str
    request_id: str
    at: float
    born: int


class Disturbance(NamedTuple):
    """A time in which a gateway was killed, stopped, paused or restarted.

    Parameters
    ----------
    planned
        Whether it was a planned stop, which excuses no lost request.
    """

    gateway: int
    start: float
    end: float
    planned: bool = False


def leaving_problems(
    replica: str,
    events: Sequence[ReplicaEvent],
    deliveries: Mapping[str, Delivery],
    disturbances: Sequence[Disturbance],
) -> list[str]:
    """Return requests that a gateway sent to a replica after it had said it leaves.

    A gateway is told by a response that it has passed on to a caller: one that is lost
    on the link tells it nothing.
    """
    told_at: dict[tuple[int, int], float] = {}
    for event in events:
        delivery = deliveries.get(event.request_id)
        if (
            event.kind == "leaving"
            and delivery is not None
            and replica in delivery.replicas
        ):
            key = delivery.gateway, event.born
            told_at[key] = min(
                told_at.get(key, delivery.answered_at), delivery.answered_at
            )
    found = []
    for event in events:
        delivery = deliveries.get(event.request_id)
        if event.kind != "arrived" or delivery is None:
            continue
        since = told_at.get((delivery.gateway, event.born))
        if (
            since is not None
            and delivery.sent_at > since + DRAIN_SECONDS
            and not is_disturbed(disturbances, delivery.gateway, since, event.at)
        ):
            found.append(
                f"{event.request_id}: sent to {replica} "
                f"{delivery.sent_at - since:.1f} s after it said that it leaves"
            )
    return found


def refusal_problems(
    replica: str,
    events: Sequence[ReplicaEvent],
    deliveries: Mapping[str, Delivery],
    disturbances: Sequence[Disturbance],
    retry_after: float,
) -> list[str]:
    """Return refusals after which a gateway went on to send requests.

    Parameters
    ----------
    retry_after
        Seconds for which the replica asks for no requests.
    """
    arrived: defaultdict[int, list[float]] = defaultdict(list)
    for event in events:
        delivery = deliveries.get(event.request_id)
        if event.kind == "arrived" and delivery is not None:
            arrived[delivery.gateway].append(event.at)
    requests: Counter[tuple[int, float]] = Counter()
    for event in events:
        delivery = deliveries.get(event.request_id)
        if event.kind != "refused" or delivery is None:
            continue
        end = event.at + retry_after
        if is_disturbed(disturbances, delivery.gateway, event.at, end):
            continue
        requests[delivery.gateway, event.at] = sum(
            event.at + _REFUSAL_GRACE_SECONDS < at < end
            for at in arrived[delivery.gateway]
        )
    return [
        f"{replica} got {count} requests of gateway {gateway} while it refused them"
        for (gateway, _), count in requests.items()
        if count > _MAX_REQUESTS_WHILE_REFUSING
    ]


def is_disturbed(
    disturbances: Sequence[Disturbance], gateway: int, start: float, end: float
) -> bool:
    """Return whether a gateway was disturbed at any moment of a time."""
    return any(
        disturbance.gateway == gateway
        and disturbance.start <= end
        and disturbance.end >= start
        for disturbance in disturbances
    )
