"""One link in one direction: its recent exchanges, and whether it is open. No clock and no I/O."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

CONSECUTIVE_EXCHANGES = 2  # in a row and of one kind, to change the state of a link


class Exchange(enum.Enum):
    """How one exchange ended."""

    ANSWERED = "answered"  # however late; 4xx, 429 included, is an answer
    UNAVAILABLE = "unavailable"  # the other side is there but does not serve us (5xx)
    LOST = "lost"  # no answer in time, or the connection was refused or reset


class LinkState(enum.Enum):
    """Whether a link can be used."""

    OPEN = "open"
    UNAVAILABLE = "unavailable"
    CUT = "cut"


def exchange_for_status(status: int) -> Exchange:
    """What an HTTP status says about the link that it arrived over."""
    return Exchange.UNAVAILABLE if status >= 500 else Exchange.ANSWERED


@dataclass(slots=True)
class LinkHistory:
    """The last success and failure, and the current state. Times in seconds on the steady clock."""

    min_duration_s: float  # how long consecutive failures must last to close the link
    state: LinkState = LinkState.OPEN
    since: float = -math.inf  # when the current state began
    last_success: float = -math.inf
    last_failure: float = -math.inf
    _streak: int = 0  # consecutive exchanges that contradict the current state
    _streak_from: float = -math.inf  # when the first of them ended

    def note(self, exchange: Exchange, now: float) -> bool:
        """Record an exchange; whether it opened or closed the link."""
        if exchange is Exchange.ANSWERED:
            self.last_success = now
            return self._count_contrary(self.state is not LinkState.OPEN, LinkState.OPEN, 0.0, now)
        self.last_failure = now
        failed = LinkState.CUT if exchange is Exchange.LOST else LinkState.UNAVAILABLE
        if self.state is not LinkState.OPEN:
            self.state, self._streak = failed, 0
            return False
        return self._count_contrary(True, failed, self.min_duration_s, now)

    def _count_contrary(self, contrary: bool, other: LinkState, min_duration_s: float, now: float) -> bool:
        """Count an exchange that contradicts the state, and change the state after enough of them."""
        if not contrary:
            self._streak = 0
            return False
        if not self._streak:
            self._streak_from = now
        self._streak += 1
        if self._streak < CONSECUTIVE_EXCHANGES or now - self._streak_from < min_duration_s:
            return False
        self.state, self.since, self._streak = other, self._streak_from, 0
        return True
