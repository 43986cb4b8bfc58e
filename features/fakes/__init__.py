"""Fakes of the interfaces to disks, network, peers and replicas, in virtual time."""
