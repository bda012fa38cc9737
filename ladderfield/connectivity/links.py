"""One link in one direction: what was exchanged over it lately, and whether it is open. No clock and no I/O."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

IN_A_ROW = 2  # exchanges of one kind that change the state of a link


class Exchange(enum.Enum):
    """How one exchange ended."""

    ANSWERED = "answered"  # however late; a refusal of what was asked (4xx, 429 too) is an answer
    UNAVAILABLE = "unavailable"  # the other side is there, but does not serve us (5xx)
    LOST = "lost"  # no answer in time, or the connection was refused or reset


class LinkState(enum.Enum):
    """Whether a link can be used."""

    OPEN = "open"
    UNAVAILABLE = "unavailable"
    CUT = "cut"


def exchange_of(status: int) -> Exchange:
    """What an HTTP status says about the link that it came over."""
    return Exchange.UNAVAILABLE if status >= 500 else Exchange.ANSWERED


@dataclass(slots=True)
class LinkHistory:
    """The last success and failure, and the present spell. Times in seconds on the steady clock."""

    patience_s: float  # failures in a row have to last for so long
    state: LinkState = LinkState.OPEN
    since: float = -math.inf  # when the present spell began
    last_success: float = -math.inf
    last_failure: float = -math.inf
    _run: int = 0  # exchanges in a row that speak against the present state
    _run_from: float = -math.inf  # when the first of them ended

    def note(self, exchange: Exchange, now: float) -> bool:
        """Take an exchange in; whether the link opened or closed by it."""
        if exchange is Exchange.ANSWERED:
            self.last_success = now
            return self._against(self.state is not LinkState.OPEN, LinkState.OPEN, 0.0, now)
        self.last_failure = now
        failed = LinkState.CUT if exchange is Exchange.LOST else LinkState.UNAVAILABLE
        if self.state is not LinkState.OPEN:
            self.state, self._run = failed, 0
            return False
        return self._against(True, failed, self.patience_s, now)

    def _against(self, speaks_against: bool, other: LinkState, patience_s: float, now: float) -> bool:
        """Count an exchange; change the state after enough of them."""
        if not speaks_against:
            self._run = 0
            return False
        if not self._run:
            self._run_from = now
        self._run += 1
        if self._run < IN_A_ROW or now - self._run_from < patience_s:
            return False
        self.state, self.since, self._run = other, self._run_from, 0
        return True
