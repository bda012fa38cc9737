"""Logs when what this controller may decide has changed, and why."""

from __future__ import annotations

import logging

from ladderfield.connectivity.authority import Authority, Condition, Decision

log = logging.getLogger(__name__)

NOT_LEADER_DECISIONS = (Decision.BECOME_LEADER, Decision.SERVE_USERS)  # of a candidate, and of any controller


class AuthorityLog:
    """Logs one line for each change of the condition or of what a leader may decide."""

    def __init__(self) -> None:
        self._last: tuple[Condition, str] = (Condition.FULL, "")

    def observe(self, authority: Authority, now: float) -> None:
        """Log a line if anything differs from the last call."""
        denied = "" if authority.over else self._denied_decisions(authority, now)
        before, self._last = self._last, (authority.condition, denied)
        if self._last != before:
            log.info(
                "authority: %s, was %s: %s",
                authority.condition.value, before[0].value,
                "not leader" if authority.over else f"epoch {authority.epoch}, denied: {denied or 'nothing'}",
            )  # fmt: skip

    @staticmethod
    def _denied_decisions(authority: Authority, now: float) -> str:
        """The decisions that a leader may not make now, with the proof that is missing."""
        return ", ".join(
            f"{decision.value} (no proof: {authority.verdict(decision).proof.value})"
            for decision in authority.denied(now)
            if decision not in NOT_LEADER_DECISIONS
        )
