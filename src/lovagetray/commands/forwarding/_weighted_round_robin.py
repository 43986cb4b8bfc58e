"""Distributes requests among services in proportion to their weights."""

from lovagetray._routing_types import Route, WeightedService


class WeightedRoundRobin:
    """Chooses the service that is furthest behind its share.

    The order is even, so that short runs of requests keep to the weights as well.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(
        self, route: Route, weighted_services: tuple[WeightedService, ...]
    ) -> str:
        """Return the service for the next request of a route."""
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != {
            share.service for share in weighted_services
        }:
            credits = {share.service: 0.0 for share in weighted_services}
            self._credits[route.name] = credits
        total = sum(share.weight for share in weighted_services)
        for share in weighted_services:
            credits[share.service] += share.weight / total
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= 1
        return chosen
