"""Zone handling for one leader's term: updates zone states, answers the scheduler and maintains the record."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable, Mapping
from typing import Any

from ladderfield.jobs.model import JobSpec
from ladderfield.leader.tables import SILENCE_REPORT_INTERVALS, LeaderTables
from ladderfield.queues.pick import Tier
from ladderfield.queues.work import Claim, Job
from ladderfield.workers.machine import Machine
from ladderfield.zones.evidence import ZoneCounts
from ladderfield.zones.health import MAX_HOLD_S, Timing, Transition, ZoneHealth, ZoneState
from ladderfield.zones.options import ZoneOptions
from ladderfield.zones.policy import ZonePolicy
from ladderfield.zones.record import ZoneRecord
from ladderfield.zones.reserve import Reservation
from ladderfield.zones.return_log import ReturnLog
from ladderfield.zones.waves import PRODUCTION_RANK, ZoneMachines, ZoneReturn, may_fetch

log = logging.getLogger(__name__)

PROBATION_REPORT_INTERVALS = 4.0  # default of a zone's first probation
SUMMARY_REPORT_INTERVALS = 20.0  # between log summaries while a zone is not back to normal


class ZoneCoordinator(ZonePolicy):
    """Detects zone failures and controls evacuation and return on the leader's tables."""

    record: ZoneRecord

    def __init__(self, tables: LeaderTables, options: ZoneOptions) -> None:
        settings = tables.settings
        self.tables, self.options = tables, options
        probation_s = options.probation_s or min(MAX_HOLD_S, PROBATION_REPORT_INTERVALS * tables.report_s)
        self._timing = Timing(tables.lease_s, probation_s)
        self.record = ZoneRecord(settings.cluster.state.value_kb, tables.wall_offset)
        self.health_by_zone: dict[str, ZoneHealth] = {}
        self.returns: dict[str, ZoneReturn] = {}
        self.return_log = ReturnLog(tables.max_remembered)
        self._controllers: dict[str, bool] = {}
        # Zones with a hold or a return that a production job may use; in others batch tasks need not wait.
        self._production_zones: set[str] = set()
        self._reservation = Reservation((), ())
        self._now = tables.term_from
        self._summary_at = -math.inf

    # -- zone states ---------------------------------------------------------------------------------------------

    def load(self, value: Any, revision: int, now: float) -> None:
        """Restore the state that an earlier leader stored."""
        for zone, entry in self.record.load(value, revision, now).items():
            if zone not in self.tables.settings.cluster.zones:
                continue
            health = self._health_of(zone, now)
            health.restore(entry.state, entry.since, entry.failures, entry.failed_at, entry.held_from)
            if entry.wave is not None:
                self.returns[zone] = ZoneReturn(zone, self.options.order_for(zone), entry.wave)
                self.return_log.begin_return(zone, entry.since)
            log.info("zone %s: restored as %s, %d failures", zone, entry.state, entry.failures)

    def on_controllers_checked(self, reachable: Mapping[str, bool]) -> None:
        """Store for each zone whether any of its controllers answered recently."""
        self._controllers = dict(reachable)

    def observe(self, counts: Mapping[str, ZoneCounts], now: float) -> None:
        """Update the state of each zone and open waves that are due."""
        self._now = now
        window = self.options.calendar is not None and self.options.calendar.window_at(now + self.tables.wall_offset)
        for zone, count in counts.items():
            if zone in self.tables.settings.cluster.zones:  # a report may name an unknown zone
                transition = self._health_of(zone, now).observe(count, now, bool(window))
                if transition is not None:
                    self._apply_transition(transition, str(window or ""))
        self._production_zones = self._find_production_zones()
        for zone in list(self.returns):
            self._advance_return(self.returns[zone], now)
        if (
            self.returns or self._zones_to_evacuate()
        ) and now - self._summary_at > SUMMARY_REPORT_INTERVALS * self.tables.report_s:
            self._log_summary(now)

    def extend_holds(self, now: float) -> None:
        """Extend probations and holds; otherwise they could expire before any service was able to start."""
        for health in self.health_by_zone.values():
            health.extend(now - self._now)
        self._now = now

    def _find_production_zones(self) -> set[str]:
        """Zones with a hold or a return that an unfinished production job may use."""
        zones = {
            zone for zone, health in self.health_by_zone.items() if zone in self.returns or health.held_from is not None
        }
        if not zones:
            return zones
        production = [
            job.spec.zone for job in self.tables.jobs.values() if job.final_phase is None and _is_production(job)
        ]
        return zones if None in production else zones.intersection(production)

    def _health_of(self, zone: str, now: float) -> ZoneHealth:
        if zone not in self.health_by_zone:
            self.health_by_zone[zone] = ZoneHealth(zone, self._timing, now)
        return self.health_by_zone[zone]

    def _apply_transition(self, transition: Transition, window: str) -> None:
        """Log a zone's change of state and begin or end its return."""
        zone = transition.zone
        log.info(
            "zone %s: %s, was %s: %d machines reporting, %d recent failures, controllers %s%s",
            zone, transition.after, transition.before, transition.reporting, transition.failures,
            self._controllers_status(zone), f", in window {window}" if window else "",
        )  # fmt: skip
        if transition.after is ZoneState.LOST:
            self.returns.pop(zone, None)
            self.return_log.end_return(zone)
        elif transition.after is ZoneState.PROBATION:
            self.returns[zone] = ZoneReturn(zone, self.options.order_for(zone))
            self.return_log.begin_return(zone, self._now)
        self.tables.changed = True
        self.record.update(self.health_by_zone, self.returns)

    def _controllers_status(self, zone: str) -> str:
        return {True: "reachable", False: "unreachable", None: "not checked"}[self._controllers.get(zone)]

    def _advance_return(self, zone_return: ZoneReturn, now: float) -> None:
        """Open waves that are due: after the probation as work is placed, or all of them at the hold's time limit."""
        health = self.health_by_zone[zone_return.zone]
        expired = not health.may_hold(now)
        if health.state is ZoneState.HEALTHY or expired:
            machines = ZoneMachines([], []) if expired else self._machines_in(zone_return.zone)
            while zone_return.advance(machines, self.tables.jobs.values(), self.tables.teams, now):
                reason = "hold time limit reached" if expired else "previous wave has no unfinished work"
                if not zone_return.complete:
                    log.info(
                        "zone %s: wave %s opens: %s",
                        zone_return.zone,
                        zone_return.order.wave_name(zone_return.wave),
                        reason,
                    )
                self.tables.changed = True
                self.record.update(self.health_by_zone, self.returns)
        if zone_return.complete and health.state is ZoneState.HEALTHY:
            del self.returns[zone_return.zone]
            self.return_log.end_return(zone_return.zone)
            self.record.update(self.health_by_zone, self.returns)
            log.info("zone %s: return complete", zone_return.zone)
            self._log_summary(now)

    def _machines_in(self, zone: str) -> ZoneMachines:
        return ZoneMachines(
            [machine for machine in self.tables.machines.values() if machine.zone == zone],
            [machine for machine in self.tables.usable(self._now) if machine.zone == zone],
        )

    def _log_summary(self, now: float) -> None:
        self._summary_at = now
        for line in self.return_log.summary_lines():
            log.info("zones: %s", line)

    # -- scheduler queries ---------------------------------------------------------------------------------------

    def _zones_to_evacuate(self) -> list[ZoneHealth]:
        """Suspected or lost zones, within the time limit for reserving capacity for their services."""
        return [
            health
            for health in self.health_by_zone.values()
            if health.suspected_or_lost and self._now - health.since < MAX_HOLD_S
        ]

    def begin_pass(self, usable: Iterable[Machine], now: float) -> None:
        """Reserve capacity for the services that still have to move."""
        self._now = now
        evacuated = {health.zone for health in self._zones_to_evacuate()}
        if not evacuated:
            self._reservation = Reservation((), ())
            return
        elsewhere = [machine for machine in usable if machine.zone not in evacuated]
        self._reservation = Reservation(self._jobs_to_move(evacuated, now), elsewhere)

    def _jobs_to_move(self, evacuated: set[str], now: float) -> Iterable[Job]:
        """The job of each production task that is claimed on a silent machine there or queued."""
        for machine in self.tables.machines.values():
            if machine.zone in evacuated and self._is_silent(machine, now):
                yield from (claim.job for claim in machine.claims.values() if _is_production(claim.job))
        for job in self.tables.jobs.values():
            if job.final_phase is None and _is_production(job):
                yield from [job] * min(job.queued, self.tables.teams.room(job.spec))

    def _is_silent(self, machine: Machine, now: float) -> bool:
        return machine.silent_for(now, self.tables.term_from) > SILENCE_REPORT_INTERVALS * self.tables.report_s

    def order_tiers(self, tiers: list[Tier]) -> list[Tier]:
        """During an evacuation order by priority first, then as usual by guarantee and due time."""
        return sorted(tiers, key=lambda tier: tier.rank) if self._zones_to_evacuate() else tiers

    def is_last_resort(self, machine: Machine) -> bool:
        """A machine in an unhealthy zone that production may use gets tasks only if no other machine has room."""
        health = self.health_by_zone.get(machine.zone)
        return health is not None and health.state is not ZoneState.HEALTHY and machine.zone in self._production_zones

    def admits(self, machine: Machine, job: Job) -> bool:
        """Whether the zone's return allows the task, and it takes no slot reserved for a displaced service."""
        health = self.health_by_zone.get(machine.zone)
        zone_return = self.returns.get(machine.zone)
        if health is not None and (zone_return is not None or health.suspected_or_lost) and self._is_held(health):
            if health.suspected_or_lost and not _is_production(job):
                return False  # also if only suspected: the machines may be back after their leases expired
            if zone_return is not None and not (zone_return.admits_rank(job.order[0]) and may_fetch(machine, job)):
                return False
        return _is_production(job) or self._reservation.allows(machine, job.spec)

    def _is_held(self, health: ZoneHealth) -> bool:
        """Whether tasks are held back: only for a limited time, and only if a production job may use the zone."""
        return health.may_hold(self._now) and (health.held_from is None or health.zone in self._production_zones)

    def may_rent_in(self, zone: str, spec: JobSpec, now: float) -> bool:
        """No rental in a zone that is likely unreachable, unless the job may use no other zone.

        The refusal is limited in time, because a zone without machines can't show in any other way that it is back.
        """
        health = self.health_by_zone.get(zone)
        if health is None or not health.suspected_or_lost or spec.zone == zone or self._controllers.get(zone):
            return True
        return now - health.since > MAX_HOLD_S

    # -- events --------------------------------------------------------------------------------------------------

    def on_claim_made(self, claim: Claim, machine: Machine) -> None:
        """Count the claim against the reservation of the current pass."""
        self._reservation.record_claim(claim, machine)

    def on_claim_ended(self, claim: Claim, machine: Machine, done: bool, now: float) -> None:
        """Track the task if its claim ended because the zone was lost; stop tracking it if it is done."""
        health = self.health_by_zone.get(machine.zone)
        if done or claim.job.final_phase is not None:
            self.return_log.forget(claim)
        elif health is not None and health.suspected_or_lost and self._is_silent(machine, now):
            self.return_log.record_displaced(claim, machine.zone, now)

    def on_task_running(self, claim: Claim, machine: Machine, now: float) -> None:
        """Log and time a task that started to run."""
        order = self.options.order_for(machine.zone)
        self.return_log.record_running(claim, machine, order.wave_name(order.wave_of(claim.job.order[0])), now)

    def on_machine_restarted(self, machine: Machine) -> None:
        """Count a machine that came back without its tasks as lost with its zone."""
        health = self.health_by_zone.get(machine.zone)
        if health is not None:
            health.machines_lost += 1

    def on_machine_removed(self, machine: Machine, lost: bool, now: float) -> None:
        """Count a removed machine that was silent and held claims as lost with its zone."""
        health = self.health_by_zone.get(machine.zone)
        if lost and health is not None:
            health.machines_lost += 1


def _is_production(job: Job) -> bool:
    return job.order[0] == PRODUCTION_RANK
