"""Whether a zone is healthy, suspected, lost or on probation: a state machine without clock or I/O.

    healthy -> suspected   half of its machines fell silent together
    suspected -> healthy   they came back within their leases: nothing was lost
    suspected -> lost      the leases of half of them ran out, or they came back with nothing
    lost -> probation      half of the machines that are left report
    probation -> lost      half of them fell silent again: at once, and it counts as another failure
    probation -> healthy   they reported steadily for long enough

A zone with fewer than three machines is never judged, and one without machines keeps its state.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ladderfield.zones.evidence import ZoneCounts

LEAST_MACHINES = 3  # fewer tell nothing of their zone
LEAST_SILENT = 2  # one silent machine is that machine's failure
FAILURE_FACTOR = 2.0  # each failure within the window lengthens the next probation by this
BUSY_FACTOR = 2.0  # the same for a window that operators named
DECAY = 10.0  # of lease_s: a zone that has been healthy for so long loses one failure
MOST_FAILURES = 16  # counted; the bound on a probation comes long before
FORGOTTEN_S = 90.0  # the protocol: so long a job may wait while a fitting machine has room
HOLD_MOST_S = FORGOTTEN_S / 2  # no hold for the sake of a zone's return lasts longer


class ZoneState(enum.StrEnum):
    """How a zone is."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    LOST = "lost"
    PROBATION = "probation"


@dataclass(frozen=True)
class Timing:
    """The deployment's pace, and how long a first probation lasts."""

    lease_s: float
    probation_s: float


@dataclass(frozen=True)
class Transition:
    """A zone's change from one state to another."""

    zone: str
    before: ZoneState
    after: ZoneState
    present: int
    failures: int


class ZoneHealth:
    """One zone."""

    def __init__(self, zone: str, timing: Timing, now: float) -> None:
        self.zone, self.timing = zone, timing
        self.state, self.since = ZoneState.HEALTHY, now
        self.failures = 0
        self.failed_at = now  # the last failure, or since when the next one fades
        self.held_from: float | None = None  # since when batch is held there: a suspicion, or a return
        self.lost_since = 0  # machines that were given up, or came back with nothing, since the suspicion
        self._size = 0  # machines that reported, or were within their leases, when it began
        self._lapsed_before = 0
        self._steady_from = now

    @property
    def troubled(self) -> bool:
        """Whether work there can't be counted on now."""
        return self.state in (ZoneState.SUSPECTED, ZoneState.LOST)

    def holding(self, now: float) -> bool:
        """Whether holds for the sake of the zone's return may still last, whatever its state.

        Where no machine reported so far the time does not run yet: the first one must not find the hold over.
        """
        return self.held_from is None or now < self.held_from + HOLD_MOST_S

    def probation_s(self, busy: bool) -> float:
        """How long the zone has to be steady: longer after each failure, and in a window that operators named."""
        factor = FAILURE_FACTOR ** max(0, self.failures - 1) * (BUSY_FACTOR if busy else 1.0)
        return min(HOLD_MOST_S, self.timing.probation_s * factor)

    def observe(self, counts: ZoneCounts, now: float, busy: bool) -> Transition | None:
        """Take the evidence in; the change that follows, if any."""
        self._fade(now)
        if counts.machines == 0:
            return None
        after = {
            ZoneState.HEALTHY: self._when_healthy,
            ZoneState.SUSPECTED: self._when_suspected,
            ZoneState.LOST: self._when_lost,
            ZoneState.PROBATION: self._when_on_probation,
        }[self.state](counts, now, busy)
        if after is self.state:
            return None
        transition = Transition(self.zone, self.state, after, counts.present, self.failures)
        self.state, self.since = after, now
        return transition

    def _when_healthy(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        active = counts.present + counts.recent
        if active < LEAST_MACHINES or counts.recent < LEAST_SILENT or 2 * counts.recent < active:
            return ZoneState.HEALTHY
        self._size, self._lapsed_before, self.lost_since = active, counts.lapsed, 0
        self.held_from = now
        return ZoneState.SUSPECTED

    def _when_suspected(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        lost = max(0, counts.lapsed - self._lapsed_before) + self.lost_since
        if 2 * lost >= self._size:
            return self._fail(counts, now)
        if counts.recent < LEAST_SILENT or 2 * counts.recent < counts.present + counts.recent:
            self.held_from = None
            return ZoneState.HEALTHY
        return ZoneState.SUSPECTED

    def _when_lost(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        if not counts.present:
            self.held_from = None
            return ZoneState.LOST
        if self.held_from is None:
            self.held_from = now
        if 2 * counts.present < counts.machines:
            return ZoneState.LOST
        self._steady_from = now
        return ZoneState.PROBATION

    def _when_on_probation(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        if not counts.present or (counts.recent >= LEAST_SILENT and counts.recent >= counts.present):
            return self._fail(counts, now)
        if 2 * counts.present < counts.machines:
            self._steady_from = now
        if now - self._steady_from < self.probation_s(busy):
            return ZoneState.PROBATION
        self.failed_at = now  # only healthy time makes a failure fade
        return ZoneState.HEALTHY

    def _fail(self, counts: ZoneCounts, now: float) -> ZoneState:
        self.failures = min(MOST_FAILURES, self.failures + 1)
        self.failed_at = now
        self.held_from = now if counts.present else None
        return ZoneState.LOST

    def _fade(self, now: float) -> None:
        """Forget one failure for each stretch of health."""
        if self.state is ZoneState.HEALTHY and self.failures and now - self.failed_at > DECAY * self.timing.lease_s:
            self.failures -= 1
            self.failed_at = now

    def delay(self, seconds: float) -> None:
        """Probation and hold last so much longer."""
        self._steady_from += seconds
        if self.held_from is not None:
            self.held_from += seconds

    def resume(self, state: ZoneState, since: float, failures: int, failed_at: float, held_from: float | None) -> None:
        """Go on where an earlier leader stood. What it was waiting for has to show anew."""
        self.state, self.since, self.failures, self.failed_at = state, since, failures, failed_at
        self.held_from = since if held_from is None and state is not ZoneState.LOST else held_from
        self._steady_from = since
        self._size, self._lapsed_before = LEAST_MACHINES, 0
