"""Queries: operations that only read state, one package for each subject."""
