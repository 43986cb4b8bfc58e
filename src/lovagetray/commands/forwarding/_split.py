"""Distributes requests among services in proportion to their weights."""

from lovagetray._routing_types import Route, Share


class SplitCounter:
    """Chooses the service that is furthest behind its share.

    The order is even, so that short runs of requests keep to the weights as well.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route, shares: tuple[Share, ...]) -> str:
        """Return the service for the next request of a route."""
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != {share.service for share in shares}:
            credits = {share.service: 0.0 for share in shares}
            self._credits[route.name] = credits
        total = sum(share.weight for share in shares)
        for share in shares:
            credits[share.service] += share.weight / total
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= 1
        return chosen
