"""Checks the flags for leadership by reach."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ladderfield.flags import FlagError
from ladderfield.settings import Workers

BY_REACH_FLAG, MINIMUM_TERM_FLAG, CANDIDACY_DELAY_FLAG = "--leadership-by-reach", "--minimum-tenure", "--stand-back"
MINIMUM_TERM_LEASES = 1.0  # by then workers have moved to a new leader, and none has lost its lease
MAX_MINIMUM_TERM_S = 3600.0
CANDIDACY_DELAY_REPORT_INTERVALS = 2.0  # a leader's lease lasts one interval: time for two elections
MAX_CANDIDACY_DELAY_LEASES = 0.5  # workers must not lose their leases while there is no leader


@dataclass(frozen=True)
class ReachOptions:
    """How leadership follows reach. Times in seconds."""

    minimum_term_s: float  # a leader does not resign earlier in its term
    candidacy_delay_s: float  # how long a candidate with less reach lets others go first


def check(
    by_reach: bool, minimum_term_s: float | None, candidacy_delay_s: float | None, workers: Workers
) -> ReachOptions | None:
    """The options, or None if the feature is off; FlagError names the flag that is invalid."""
    for flag, value in ((MINIMUM_TERM_FLAG, minimum_term_s), (CANDIDACY_DELAY_FLAG, candidacy_delay_s)):
        if value is not None and not by_reach:
            raise FlagError(flag, f"has no effect without {BY_REACH_FLAG}")
    return ReachOptions(
        _checked_seconds(MINIMUM_TERM_FLAG, minimum_term_s, MINIMUM_TERM_LEASES * workers.lease_s, MAX_MINIMUM_TERM_S),
        _checked_seconds(
            CANDIDACY_DELAY_FLAG,
            candidacy_delay_s,
            CANDIDACY_DELAY_REPORT_INTERVALS * workers.report_s,
            MAX_CANDIDACY_DELAY_LEASES * workers.lease_s,
        ),
    ) if by_reach else None  # fmt: skip


def _checked_seconds(flag: str, given: float | None, default: float, upper_bound: float) -> float:
    """The seconds that a flag gives, above 0 and at most ``upper_bound``; or the default."""
    if given is None:
        return min(default, upper_bound)
    if not (math.isfinite(given) and 0 < given <= upper_bound):
        raise FlagError(flag, f"{given:g} is not above 0 and at most {upper_bound:g} s")
    return given
