"""Translates between the product and the users' platform; no decision is taken here."""
