"""ladderfield: a cluster scheduler that survives the loss of its controllers, zones and outside services."""

__version__ = "0.1.0"
