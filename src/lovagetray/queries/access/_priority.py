"""Priority of a request."""

from lovagetray._routing_types import CallerRequest, Route
from lovagetray.state import WorkspaceIndex


def request_priority(
    request: CallerRequest, route: Route, workspaces: WorkspaceIndex | None
) -> int:
    """Return the priority of an authenticated request; 0 is the highest.

    The priority of the request's workspace, where given, replaces that of the route.

    Parameters
    ----------
    workspaces
        The workspaces of the document in force. That of the request is missing if the
        document has changed since the request was authenticated.
    """
    if workspaces is None or request.workspace is None:
        return route.priority
    workspace = workspaces.by_name.get(request.workspace)
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority
