"""The search path: snapshot, fan-out, replica choice and merge."""

from lovagetray.queries.search._coordinate import Searcher
from lovagetray.queries.search._merge import Merge
from lovagetray.queries.search._snapshot import choose_snapshot
