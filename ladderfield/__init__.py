"""ladderfield: a cluster scheduler that tolerates the loss of controllers, zones and external services."""

__version__ = "0.1.0"
