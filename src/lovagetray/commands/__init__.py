"""Everything that changes state, by subject."""
