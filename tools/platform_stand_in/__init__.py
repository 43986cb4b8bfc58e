"""Stand-ins for the users' platform on loopback: replicas, operator and callers."""
