"""A run of the fault soak with workspaces, evacuations and cold replicas."""

from functools import partial
from pathlib import Path
from random import Random
from threading import Event, Thread, Timer
from time import monotonic, sleep
from typing import Any

from soak.replica_promises import DRAIN_SECONDS
from soak.run import SoakRun
from soak.workspace_promises import (
    Arrival,
    Bounds,
    Document,
    Quota,
    Span,
    cold_problems,
    evacuation_problems,
    identity_problems,
    key_problems,
    quota_problems,
    untrue_refusals,
)

_BOUNDS = Bounds()
_COLD_SERVICE = "fresh"
# Requests per second that its replicas can sustain while they warm up.
_COLD_RATE = 5.0
# Time for which a replica stays cold once all gateways know it.
_COLD_SECONDS = 4.0
_DATA_CENTRES = 3
_BURST_SECONDS = 1.0
# Workspaces with quotas: the usual one, and the one to which it is lowered.
_QUOTAS = {
    "hot": (Quota(20, 10), Quota(8, 4)),
    "bursts": (Quota(10, 20), Quota(5, 5)),
}
# Keys that documents withdraw and bring back, maybe to another workspace.
_ROTATING_KEYS = ("key-rotating-0", "key-rotating-1")
_ROTATING_WORKSPACES = ("rotating-a", "rotating-b")
_WRONG_KEYS = ("key-never", "key-stead", "key-steady-", "KEY-STEADY", "steady")
_KEYS_OF_KIND: dict[str, tuple[str | None, ...]] = {
    "query": (None, "key-steady", *_ROTATING_KEYS, *_WRONG_KEYS),
    "hot": ("key-hot",),
    "bursts": ("key-bursts",),
    "rotating": _ROTATING_KEYS,
    "wrong": (None, *_WRONG_KEYS),
}
_FORGED_SHARE = 0.3


