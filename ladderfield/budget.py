"""Shares of what the state service and the cloud allow all controllers together."""

from __future__ import annotations

import trio


class Budget:
    """A token bucket of one second's worth; callers wait their turn, but not longer than they say.

    Safety traffic (the leader's lease, epochs, deletions) passes ``urgent``: it is counted, but never waits, so
    that a burst of submissions can't cost the leader its lease.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._level = self._most = max(1.0, rate)
        self._at = trio.current_time()

    def _refill(self) -> None:
        now = trio.current_time()
        self._level = min(self._most, self._level + (now - self._at) * self.rate)
        self._at = now

    def level(self) -> int:
        """What can be taken at once."""
        self._refill()
        return int(self._level)

    def delay(self, amount: float = 1.0) -> float:
        """How long it would take until so much could be taken."""
        self._refill()
        return max(0.0, (amount - self._level) / self.rate)

    async def ready(self, amount: float) -> None:
        """Wait until so much can be taken at once."""
        await trio.sleep(self.delay(min(amount, self._most)))

    async def take(self, amount: float = 1.0, patience: float = float("inf"), urgent: bool = False) -> bool:
        """Take tokens, waiting if need be; False at once if the wait would exceed the caller's patience."""
        self._refill()
        wait = (amount - self._level) / self.rate
        if not urgent and wait > patience:
            return False
        self._level -= amount
        if wait > 0 and not urgent:
            await trio.sleep(wait)
        return True

    def drain(self) -> None:
        """The other side said 429: begin again from empty."""
        self._refill()
        self._level = min(self._level, 0.0)
