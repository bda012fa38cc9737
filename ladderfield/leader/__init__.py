"""The elected leader: it owns the task queues, claims, team quotas and machines for the duration of one term."""
