"""Bound on the drift between the clocks of two machines."""

CLOCK_DRIFT_FACTOR = 1.002  # monotonic clocks are off by up to 0.05% each, 0.1% together; doubled for rounding
