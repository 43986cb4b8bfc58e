"""Queries: packages that only read state, one for each subject."""
