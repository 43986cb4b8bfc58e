"""Commands: all operations that change state, by subject."""
