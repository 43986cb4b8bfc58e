"""Forwards a request to one replica of one service."""

from lovagetray.commands.forwarding._forward import forward
from lovagetray.commands.forwarding._split import SplitCounter
