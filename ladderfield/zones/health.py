"""The health of a zone: a state machine without a clock or I/O.

    healthy -> suspected   half of the zone's machines fell silent together
    suspected -> healthy   the machines came back before their leases expired: nothing was lost
    suspected -> lost      the leases of half of them expired, or they came back without their tasks
    lost -> probation      half of the remaining machines report
    probation -> lost      half of them fell silent again: immediate, and counted as another failure
    probation -> healthy   the machines reported steadily for the probation period

A zone with fewer than three machines never becomes suspected, and a zone without machines keeps its state.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ladderfield.zones.evidence import ZoneCounts

MIN_MACHINES = 3  # fewer machines are not enough evidence about their zone
MIN_SILENT_MACHINES = 2  # a single silent machine is a machine failure, not a zone failure
FAILURE_FACTOR = 2.0  # multiplies the probation for each failure after the first
BUSY_WINDOW_FACTOR = 2.0  # multiplies the probation within an operator-defined window
FAILURE_DECAY_LEASES = 10.0  # a zone loses one failure each time it has been healthy for this long
MAX_FAILURES = 16  # MAX_HOLD_S limits the probation well below this count
MAX_JOB_WAIT_S = 90.0  # protocol limit on how long a job may wait while a suitable machine has room
MAX_HOLD_S = MAX_JOB_WAIT_S / 2  # limit on any hold for a zone's return


class ZoneState(enum.StrEnum):
    """The health state of a zone."""

    HEALTHY = "healthy"
    SUSPECTED = "suspected"
    LOST = "lost"
    PROBATION = "probation"


@dataclass(frozen=True)
class Timing:
    """The worker lease and the length of a first probation."""

    lease_s: float
    probation_s: float


@dataclass(frozen=True)
class Transition:
    """A zone's change of state."""

    zone: str
    before: ZoneState
    after: ZoneState
    reporting: int
    failures: int


class ZoneHealth:
    """The health of one zone."""

    def __init__(self, zone: str, timing: Timing, now: float) -> None:
        self.zone, self.timing = zone, timing
        self.state, self.since = ZoneState.HEALTHY, now
        self.failures = 0
        self.failed_at = now  # time of the last failure, or the start of the current decay period
        self.held_from: float | None = None  # start of the hold on batch tasks: suspicion or return
        self.machines_lost = 0  # machines removed, or back without their tasks, since the zone was suspected
        self._active_when_suspected = 0  # machines that reported or had valid leases at that time
        self._lease_expired_when_suspected = 0
        self._steady_since = now

    @property
    def suspected_or_lost(self) -> bool:
        """Whether tasks in the zone may not be running."""
        return self.state in (ZoneState.SUSPECTED, ZoneState.LOST)

    def may_hold(self, now: float) -> bool:
        """Whether the time limit on the zone's hold has not been reached, in any state.

        The limit does not start to run before a machine reports, so that the hold still applies to the first one.
        """
        return self.held_from is None or now < self.held_from + MAX_HOLD_S

    def probation_s(self, busy: bool) -> float:
        """The probation: longer after each further failure and in an operator-defined window."""
        factor = FAILURE_FACTOR ** max(0, self.failures - 1) * (BUSY_WINDOW_FACTOR if busy else 1.0)
        return min(MAX_HOLD_S, self.timing.probation_s * factor)

    def observe(self, counts: ZoneCounts, now: float, busy: bool) -> Transition | None:
        """Update the state from machine counts; returns the transition, if any."""
        self._decay_failures(now)
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
        transition = Transition(self.zone, self.state, after, counts.reporting, self.failures)
        self.state, self.since = after, now
        return transition

    def _when_healthy(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        active = counts.reporting + counts.recently_silent
        if active < MIN_MACHINES or counts.recently_silent < MIN_SILENT_MACHINES or 2 * counts.recently_silent < active:
            return ZoneState.HEALTHY
        self._active_when_suspected, self._lease_expired_when_suspected, self.machines_lost = (
            active,
            counts.lease_expired,
            0,
        )
        self.held_from = now
        return ZoneState.SUSPECTED

    def _when_suspected(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        lost = max(0, counts.lease_expired - self._lease_expired_when_suspected) + self.machines_lost
        if 2 * lost >= self._active_when_suspected:
            return self._fail(counts, now)
        if (
            counts.recently_silent < MIN_SILENT_MACHINES
            or 2 * counts.recently_silent < counts.reporting + counts.recently_silent
        ):
            self.held_from = None
            return ZoneState.HEALTHY
        return ZoneState.SUSPECTED

    def _when_lost(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        if not counts.reporting:
            self.held_from = None
            return ZoneState.LOST
        if self.held_from is None:
            self.held_from = now
        if 2 * counts.reporting < counts.machines:
            return ZoneState.LOST
        self._steady_since = now
        return ZoneState.PROBATION

    def _when_on_probation(self, counts: ZoneCounts, now: float, busy: bool) -> ZoneState:
        if not counts.reporting or (
            counts.recently_silent >= MIN_SILENT_MACHINES and counts.recently_silent >= counts.reporting
        ):
            return self._fail(counts, now)
        if 2 * counts.reporting < counts.machines:
            self._steady_since = now
        if now - self._steady_since < self.probation_s(busy):
            return ZoneState.PROBATION
        self.failed_at = now  # failures decay only while the zone is healthy
        return ZoneState.HEALTHY

    def _fail(self, counts: ZoneCounts, now: float) -> ZoneState:
        self.failures = min(MAX_FAILURES, self.failures + 1)
        self.failed_at = now
        self.held_from = now if counts.reporting else None
        return ZoneState.LOST

    def _decay_failures(self, now: float) -> None:
        """Remove one failure for each decay period in which the zone was healthy."""
        if (
            self.state is ZoneState.HEALTHY
            and self.failures
            and now - self.failed_at > FAILURE_DECAY_LEASES * self.timing.lease_s
        ):
            self.failures -= 1
            self.failed_at = now

    def extend(self, seconds: float) -> None:
        """Extend the probation and the hold."""
        self._steady_since += seconds
        if self.held_from is not None:
            self.held_from += seconds

    def restore(self, state: ZoneState, since: float, failures: int, failed_at: float, held_from: float | None) -> None:
        """Restore the state stored by an earlier leader. Counts that it had collected start over."""
        self.state, self.since, self.failures, self.failed_at = state, since, failures, failed_at
        self.held_from = since if held_from is None and state is not ZoneState.LOST else held_from
        self._steady_since = since
        self._active_when_suspected, self._lease_expired_when_suspected = MIN_MACHINES, 0
