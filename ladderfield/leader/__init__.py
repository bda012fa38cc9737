"""The leader: the one controller that holds queues, claims, quota and machines for the time of an epoch."""
