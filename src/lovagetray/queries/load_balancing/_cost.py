"""Expected cost of requests, learned from the responses to earlier ones.

The cost of a request at one service is the time in seconds that a replica of usual
speed takes for it. It is the mean of the route at the service times a factor of the
workspace. Designed for 54 services, 3 routes and 10,000 workspaces on one instance at
60 requests per second.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp, log
from typing import NamedTuple, TypeVar

from lovagetray._routing_types import Destination, Route
from lovagetray.state import route_services

K = TypeVar("K")
V = TypeVar("V")
# Weight of the newest observation of an estimate that has many.
_MIN_STEP = 0.05
# An observation counts as at most this many times the estimate, and at least its
# inverse. A pause of 250 ms is 18 times a cost of 13.8 ms, and not a part of it.
_MAX_RATIO = 3.0
# Observations that the estimate above (of the route, or a factor of 1) counts as.
_PRIOR_WEIGHT = 3.0
# Weight of an estimate halves in this time without observations, in seconds.
_HALF_LIFE = 60.0
_MAX_WEIGHT = 40.0
# A workspace with a larger share of the requests of a route counts as this share in the
# mean of the route. The largest of 79 workspaces (Zipf 1.2) has a share of 0.3.
_MAX_SHARE = 0.25
_MAX_ESTIMATES = 16_384
_MAX_ROUTES = 1_024
# Initial cost as a share of the target latency.
_INITIAL_COST = 0.1
# One of this many responses is learned from. They are counted: with one response in a
# time, those that a pause delays would be learned from more often than others.
_SAMPLING = 4
# Share of the newest observation in the errors of the estimates.
_ERROR_STEP = 0.02
# Estimates are relied on fully if they explain this share of the squared error that is
# left if all requests of a route are taken as equal.
_FULL_ADVANTAGE = 0.1
_INITIAL_UPPER_RATIO = 2.0
# A request is overdue after this many times the upper quantile of its latency, and not
# within the scheduling delays of a busy machine, in seconds.
_OVERDUE_FACTOR = 1.5
_MIN_OVERDUE = 0.0075
_QUANTILE_STEP = 0.05
_LONGEST_STEP = 0.01

RouteKey = tuple[str, str]


class ExpectedWork(NamedTuple):
    """Expected cost of a request at one service, in seconds.

    Parameters
    ----------
    model
        Estimate from the route, the service and the workspace.
    usual
        Mean of the route.
    flat
        Mean cost of all requests at the service.
    cost
        The estimate that is used: between `usual` and `model`, by how far the second
        has proved right.
    overdue_after
        Time in flight after which the replica counts as stalled.
    """

    service: str
    workspace: str | None
    model: float
    usual: float
    flat: float
    cost: float
    overdue_after: float


@dataclass(slots=True)
class Estimate:
    """A mean that is robust to single observations.

    Parameters
    ----------
    weight
        Number of observations, which decays with their age.
    at
        Time of the newest observation in seconds.
    responses
        Responses since the estimate has had enough of them.
    """

    value: float
    weight: float = 0.0
    at: float = 0.0
    responses: int = 0

    def shrunk(self, prior: float) -> float:
        """Return the mean, nearer to `prior` the fewer observations there are."""
        total = self.weight + _PRIOR_WEIGHT
        return (self.value * self.weight + prior * _PRIOR_WEIGHT) / total

    def observe(self, value: float, share: float, now: float) -> None:
        """Add an observation that counts as `share` of one, at a time in seconds."""
        if now - self.at > 1:
            self.weight *= 0.5 ** ((now - self.at) / _HALF_LIFE)
        self.at = now
        value = min(max(value, self.value / _MAX_RATIO), self.value * _MAX_RATIO)
        step = share * max(1 / (1 + self.weight), _MIN_STEP)
        self.value += step * (value - self.value)
        self.weight = min(self.weight + share, _MAX_WEIGHT)


@dataclass(slots=True)
class RouteCosts:
    """Costs of one route.

    Parameters
    ----------
    number
        Identifies these costs among all that the estimator has had.
    destination
        Destination of the route.
    mean
        Mean over all services; the prior of a service.
    services
        Means by service.
    upper_ratio, longest_ratio
        Upper quantile and longest of recent latencies, in multiples of the cost.
    """

    number: int
    destination: Destination
    mean: Estimate
    services: dict[str, Estimate] = field(default_factory=dict)
    upper_ratio: float = _INITIAL_UPPER_RATIO
    longest_ratio: float = 0.0

    def observe_ratio(self, ratio: float, quantile: float) -> None:
        """Update the upper quantile and the longest of the latencies."""
        self.longest_ratio -= _LONGEST_STEP * (self.longest_ratio - ratio)
        self.longest_ratio = max(self.longest_ratio, ratio)
        step = _QUANTILE_STEP * self.upper_ratio
        if ratio > self.upper_ratio:
            self.upper_ratio += step * quantile
        else:
            self.upper_ratio -= step * (1 - quantile)


class CostEstimator:
    """Costs of all routes, services and workspaces, as observed by this instance."""

    def __init__(self) -> None:
        self._routes: OrderedDict[RouteKey, RouteCosts] = OrderedDict()
        self._factors: OrderedDict[tuple[int, str], Estimate] = OrderedDict()
        self._flat: OrderedDict[str, Estimate] = OrderedDict()
        # Mean logarithm of observed by expected cost, and the squared errors of the
        # estimates and of the mean of the route.
        self._bias = 0.0
        self._model_error = 1.0
        self._usual_error = 1.0
        self._number = 0

    @property
    def reliance(self) -> float:
        """How far estimates are used instead of the mean of the route, 0 to 1."""
        advantage = 1 - self._model_error / max(1e-9, self._usual_error)
        return min(1.0, max(0.0, advantage / _FULL_ADVANTAGE))

    def route_costs(self, route: Route) -> RouteCosts:
        """Return the costs of a route; they are new if all its services are."""
        key = route.host, route.prefix
        costs = self._routes.get(key)
        if costs is not None and costs.destination is not route.destination:
            costs.destination = route.destination
            services = route_services(route)
            if not costs.services.keys() <= set(services):
                costs.services = {
                    service: mean
                    for service, mean in costs.services.items()
                    if service in services
                }
                costs = costs if costs.services else None
        if costs is None:
            initial = _INITIAL_COST * max(0.02, route.target_latency.total_seconds())
            self._number += 1
            costs = RouteCosts(self._number, route.destination, Estimate(initial))
            _insert(self._routes, key, costs, _MAX_ROUTES)
        return costs

    def current_costs(self, route: Route) -> RouteCosts | None:
        """Return the costs of a route, or None if it has another destination by now.

        Responses to requests from before a new document must not bring back the costs
        of the previous destination.
        """
        costs = self._routes.get((route.host, route.prefix))
        if costs is None or (
            costs.destination is not route.destination
            and costs.destination != route.destination
        ):
            return None
        return costs

    def expect(
        self, route: Route, services: Iterable[str], workspace: str | None
    ) -> list[ExpectedWork]:
        """Return the expected costs of a request at each of several services."""
        costs = self.route_costs(route)
        factor = exp(self._bias)
        if workspace is not None:
            known_factor = self._factors.get((costs.number, workspace))
            factor *= 1.0 if known_factor is None else known_factor.shrunk(1.0)
        reliance = self.reliance
        overdue = _OVERDUE_FACTOR * costs.upper_ratio
        means, all_flat, prior = costs.services, self._flat, costs.mean.value
        works = []
        for service in services:
            mean = means.get(service)
            model = factor * (prior if mean is None else mean.shrunk(prior))
            known = all_flat.get(service)
            flat = model if known is None else known.value
            cost = blend(model, prior, reliance)
            overdue_after = max(_MIN_OVERDUE, overdue * cost)
            works.append(
                ExpectedWork(
                    service, workspace, model, prior, flat, cost, overdue_after
                )
            )
        return works

    def is_needed(self, costs: RouteCosts, service: str) -> bool:
        """Return whether to learn from a response of a service.

        Learning takes as much processor time as the choice of a replica, so that only
        one of four responses is learned from once the estimate has some.
        """
        known = costs.services.get(service)
        if known is None or known.weight < _MAX_WEIGHT / 2:
            return True
        known.responses += 1
        return known.responses % _SAMPLING == 0

    def observe(
        self, costs: RouteCosts, work: ExpectedWork, seconds: float, now: float
    ) -> None:
        """Learn from a complete, successful response.

        Parameters
        ----------
        costs
            Costs of the route.
        seconds
            Time that the replica would have taken without other requests.
        now
            Time in seconds.
        """
        seconds = max(seconds, 1e-4)
        self._observe_errors(work, seconds)
        share = 1.0
        if work.workspace is not None:
            key = costs.number, work.workspace
            factor = self._factors.get(key)
            if factor is None:
                factor = Estimate(1.0)
                _insert(self._factors, key, factor, _MAX_ESTIMATES)
            mean = costs.services.get(work.service, costs.mean).shrunk(costs.mean.value)
            known = factor.shrunk(1.0)
            factor.observe(seconds / mean, 1.0, now)
            seconds /= known
            share = min(1.0, _MAX_SHARE * (costs.mean.weight + 1) / factor.weight)
        service = costs.services.get(work.service)
        if service is None:
            service = costs.services[work.service] = Estimate(costs.mean.value)
        service.observe(seconds, share, now)
        costs.mean.observe(seconds, share, now)

    def _observe_errors(self, work: ExpectedWork, seconds: float) -> None:
        flat = self._flat.get(work.service)
        if flat is None:
            flat = Estimate(seconds)
            _insert(self._flat, work.service, flat, _MAX_ESTIMATES)
        model_error = log(seconds / work.model)
        usual_error = log(seconds / work.usual)
        flat.observe(seconds, 1.0, flat.at)
        self._bias += _ERROR_STEP * 0.5 * max(-1.0, min(1.0, model_error))
        self._bias = max(-3.0, min(3.0, self._bias))
        self._model_error += _ERROR_STEP * (model_error**2 - self._model_error)
        self._usual_error += _ERROR_STEP * (usual_error**2 - self._usual_error)


def blend(model: float, usual: float, reliance: float) -> float:
    """Return the cost to use: `model` as far as it is relied on, otherwise `usual`."""
    if reliance == 1.0 or model == usual:
        return model
    return usual * float((model / usual) ** reliance) if reliance else usual


def _insert(entries: OrderedDict[K, V], key: K, value: V, limit: int) -> None:
    """Insert an entry; the one that was inserted first leaves above the limit."""
    entries[key] = value
    if len(entries) > limit:
        entries.popitem(last=False)
