"""This controller's shares of the call rates that the state service and the cloud API allow all controllers."""

from __future__ import annotations

import trio


class Budget:
    """A token bucket that holds the tokens of one second; callers wait for tokens up to a time of their choice.

    Calls that safety depends on (the leader's lease, epochs, deletions) are ``urgent``: they take tokens but never
    wait, so that a burst of submissions can't make the leader lose its lease.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._tokens = self._capacity = max(1.0, rate)
        self._refilled_at = trio.current_time()

    def _refill(self) -> None:
        now = trio.current_time()
        self._tokens = min(self._capacity, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def level(self) -> int:
        """How many tokens can be taken without waiting."""
        self._refill()
        return int(self._tokens)

    def delay(self, amount: float = 1.0) -> float:
        """Seconds until ``amount`` tokens are available."""
        self._refill()
        return max(0.0, (amount - self._tokens) / self.rate)

    async def wait_until_available(self, amount: float) -> None:
        """Wait until ``amount`` tokens, or a full bucket, are available; takes none."""
        await trio.sleep(self.delay(min(amount, self._capacity)))

    async def take(self, amount: float = 1.0, max_wait_s: float = float("inf"), urgent: bool = False) -> bool:
        """Take tokens, after a wait if necessary; False, without waiting, if that would exceed ``max_wait_s``."""
        self._refill()
        wait_s = (amount - self._tokens) / self.rate
        if not urgent and wait_s > max_wait_s:
            return False
        self._tokens -= amount
        if wait_s > 0 and not urgent:
            await trio.sleep(wait_s)
        return True

    def drain(self) -> None:
        """Empty the bucket, after the service has answered 429."""
        self._refill()
        self._tokens = min(self._tokens, 0.0)
