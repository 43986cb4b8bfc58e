"""Derives settings paths of services that need not have a branch of their own."""

from lovagetray.state import TargetDirectory, branch_path, path_problem


def announced_paths(directory: TargetDirectory) -> set[str]:
    """Return the paths of all announced services and of their data centres."""
    paths = set()
    for listing in directory.listings():
        service = branch_path(listing.announcement.service)
        paths.add(service)
        paths.add(f"{service}/{listing.announcement.data_centre}")
    return {path for path in paths if path_problem(path) is None}
