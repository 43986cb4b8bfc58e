"""Translates between the product and the users' platform; no decision is taken here.

The package loads nothing by itself, so that `python -m lovagetray.platform` takes its
first steps before the product is loaded.
"""
