"""The settings in force at an instance, as typed values."""

from datetime import timedelta

from lovagetray.queries.search import SearchSettings, parse_policy
from lovagetray.state import SettingsState
from lovagetray.targets import TargetSettings


class SettingsInForce:
    """Typed view of the settings tree for one instance.

    Parameters
    ----------
    data_centre
        Data centre of the instance, the lowest level of the settings tree.
    """

    def __init__(self, state: SettingsState, data_centre: str) -> None:
        self._state = state
        self._data_centre = data_centre
        self._cached_revision = -1
        self._cached_searches: dict[str, SearchSettings] = {}

    @property
    def revision(self) -> int:
        """The revision in force at this instance."""
        return self._state.tree.revision

    @property
    def address_lifetime(self) -> timedelta:
        """How long a caller may cache a list of addresses."""
        return self._state.tree.duration("/", "addresses.lifetime")

    @property
    def orphan_limit(self) -> timedelta:
        """How long an owner without a lease may continue to use one connection."""
        return self._state.tree.duration("/", "ownership.orphan_limit")

    @property
    def target_lifetime(self) -> timedelta:
        """How long a target's announcement is valid after it was received."""
        return self._state.tree.duration("/", "target.lifetime")

    def targets(self, service: str) -> TargetSettings:
        """Return the settings for the targets of a service."""
        path = f"/{service}/{self._data_centre}"
        return TargetSettings(
            ramp=self._state.tree.duration(path, "target.ramp"),
            idle_check=self._state.tree.duration(path, "target.idle_check"),
        )

    def search(self, service: str) -> SearchSettings:
        """Return the settings for searches of a service, cached for one revision."""
        if self._cached_revision != self.revision:
            self._cached_searches.clear()
            self._cached_revision = self.revision
        settings = self._cached_searches.get(service)
        if settings is None:
            settings = self._read_search(f"/{service}/{self._data_centre}")
            self._cached_searches[service] = settings
        return settings

    def _read_search(self, path: str) -> SearchSettings:
        tree = self._state.tree
        return SearchSettings(
            deadline=tree.duration(path, "search.deadline"),
            require_complete=tree.flag(path, "search.require_complete"),
            policy=parse_policy(tree.choice(path, "search.policy")),
            hedge_budget=tree.percentage(path, "hedge.budget"),
            hedge_percentile=tree.percentage(path, "hedge.percentile"),
            retry_budget=tree.percentage(path, "retry.budget"),
            admission_queries=tree.count(path, "admission.queries"),
        )
