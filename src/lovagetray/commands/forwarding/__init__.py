"""Forwarding of a request to one replica of one service."""

from lovagetray.commands.forwarding._forward import forward
from lovagetray.commands.forwarding._weighted_round_robin import WeightedRoundRobin
