"""Adapters between lovagetray and the users' platform; contains no decisions.

The package imports nothing itself, so that `python -m lovagetray.platform` can set up
the process before the rest of lovagetray is imported.
"""
