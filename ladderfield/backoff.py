"""Pauses before retries: they grow, and are spread so that callers that failed together do not retry together."""

from __future__ import annotations

import random

GROWTH = 2.0
MIN_JITTER = 0.5  # share of a pause that is always kept


class Backoff:
    """The pauses of one sequence of retries, in seconds."""

    def __init__(self, first_s: float, max_s: float) -> None:
        self.first_s, self.max_s = first_s, max_s
        self.failures = 0  # since the last success
        self._next_s = min(first_s, max_s)

    def next_pause_s(self) -> float:
        """Count a failure; how long to pause before the next attempt."""
        pause_s, self._next_s = self._next_s, min(self._next_s * GROWTH, self.max_s)
        self.failures += 1
        return pause_s * random.uniform(MIN_JITTER, 1.0)

    def reset(self) -> None:
        """Note a success."""
        self.failures, self._next_s = 0, min(self.first_s, self.max_s)
