"""The promises that a fault soak checks, from what callers and replicas saw."""

from threading import Lock
from typing import Any, NamedTuple

from soak.replica_promises import (
    Delivery,
    Disturbance,
    ReplicaEvent,
    is_disturbed,
    leaving_problems,
    refusal_problems,
)

_RECORD_BYTES = 16
# A version is in force everywhere this long after its acknowledgement.
_CONFIG_APPLY_SECONDS = 3.0
_NOT_RUN_STATUSES = (408, 421, 429, 503)


class Answer(NamedTuple):
    """A caller's request and what it got; status 0 stands for no response.

    Parameters
    ----------
    delivery
        Gateway and times of the request.
    """

    request_id: str
    kind: str
    status: int
    headers: dict[str, str]
    body: bytes
    delivery: Delivery = Delivery(0, 0.0, 0.0)


class ConfigRead(NamedTuple):
    """A read of the configuration: when it was sent, and the version that came."""

    sent_at: float
    version: int


class Promises:
    """Records of a run, and the check of the promises against them.

    Parameters
    ----------
    shards
        Number of shards of a query.
    """

    def __init__(self, shards: int) -> None:
        self._shards = shards
        self._lock = Lock()
        self.answers: list[Answer] = []
        self.reads: list[ConfigRead] = []
        self.acknowledged: list[ConfigRead] = []
        self.disturbances: list[Disturbance] = []

    def record_answer(self, answer: Answer) -> None:
        """Record a caller's answer; called from the threads of callers."""
        with self._lock:
            self.answers.append(answer)

    def problems(self, arrived: dict[str, list[list[Any]]]) -> list[str]:
        """Return the broken promises.

        Parameters
        ----------
        arrived
            The requests that each replica ran, in order.
        """
        runs: dict[str, list[str]] = {}
        for replica, requests in arrived.items():
            for request in requests:
                runs.setdefault(request[0], []).append(replica)
        found: list[str] = []
        for answer in self.answers:
            if answer.kind == "query":
                found += self._query_problems(answer, arrived)
            else:
                found += self._once_problems(answer, runs, arrived)
            found += self._lost_problems(answer, runs)
        return found + self._config_problems()

    def replica_problems(
        self, events: dict[str, list[ReplicaEvent]], retry_after: float
    ) -> list[str]:
        """Return the broken promises to replicas that leave or refuse.

        Parameters
        ----------
        events
            What each replica did, in order.
        retry_after
            Seconds for which a replica that refuses asks for no requests.
        """
        deliveries = {
            answer.request_id: answer.delivery._replace(
                replicas=frozenset(map(_replica, _stamps(answer)))
            )
            for answer in self.answers
        }
        found: list[str] = []
        for replica, of_replica in events.items():
            found += leaving_problems(
                replica, of_replica, deliveries, self.disturbances
            )
            found += refusal_problems(
                replica, of_replica, deliveries, self.disturbances, retry_after
            )
        return found

    def _query_problems(
        self, answer: Answer, arrived: dict[str, list[list[Any]]]
    ) -> list[str]:
        if answer.status != 200:
            return []
        stamps = _stamps(answer)
        missing = int(answer.headers.get("missing-parts", "0"))
        records = [
            answer.body[start : start + _RECORD_BYTES]
            for start in range(0, len(answer.body), _RECORD_BYTES)
        ]
        checks = {
            "a part of another request": all(
                _stamp_belongs(stamp, answer.request_id, arrived) for stamp in stamps
            ),
            "two parts of a shard": len({_service(stamp) for stamp in stamps})
            == len(stamps),
            "wrong coverage": len(stamps) + missing == self._shards,
            "records out of order": records == sorted(records, reverse=True),
        }
        return [
            f"{answer.request_id}: {text}" for text, kept in checks.items() if not kept
        ]

    def _once_problems(
        self,
        answer: Answer,
        runs: dict[str, list[str]],
        arrived: dict[str, list[list[Any]]],
    ) -> list[str]:
        ran_at = runs.get(answer.request_id, [])
        found = []
        if len(ran_at) > 1:
            found.append(f"{answer.request_id}: ran at {ran_at}")
        if answer.status in _NOT_RUN_STATUSES and ran_at:
            found.append(f"{answer.request_id}: {answer.status} and ran at {ran_at}")
        if answer.status == 200 and not _stamp_belongs(
            answer.headers["server-stamp"], answer.request_id, arrived
        ):
            found.append(f"{answer.request_id}: the answer of another request")
        return found

    def _lost_problems(self, answer: Answer, runs: dict[str, list[str]]) -> list[str]:
        """Return a request that ran and got no answer, also around a planned stop."""
        delivery = answer.delivery
        unplanned = [
            disturbance for disturbance in self.disturbances if not disturbance.planned
        ]
        if (
            answer.status
            or answer.request_id not in runs
            or is_disturbed(
                unplanned, delivery.gateway, delivery.sent_at, delivery.ended_at
            )
        ):
            return []
        stopped_at = max(
            (
                disturbance.start
                for disturbance in self.disturbances
                if disturbance.gateway == delivery.gateway
                and disturbance.start <= delivery.ended_at
            ),
            default=0.0,
        )
        return [
            f"{answer.request_id}: ran and got no answer from gateway "
            f"{delivery.gateway}, sent {delivery.sent_at - stopped_at:.1f} s and cut "
            f"{delivery.ended_at - stopped_at:.1f} s after its last signal"
        ]

    def _config_problems(self) -> list[str]:
        found = []
        for read in self.reads:
            due = [
                version
                for acknowledged_at, version in self.acknowledged
                if read.sent_at > acknowledged_at + _CONFIG_APPLY_SECONDS
            ]
            if due and read.version < max(due):
                found.append(f"version {read.version} read after {max(due)} was due")
        return found


def _stamps(answer: Answer) -> list[str]:
    """Return the stamps of the responses that an answer holds."""
    headers = answer.headers
    stamps = headers.get("part-stamps", headers.get("server-stamp", ""))
    return [stamp.strip() for stamp in stamps.split(",") if stamp.strip()]


def _replica(stamp: str) -> str:
    return stamp.rpartition(".")[0]


def _service(stamp: str) -> str:
    return stamp.rsplit("-", 1)[0]


def _stamp_belongs(
    stamp: str, request_id: str, arrived: dict[str, list[list[Any]]]
) -> bool:
    """Return whether a replica issued a stamp for a request."""
    replica, _, number = stamp.rpartition(".")
    requests = arrived.get(replica, [])
    # Several requests run at a time, so a stamp may carry a later number.
    return any(request[0] == request_id for request in requests[: int(number)])
