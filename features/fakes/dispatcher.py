"""Dispatchers for tests of one of their parts, with stand-ins for the others."""

from typing import Any

from expression import Ok, Result

from lovagetray.gateway import AccessControl, Dispatcher
from lovagetray.state import HeldBytes


class UnlimitedQuotas:
    """Stands in for `Quotas` of a document in which no workspace has a quota."""

    async def admit(self, request: Any, route: Any) -> Result[None, Any]:
        return Ok(None)

    async def settle(self, admission: None, result: Any) -> None:
        pass


class _OpenAccess:
    """Stands in for `AccessControl` of a document without workspaces."""

    def admit(self, table: Any, route: Any, request: Any) -> Any:
        return request


def make_dispatcher(
    routing: Any,
    dependencies: Any,
    access: AccessControl | None = None,
    held: HeldBytes | None = None,
    quotas: Any = None,
) -> Dispatcher:
    """Return a dispatcher that admits each request unless a part is given."""
    open_access: Any = _OpenAccess()
    return Dispatcher(
        routing,
        dependencies,
        access or open_access,
        quotas or UnlimitedQuotas(),
        held or HeldBytes(),
    )
