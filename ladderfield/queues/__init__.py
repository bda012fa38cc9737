"""Blocks of tasks, their claims, and the queues they are dealt into: the design's ordinary path."""
