"""Distributes requests among services in proportion to their weights."""

from lovagetray._routing_types import Route, WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin: chooses the service furthest behind its share.

    The services alternate, so that short sequences of requests match the weights too.
    """

    def __init__(self) -> None:
        # By host and prefix, as the names of routes need not be unique.
        self._credits: dict[tuple[str, str], dict[str, float]] = {}

    def choose(
        self, route: Route, weighted_services: tuple[WeightedService, ...]
    ) -> str:
        """Return the service for the next request of a route.

        All credits start at zero again when the services of the route change.
        """
        key = route.host, route.prefix
        credits = self._credits.get(key)
        if credits is None or credits.keys() != {
            weighted.service for weighted in weighted_services
        }:
            credits = {weighted.service: 0.0 for weighted in weighted_services}
            self._credits[key] = credits
        total = sum(weighted.weight for weighted in weighted_services)
        for weighted in weighted_services:
            credits[weighted.service] += weighted.weight / total
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= 1
        return chosen
