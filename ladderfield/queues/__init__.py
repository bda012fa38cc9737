"""Jobs, task claims, and the per-machine queues that tasks are distributed to."""
