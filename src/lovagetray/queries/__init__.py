"""Everything that only reads state, by subject."""
