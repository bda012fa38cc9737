"""One leader's time in office, and how long it may go on answering workers without the state service."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ladderfield.clocks import CLOCKS
from ladderfield.connectivity.authority import Authority, Decision
from ladderfield.connectivity.earlier_leaders import EarlierLeaders
from ladderfield.connectivity.reachability import ReachStatus
from ladderfield.rollout import CANCELLATION_SYNC, level_of
from ladderfield.settings import Settings
from ladderfield.view import View

log = logging.getLogger(__name__)

GRACE_BEFORE = 3.0  # of lease_s: the grace period of versions before this one, and never more than that
KILLED = 0.25  # of report_s: how late a worker may notice that its lease is over


def grace_s(settings: Settings) -> float:
    """The grace period: how long after it last surely knew all cancellations a leader may answer reports.

    A worker goes on for lease_s after its last answered report. A cancellation that was confirmed right after that
    moment, unknown to this leader, is carried out within cancel_s all the same if nothing is answered later than this.
    Where the settings leave nothing there is no grace period. A successor adds it before it calls an unheard machine's
    lease expired; as it may be of the version before, it is never longer than that version's.
    """
    workers = settings.cluster.workers
    left = workers.cancel_s / CLOCKS - workers.lease_s * CLOCKS - KILLED * workers.report_s
    return max(0.0, min(left, GRACE_BEFORE * workers.lease_s))


def grace_of(settings: Settings, view: View, member: str) -> float:
    """The longest that a controller may answer reports after another was elected."""
    if level_of(view, member) >= CANCELLATION_SYNC:
        return grace_s(settings)
    return GRACE_BEFORE * settings.cluster.workers.lease_s


@dataclass
class Term:
    """One leader's time in office."""

    epoch: int
    stamp: int  # the epoch key's version: the guard of every write
    hold: int
    renewed_at: float  # when the last renewal that succeeded was sent
    ttl: float
    grace: float
    known_at: float  # every cancellation that was confirmed before this is surely known here
    before: dict[str, float] = field(
        default_factory=dict
    )  # earlier leaders who may still answer; until what time of day
    over: trio.Event = field(default_factory=trio.Event)
    resigning: bool = False  # nothing new is begun
    released: bool = False  # it was ended in order, so that the lease is released at once
    earlier: EarlierLeaders = field(default_factory=lambda: EarlierLeaders(-math.inf))
    reach: Callable[[], ReachStatus] = ReachStatus

    def authority(self) -> Authority:
        """What this leader may decide, as of now: ask again after each wait."""
        lease_until = self.renewed_at + self.ttl / CLOCKS
        reach = self.reach()
        return Authority(
            condition=reach.condition,
            epoch=self.epoch,
            over=self.over.is_set(),
            resigning=self.resigning,
            renewed_at=self.renewed_at,
            ttl=self.ttl,
            lease_until=lease_until,
            # Guards ``ran_cancelled``: an answer keeps tasks alive for lease_s more, and others confirm cancellations
            # that this controller, cut off from the state service, may never hear of.
            answers_until=self.known_at + self.grace if self.grace > 0 else lease_until,
            cancelled_patience=max(self.grace, self.ttl),
            earlier_until=self.earlier.until,
            silence_counts_from=reach.silence_counts_from,
        )

    def allows(self, decision: Decision) -> bool:
        """Whether this leader may decide that now."""
        return self.authority().allows(decision, trio.current_time())

    def knows(self, at: float) -> None:
        """Every cancellation that was confirmed before this moment is known here."""
        self.known_at = max(self.known_at, at)

    def end(self, why: str) -> None:
        """Step down."""
        if not self.over.is_set():
            log.info("epoch %d: no longer leader: %s", self.epoch, why)
            self.over.set()
