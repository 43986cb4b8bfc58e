"""Fault soak: real gateway processes under random faults from outside."""
