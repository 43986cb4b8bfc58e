"""The promises on keys, quotas, evacuations and cold replicas, and their checks."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from soak.promises import Answer
from soak.replica_promises import Delivery, Disturbance, is_disturbed

_COLD_WINDOW_SECONDS = 1.0
_REFUSALS = (429, 503)


class Bounds(NamedTuple):
    """Figures of the settings of the gateways, times in seconds."""

    revoke: float = 3.0
    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0
    evacuate: float = 3.0
    contact: float = 5.0
    config_apply: float = 4.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0


class Quota(NamedTuple):
    """Quota of a workspace: requests per second, and requests of a burst."""

    rate: float
    burst: float


class Document(NamedTuple):
    """A routing document that was sent to a gateway.

    Parameters
    ----------
    acknowledged_at
        None if the gateway has not acknowledged it; it may be in force all the same.
    keys
        Workspace of each key.
    quotas
        Quota of each limited workspace.
    """

    version: int
    sent_at: float
    acknowledged_at: float | None
    keys: Mapping[str, str]
    quotas: Mapping[str, Quota]


class Arrival(NamedTuple):
    """A request at a replica.

    Parameters
    ----------
    at
        Monotonic time at which the gateway sent it.
    ran
        Whether the replica has run it.
    workspace, credentials
        The headers ``Tenant`` and ``Authorization`` that the replica got.
    """

    replica: str
    request_id: str
    at: float
    ran: bool = True
    workspace: str | None = None
    credentials: str | None = None


class Span(NamedTuple):
    """A time in which a data centre was evacuated or a replica was cold."""

    name: str
    start: float
    end: float


def identity_problems(
    arrivals: Iterable[Arrival],
    keys: Mapping[str, str | None],
    documents: Sequence[Document],
    bounds: Bounds,
) -> list[str]:
    """Return requests with a key or another workspace than that of the caller's key.

    Parameters
    ----------
    keys
        Key of each caller's request by its id, None for a request without one.
    """
    found = []
    for arrival in arrivals:
        if not arrival.ran:
            continue
        if arrival.credentials is not None:
            found.append(f"{arrival.request_id}: {arrival.replica} saw its key")
        if arrival.request_id not in keys:
            continue
        key = keys[arrival.request_id]
        due = _in_force(documents, arrival.at - bounds.config_apply, arrival.at)
        allowed = {document.keys.get(key or "") for document in due}
        if arrival.workspace not in allowed | (set() if due else {None}):
            found.append(
                f"{arrival.request_id}: {arrival.replica} saw the workspace "
                f"{arrival.workspace}, not one of {sorted(map(str, allowed))}"
            )
    return found


def key_problems(
    answers: Iterable[Answer],
    arrivals: Iterable[Arrival],
    keys: Mapping[str, str | None],
    documents: Sequence[Document],
    disturbances: Sequence[Disturbance],
    bounds: Bounds,
) -> list[str]:
    """Return requests on keyed routes that ran with unknown or withdrawn keys.

    On the public route of queries a request with such a key runs without a workspace.
    """
    ran_at = _first_runs(arrivals)
    found = []
    for answer in answers:
        at = ran_at.get(answer.request_id)
        if at is None or answer.kind == "query":
            continue
        key = keys.get(answer.request_id)
        holders = [
            document
            for document in documents
            if key in document.keys and document.sent_at <= at
        ]
        if not holders:
            found.append(f"{answer.request_id}: ran with a key that no document held")
            continue
        newest = max(document.version for document in holders)
        sent_at = answer.delivery.sent_at
        for document in documents:
            withdrawn_at = document.acknowledged_at
            if (
                withdrawn_at is not None
                and document.version > newest
                and sent_at > withdrawn_at + bounds.revoke
            ):
                found.append(
                    f"{answer.request_id}: sent to gateway {answer.delivery.gateway}"
                    f"{_state(answer.delivery, withdrawn_at, at, disturbances)} "
                    f"{sent_at - withdrawn_at:.2f} s after version {document.version} "
                    f"withdrew its key, and ran at {at:.2f}"
                )
                break
    return found


def quota_problems(
    arrivals: Iterable[Arrival], documents: Sequence[Document], bounds: Bounds
) -> list[str]:
    """Return the fullest window of each workspace that ran more than its quota."""
    first_runs = _first_runs(arrivals)
    times: defaultdict[str, list[float]] = defaultdict(list)
    for request_id, workspace in {
        arrival.request_id: arrival.workspace for arrival in arrivals if arrival.ran
    }.items():
        if workspace is not None:
            times[workspace].append(first_runs[request_id])
    found = []
    for workspace, unsorted_times in times.items():
        worst = 0.0, ""
        for start, count in _windows(unsorted_times, bounds.window):
            due = _in_force(documents, start, start + bounds.window)
            quotas = [document.quotas.get(workspace) for document in due]
            if not quotas or None in quotas:
                continue
            limit = max(
                (quota.rate * bounds.window + quota.burst) * (1 + bounds.overshoot)
                for quota in quotas
                if quota is not None
            )
            text = (
                f"{workspace}: {count} requests ran in the window from {start:.2f}, "
                f"its limit is {limit + bounds.slack:.1f}"
            )
            worst = max(worst, (count - limit - bounds.slack, text))
        if worst[0] > 0:
            found.append(worst[1])
    return found


def evacuation_problems(
    arrivals: Iterable[Arrival],
    data_centres: Mapping[str, str],
    evacuations: Sequence[Span],
    answers: Iterable[Answer],
    disturbances: Sequence[Disturbance],
    bounds: Bounds,
) -> list[str]:
    """Return requests to evacuated data centres.

    The bound holds for gateways in touch with the others: those that were not suspended
    or restarted within the time of a contact before.

    Parameters
    ----------
    data_centres
        Data centre of each replica.
    evacuations
        From the acknowledgement of the start to the order of the end.
    """
    deliveries = {answer.request_id: answer.delivery for answer in answers}
    nowhere = Delivery(-1, 0.0, 0.0)
    found = []
    for arrival in arrivals:
        gateway = deliveries.get(arrival.request_id, nowhere).gateway
        contact_since = arrival.at - bounds.contact
        if is_disturbed(disturbances, gateway, contact_since, arrival.at):
            continue
        found += [
            f"{arrival.request_id}: sent to {arrival.replica} by gateway {gateway} "
            f"{arrival.at - evacuation.start:.2f} s after the start of the evacuation"
            for evacuation in evacuations
            if data_centres[arrival.replica] == evacuation.name
            and evacuation.start + bounds.evacuate < arrival.at < evacuation.end
        ]
    return found


def cold_problems(
    arrivals: Iterable[Arrival], cold: Sequence[Span], rate: float, bounds: Bounds
) -> list[str]:
    """Return the cold times of replicas with a second of too many requests.

    Parameters
    ----------
    cold
        From the time at which every gateway knows that a replica is cold.
    rate
        Requests per second that a cold replica can sustain.
    """
    limit = rate * bounds.cold_overshoot + bounds.cold_slack
    found = []
    for span in cold:
        times = [
            arrival.at
            for arrival in arrivals
            if arrival.replica == span.name and span.start < arrival.at < span.end
        ]
        windows = _windows(times, _COLD_WINDOW_SECONDS)
        start, count = max(windows, key=lambda of: of[1], default=(0.0, 0))
        if count > limit:
            found.append(
                f"{span.name}: {count} requests in the second from {start:.2f} while "
                f"it was cold, its limit is {limit:.1f}"
            )
    return found


def untrue_refusals(
    answers: Iterable[Answer], arrivals: Iterable[Arrival]
) -> list[str]:
    """Return requests that were refused as not run although a replica has run them."""
    ran_at = _first_runs(arrivals)
    return [
        f"{answer.request_id}: refused with {answer.status} although it ran"
        for answer in answers
        if answer.status in _REFUSALS and answer.request_id in ran_at
    ]


def _state(
    delivery: Delivery, start: float, end: float, disturbances: Sequence[Disturbance]
) -> str:
    """Return a remark if the gateway of a request was disturbed in a time."""
    is_hit = is_disturbed(disturbances, delivery.gateway, start, end)
    return ", suspended or restarted meanwhile," if is_hit else ""


def _in_force(
    documents: Sequence[Document], start: float, end: float
) -> list[Document]:
    """Return the documents that may be in force at a moment of a time."""
    oldest = max(
        (
            document.version
            for document in documents
            if document.acknowledged_at is not None
            and document.acknowledged_at <= start
        ),
        default=0,
    )
    return [
        document
        for document in documents
        if document.version >= oldest and document.sent_at <= end
    ]


def _first_runs(arrivals: Iterable[Arrival]) -> dict[str, float]:
    """Return the first time at which each request that ran was sent to a replica."""
    times: dict[str, float] = {}
    for arrival in arrivals:
        if arrival.ran:
            earliest = times.get(arrival.request_id, arrival.at)
            times[arrival.request_id] = min(earliest, arrival.at)
    return times


def _windows(times: Iterable[float], length: float) -> list[tuple[float, int]]:
    """Return the start and the number of times of each window that begins at one."""
    ordered = sorted(times)
    windows = []
    end = 0
    for position, start in enumerate(ordered):
        while end < len(ordered) and ordered[end] < start + length:
            end += 1
        windows.append((start, end - position))
    return windows
