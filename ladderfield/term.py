"""One leader's term, and how long the leader may go on answering workers without the state service."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ladderfield.clocks import CLOCK_DRIFT_FACTOR
from ladderfield.connectivity.authority import Authority, Decision
from ladderfield.connectivity.earlier_leaders import EarlierLeaders
from ladderfield.connectivity.reachability import ReachStatus
from ladderfield.rollout import CANCELLATION_SYNC, level_of
from ladderfield.settings import Settings
from ladderfield.view import View

log = logging.getLogger(__name__)

MAX_GRACE_LEASES = 3.0  # the grace period of earlier versions, which this one's must not exceed
LEASE_END_REPORT_INTERVALS = 0.25  # how late a worker may notice that its lease has expired


def grace_s(settings: Settings) -> float:
    """The grace period: how long after the time up to which it knows all cancellations a leader may answer reports.

    A worker goes on for lease_s after its last answered report. A cancellation that was confirmed right after that
    time, unknown to this leader, still takes effect within cancel_s if no report is answered after the grace period. If
    the settings leave no room for one, it is 0. A successor waits for its own grace period before it treats the
    lease of a machine that has not reported to it as expired. As the successor may run the previous version, the grace
    period is never longer than that version's.
    """
    workers = settings.cluster.workers
    remaining_s = (
        workers.cancel_s / CLOCK_DRIFT_FACTOR
        - workers.lease_s * CLOCK_DRIFT_FACTOR
        - LEASE_END_REPORT_INTERVALS * workers.report_s
    )
    return max(0.0, min(remaining_s, MAX_GRACE_LEASES * workers.lease_s))


def grace_of(settings: Settings, view: View, member: str) -> float:
    """The longest time for which a controller may answer reports after another was elected."""
    if level_of(view, member) >= CANCELLATION_SYNC:
        return grace_s(settings)
    return MAX_GRACE_LEASES * settings.cluster.workers.lease_s


@dataclass
class Term:
    """The time for which one controller is leader under one epoch."""

    epoch: int
    epoch_revision: int  # of the epoch key: the guard of every write
    lease_id: int
    renewed_at: float  # when the last successful renewal was sent
    ttl: float
    grace: float
    known_at: float  # every cancellation that was confirmed before this is known here
    # Earlier leaders that may still answer workers, and until what time of day.
    earlier_leaders: dict[str, float] = field(default_factory=dict)
    over: trio.Event = field(default_factory=trio.Event)
    resigning: bool = False  # takes on nothing new
    released: bool = False  # ended in order, so the lease is released at once
    earlier: EarlierLeaders = field(default_factory=lambda: EarlierLeaders(-math.inf))
    reach: Callable[[], ReachStatus] = ReachStatus

    def authority(self) -> Authority:
        """What this leader may decide now; to be asked again after each wait."""
        lease_until = self.renewed_at + self.ttl / CLOCK_DRIFT_FACTOR
        reach = self.reach()
        return Authority(
            condition=reach.condition,
            epoch=self.epoch,
            over=self.over.is_set(),
            resigning=self.resigning,
            renewed_at=self.renewed_at,
            ttl=self.ttl,
            lease_until=lease_until,
            # Upholds the rule ``ran_cancelled``: an answer keeps tasks alive for lease_s more, and others may confirm
            # cancellations that this controller, cut off from the state service, does not learn of.
            answers_until=self.known_at + self.grace if self.grace > 0 else lease_until,
            cancelled_answer_s=max(self.grace, self.ttl),
            earlier_until=self.earlier.until,
            silence_counts_from=reach.silence_counts_from,
        )

    def allows(self, decision: Decision) -> bool:
        """Whether this leader may make the decision now."""
        return self.authority().allows(decision, trio.current_time())

    def note_known(self, at: float) -> None:
        """Every cancellation that was confirmed before ``at`` is known here."""
        self.known_at = max(self.known_at, at)

    def end(self, why: str) -> None:
        """End the term; the controller is no longer leader."""
        if not self.over.is_set():
            log.info("epoch %d: no longer leader: %s", self.epoch, why)
            self.over.set()
