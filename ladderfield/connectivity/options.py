"""The operators' flags about leadership by reach, checked."""

from __future__ import annotations

import math
from dataclasses import dataclass

from ladderfield.flags import FlagError
from ladderfield.settings import Workers

BY_REACH, TENURE, STAND_BACK = "--leadership-by-reach", "--minimum-tenure", "--stand-back"
TENURE_DEFAULT = 1.0  # of lease_s: workers have come to a new leader by then, and have lost nothing yet
TENURE_MOST_S = 3600.0
STAND_BACK_DEFAULT = 2.0  # of report_s, which is how long a leader's lease lasts: time for two elections
STAND_BACK_MOST = 0.5  # of lease_s: workers must not lose their leases for want of a leader


@dataclass(frozen=True)
class ReachOptions:
    """How leadership follows reach. Times in seconds."""

    minimum_tenure_s: float  # a leader doesn't resign before it has been one for so long
    stand_back_s: float  # a candidate with less reach lets others go first for so long


def check(by_reach: bool, tenure_s: float | None, stand_back_s: float | None, workers: Workers) -> ReachOptions | None:
    """The options, or None if the feature is off; FlagError names the flag that can't be used."""
    for flag, value in ((TENURE, tenure_s), (STAND_BACK, stand_back_s)):
        if value is not None and not by_reach:
            raise FlagError(flag, f"has no effect without {BY_REACH}")
    return ReachOptions(
        _seconds(TENURE, tenure_s, TENURE_DEFAULT * workers.lease_s, TENURE_MOST_S),
        _seconds(
            STAND_BACK, stand_back_s, STAND_BACK_DEFAULT * workers.report_s, STAND_BACK_MOST * workers.lease_s
        ),
    ) if by_reach else None  # fmt: skip


def _seconds(flag: str, given: float | None, default: float, most: float) -> float:
    """A flag's time, which is above 0 and not above its bound."""
    if given is None:
        return min(default, most)
    if not (math.isfinite(given) and 0 < given <= most):
        raise FlagError(flag, f"{given:g} is not above 0 and at most {most:g} s")
    return given
