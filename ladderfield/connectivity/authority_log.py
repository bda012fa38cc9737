"""Says on the log when what this controller may decide has changed, and why."""

from __future__ import annotations

import logging

from ladderfield.connectivity.authority import Authority, Condition, Decision

log = logging.getLogger(__name__)

NOT_A_LEADERS = (Decision.TAKE_OFFICE, Decision.SERVE_USERS)  # a candidate's, and any controller's


class AuthorityLog:
    """One line for each change of condition or of what a leader may decide."""

    def __init__(self) -> None:
        self._last: tuple[Condition, str] = (Condition.FULL, "")

    def observe(self, authority: Authority, now: float) -> None:
        """Write a line if anything is different from the last time."""
        stopped = "" if authority.over else self._stopped(authority, now)
        before, self._last = self._last, (authority.condition, stopped)
        if self._last != before:
            log.info(
                "authority: %s, was %s: %s",
                authority.condition.value, before[0].value,
                "not leader" if authority.over else f"epoch {authority.epoch}, stopped: {stopped or 'nothing'}",
            )  # fmt: skip

    @staticmethod
    def _stopped(authority: Authority, now: float) -> str:
        """What a leader may not decide, with the proof that is missing."""
        return ", ".join(
            f"{decision.value} (no proof: {authority.verdict(decision).proof.value})"
            for decision in authority.denied(now)
            if decision not in NOT_A_LEADERS
        )
