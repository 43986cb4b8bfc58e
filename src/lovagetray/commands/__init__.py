"""Commands: packages that change state, one for each subject."""