class WorkspaceSoakRun(SoakRun):
    """A run with one seed; its meaning differs from that of a run without workspaces.

    Parameters
    ----------
    folder
        Settings, data and logs of the gateways.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self._fleet.bounds = (
            "StrictRevoke = true",
            f"RevokeMs = {_BOUNDS.revoke * 1000}",
            f"QuotaWindowS = {_BOUNDS.window}",
            f"QuotaOvershoot = {_BOUNDS.overshoot}",
            f"QuotaSlack = {_BOUNDS.slack}",
            f"EvacuateMs = {_BOUNDS.evacuate * 1000}",
            f"ConfigApplyMs = {_BOUNDS.config_apply * 1000}",
        )
        self._services += (_COLD_SERVICE,)
        # Workspace of each rotating key that is in the next document.
        self._rotating = dict.fromkeys(_ROTATING_KEYS, _ROTATING_WORKSPACES[0])
        self._quotas = {name: quotas[0] for name, quotas in _QUOTAS.items()}
        self._bursting = Event()
        self._faults_ended = Event()
        # Key of each caller's request by its id.
        self._keys: dict[str, str | None] = {}
        self._documents: list[Document] = []
        self._evacuations: list[Span] = []
        self._cold: list[Span] = []
        self._callers += [
            *[partial(self._call_keyed, "hot", 0.03)] * 4,
            *[partial(self._call_keyed, "bursts", 0.005, self._bursting)] * 8,
            partial(self._call_keyed, "bursts", 0.15),
            *[partial(self._call_keyed, "rotating", 0.05)] * 6,
            partial(self._call_keyed, "wrong", 0.02),
            *[partial(self._call_keyed, "cold", 0.01)] * 2,
        ]
        self._harmless += [
            self._rotate_key,
            self._change_quota,
            self._burst,
            self._cool_replica,
        ]
        self._faults += [
            *[self._rotate_key] * 4,
            *[self._change_quota] * 2,
            *[self._burst] * 2,
            *[self._cool_replica] * 2,
            *[self._pause_long] * 2,
        ]

    def _inject_faults(self) -> None:
        operator = Thread(target=self._evacuate, args=(Random(self._random.random()),))
        operator.start()
        try:
            super()._inject_faults()
        finally:
            self._faults_ended.set()
            operator.join()

    # Configuration.

    def _next_configuration(self) -> dict[str, Any]:
        document = super()._next_configuration()
        document["Routes"][0]["Public"] = True
        document["Services"][-1]["WarmupPerS"] = _COLD_RATE
        names = ("steady", *_QUOTAS, *_ROTATING_WORKSPACES)
        document["Tenants"] = [
            {"Name": name, "ApiKeys": self._keys_of(name)} for name in names
        ]
        for workspace in document["Tenants"]:
            if quota := self._quotas.get(workspace["Name"]):
                workspace |= {"RatePerS": quota.rate, "BurstSize": quota.burst}
        return document

    def _keys_of(self, workspace: str) -> list[str]:
        if workspace in _ROTATING_WORKSPACES:
            return [key for key, name in self._rotating.items() if name == workspace]
        return [f"key-{workspace}"]

    def _put_configuration(self) -> bool:
        document = self._next_configuration()
        keys = {
            key: workspace["Name"]
            for workspace in document["Tenants"]
            for key in workspace["ApiKeys"]
        }
        sent = Document(
            document["Version"], monotonic(), None, keys, dict(self._quotas)
        )
        # Recorded first: a document that was not acknowledged may be in force.
        self._documents.append(sent)
        acknowledged = self._put(document)
        if acknowledged:
            self._documents[-1] = sent._replace(acknowledged_at=monotonic())
        self._note(str(self._documents[-1]))
        return acknowledged

    def _rotate_key(self) -> None:
        """Withdraw a key, or bring it back."""
        key = self._random.choice(_ROTATING_KEYS)
        if self._rotating.pop(key, None) is None:
            self._rotating[key] = self._random.choice(_ROTATING_WORKSPACES)
        self._put_configuration()

    def _change_quota(self) -> None:
        name = self._random.choice(list(_QUOTAS))
        self._quotas[name] = self._random.choice(_QUOTAS[name])
        self._put_configuration()

    # Other faults.

    def _pause_long(self) -> None:
        """Suspend a gateway for longer than withdrawn keys may be accepted."""
        self._suspend(_BOUNDS.revoke + 0.5, _BOUNDS.revoke + 2.5)

    def _burst(self) -> None:
        self._bursting.set()
        timer = Timer(_BURST_SECONDS, self._bursting.clear)
        timer.daemon = True
        timer.start()

    def _cool_replica(self) -> None:
        """Let a replica restart cold."""
        name = f"{_COLD_SERVICE}-{self._random.randrange(3)}"
        seconds = DRAIN_SECONDS + _COLD_SECONDS
        told_at = monotonic()
        self._fleet.send_command(names=[name], restart=True, warm_up_ms=seconds * 1000)
        # Like a notice that a replica leaves, this one has reached all gateways then.
        self._note(f"{name} cold for {seconds} s")
        self._cold.append(Span(name, monotonic() + DRAIN_SECONDS, told_at + seconds))

    def _evacuate(self, random: Random) -> None:
        """Evacuate one data centre after the other until the faults end."""
        while not self._faults_ended.wait(random.uniform(0.5, 2.0)):
            name = f"zone-{random.randrange(_DATA_CENTRES) + 1}"
            if self._order(name, "start", random):
                start = monotonic()
                self._counts["evacuation"] += 1
                self._faults_ended.wait(_BOUNDS.evacuate + random.uniform(0.5, 4.0))
                self._evacuations.append(Span(name, start, monotonic()))
            self._order(name, "end", random)

    def _order(self, data_centre: str, action: str, random: Random) -> bool:
        """Send an order until it is acknowledged; return whether it was."""
        path = f"/-/evacuation/{data_centre}/{action}"
        for _ in range(60):
            number = random.randrange(len(self._fleet.gateways))
            port = self._fleet.port("control")
            if self._fleet.call(number, port, "POST", path).status == 200:
                self._note(f"evacuation of {data_centre}: {action} acknowledged")
                return True
            sleep(0.25)
        return False

    # Callers and what they and the replicas saw.

    def _call_keyed(self, kind: str, pause: float, active: Event | None = None) -> None:
        service = _COLD_SERVICE if kind == "cold" else self._services[0]
        self._call_until_end(((kind, f"/{service}/x"),), 1500, pause, active)

    def _identity(self, kind: str, request_id: str, random: Random) -> dict[str, str]:
        key = random.choice(_KEYS_OF_KIND.get(kind, ("key-steady",)))
        self._keys[request_id] = key
        headers = {} if key is None else {"Authorization": f"Token {key}"}
        if random.random() < _FORGED_SHARE:
            headers["Tenant"] = random.choice(("steady", "hot", "forged"))
        return headers

    def _further_problems(self, replicas: dict[str, Any]) -> list[str]:
        arrivals = [
            arrival
            for name, state in replicas.items()
            for arrival in self._arrivals(name, state)
        ]
        with (self._folder / "requests.log").open("w") as log:
            log.writelines(
                f"{answer.request_id} {answer.status} {answer.delivery}\n"
                for answer in self._promises.answers
            )
        data_centres = {name: f"zone-{int(name[-1]) + 1}" for name in replicas}
        answers = self._promises.answers
        documents = self._documents
        disturbances = self._promises.disturbances
        return [
            *identity_problems(arrivals, self._keys, documents, _BOUNDS),
            *key_problems(
                answers, arrivals, self._keys, documents, disturbances, _BOUNDS
            ),
            *quota_problems(arrivals, documents, _BOUNDS),
            *evacuation_problems(
                arrivals,
                data_centres,
                self._evacuations,
                answers,
                disturbances,
                _BOUNDS,
            ),
            *cold_problems(arrivals, self._cold, _COLD_RATE, _BOUNDS),
            *untrue_refusals(answers, arrivals),
        ]

    def _arrivals(self, name: str, state: dict[str, Any]) -> list[Arrival]:
        """Return the requests that arrived at a replica."""
        identities = {request_id: rest for request_id, *rest in state["identities"]}
        arrivals = []
        for kind, request_id, at, _ in state["events"]:
            if kind != "arrived":
                continue
            sent = self._links.sent_at.get((name, request_id), [])
            at = max((time for time in sent if time <= at), default=at)
            seen = identities.get(request_id)
            arrivals.append(
                Arrival(name, request_id, at, seen is not None, *(seen or ()))
            )
        return arrivals
