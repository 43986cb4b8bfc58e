"""Small fakes at the interfaces, for runs in virtual time."""
