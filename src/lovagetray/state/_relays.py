"""Relays: the instances that exchange all they know and pass it on to the others."""

from collections.abc import Iterable


class Relays:
    """The relays as this instance knows them, and the one that it subscribes to.

    Parameters
    ----------
    own_name
        Name of this instance.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._names: frozenset[str] = frozenset((own_name,))
        self._chosen: str | None = None

    @property
    def is_relay(self) -> bool:
        """Whether this instance is a relay."""
        return self._own_name in self._names

    @property
    def names(self) -> frozenset[str]:
        """The names of all relays."""
        return self._names

    @property
    def others(self) -> frozenset[str]:
        """The names of the relays except this instance."""
        return self._names - {self._own_name}

    @property
    def chosen(self) -> str | None:
        """The relay that this instance subscribes to; None for a relay."""
        return None if self.is_relay else self._chosen

    def update(self, names: Iterable[str]) -> None:
        """Store the names of the relays."""
        self._names = frozenset(names)

    def choose(self, name: str | None) -> None:
        """Store the relay that this instance subscribes to."""
        self._chosen = name
