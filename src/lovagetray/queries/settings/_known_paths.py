"""The paths of services that are known without a branch of their own."""

from lovagetray.state import TargetDirectory, branch_path, path_problem


def announced_paths(directory: TargetDirectory) -> set[str]:
    """Return the path of each announced service and of its data centres."""
    paths = set()
    for listing in directory.listings():
        service = branch_path(listing.announcement.service)
        paths.add(service)
        paths.add(f"{service}/{listing.announcement.data_centre}")
    return {path for path in paths if path_problem(path) is None}
