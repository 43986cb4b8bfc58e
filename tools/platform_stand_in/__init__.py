"""Stand-ins of the users' platform: replicas, operator and callers, on loopback."""
