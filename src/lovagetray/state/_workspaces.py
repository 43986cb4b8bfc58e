"""Workspaces of a routing document, found by key or by name.

Designed for 10,000 workspaces in a document.
"""

from collections.abc import Iterator, Sequence
from hashlib import blake2b
from itertools import islice
from secrets import token_bytes
from typing import NamedTuple

from lovagetray._routing_types import Workspace

_SECRET_BYTES = 32
# Two of 10,000 keys, or a guessed one, share a hash with a probability below 2^-100.
_HASH_BYTES = 16
# A message that names thousands of workspaces exceeds what an operator reads.
_MAX_PROBLEMS = 20


class WorkspaceIndex(NamedTuple):
    """Workspaces by the keyed hashes of their keys, and by name.

    The time of a look-up depends neither on the number of workspaces nor on how much of
    a key is right: a caller cannot compute the hashes, which the index compares.

    Parameters
    ----------
    secret
        Key of the hash, random for each index.
    by_hash
        Workspaces by the hashes of their keys.
    by_name
        Workspaces by name.
    """

    secret: bytes
    by_hash: dict[bytes, Workspace]
    by_name: dict[str, Workspace]

    def find_by_key(self, key: bytes) -> Workspace | None:
        """Return the workspace that a key identifies, or None."""
        return self.by_hash.get(_hash_key(self.secret, key))


def build_workspace_index(workspaces: Sequence[Workspace]) -> WorkspaceIndex:
    """Return the index of the workspaces of a document."""
    secret = token_bytes(_SECRET_BYTES)
    return WorkspaceIndex(
        secret,
        {
            _hash_key(secret, key.encode()): workspace
            for workspace in workspaces
            for key in workspace.keys
        },
        {workspace.name: workspace for workspace in workspaces},
    )


def workspace_problems(workspaces: Sequence[Workspace]) -> list[str]:
    """Return the reasons why a document cannot have these workspaces.

    The reasons contain no key, because they are logged and sent to the operator.
    """
    problems = list(islice(_iterate_problems(workspaces), _MAX_PROBLEMS + 1))
    if len(problems) > _MAX_PROBLEMS:
        problems[-1] = "there are more problems with workspaces"
    return problems


def _iterate_problems(workspaces: Sequence[Workspace]) -> Iterator[str]:
    names: dict[str, str] = {}
    owners: dict[str, str] = {}
    reported: set[tuple[str, str]] = set()
    for workspace in workspaces:
        name = workspace.name
        # Spaces around the value of a header have no meaning for its receiver.
        sent_name = name.strip(" ")
        if not sent_name:
            yield f"the name {name!r} of a workspace is blank"
        if sent_name in names:
            yield f"workspaces {names[sent_name]!r} and {name!r} share a name"
        names.setdefault(sent_name, name)
        for key in workspace.keys:
            owner = owners.setdefault(key, name)
            if owner != name and (owner, name) not in reported:
                reported.add((owner, name))
                yield f"workspaces {owner!r} and {name!r} share a key"


def _hash_key(secret: bytes, key: bytes) -> bytes:
    return blake2b(key, digest_size=_HASH_BYTES, key=secret).digest()
