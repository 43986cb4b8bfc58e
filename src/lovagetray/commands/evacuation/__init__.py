"""Commands that start and end the evacuation of a data centre."""

from lovagetray.commands.evacuation._order import order_evacuation
