"""The zones of one leader's term: takes evidence in, answers the scheduler, and keeps the record."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable, Mapping
from typing import Any

from ladderfield.jobs.model import JobSpec
from ladderfield.leader.tables import SILENT, LeaderTables
from ladderfield.queues.pick import Tier
from ladderfield.queues.work import Claim, Job
from ladderfield.workers.machine import Machine
from ladderfield.zones.evidence import ZoneCounts
from ladderfield.zones.health import HOLD_MOST_S, Timing, Transition, ZoneHealth, ZoneState
from ladderfield.zones.options import ZoneOptions
from ladderfield.zones.policy import ZonePolicy
from ladderfield.zones.record import ZoneRecord
from ladderfield.zones.reserve import Reservation
from ladderfield.zones.return_log import ReturnLog
from ladderfield.zones.waves import PRODUCTION_RANK, Return, may_fetch

log = logging.getLogger(__name__)

PROBATION = 4.0  # of report_s: a zone's first probation
SUMMARY_EVERY = 20.0  # of report_s: histograms on the log while anything returns


class ZoneCoordinator(ZonePolicy):
    """Zone health, evacuation and return on the leader's tables."""

    record: ZoneRecord

    def __init__(self, tables: LeaderTables, options: ZoneOptions) -> None:
        settings = tables.settings
        self.tables, self.options = tables, options
        probation_s = options.probation_s or min(HOLD_MOST_S, PROBATION * tables.report_s)
        self._timing = Timing(tables.lease_s, probation_s)
        self.record = ZoneRecord(settings.cluster.state.value_kb, tables.wall_offset)
        self.healths: dict[str, ZoneHealth] = {}
        self.returns: dict[str, Return] = {}
        self.return_log = ReturnLog(tables.most_kept)
        self._controllers: dict[str, bool] = {}
        self._wanted: set[str] = set()  # zones that a production job may use: elsewhere nobody has to be let in first
        self._reservation = Reservation((), ())
        self._now = tables.term_from
        self._summary_at = -math.inf

    # -- evidence ------------------------------------------------------------------------------------------------

    def load(self, value: Any, stamp: int, now: float) -> None:
        """Take over what an earlier leader left on record."""
        for zone, entry in self.record.load(value, stamp, now).items():
            if zone not in self.tables.settings.cluster.zones:
                continue
            health = self._health(zone, now)
            health.resume(entry.state, entry.since, entry.failures, entry.failed_at, entry.held_from)
            if entry.wave is not None:
                self.returns[zone] = Return(zone, self.options.order_for(zone), entry.wave)
                self.return_log.returns(zone, entry.since)
            log.info("zone %s: taken over as %s, %d failures", zone, entry.state, entry.failures)

    def controllers_checked(self, reachable: Mapping[str, bool]) -> None:
        """Whether any controller of each zone answered lately."""
        self._controllers = dict(reachable)

    def observe(self, counts: Mapping[str, ZoneCounts], now: float) -> None:
        """Judge each zone anew, and open waves."""
        self._now = now
        busy = self.options.calendar is not None and self.options.calendar.busy(now + self.tables.wall_offset)
        for zone, count in counts.items():
            if zone in self.tables.settings.cluster.zones:  # a report may name any
                transition = self._health(zone, now).observe(count, now, bool(busy))
                if transition is not None:
                    self._changed(transition, str(busy or ""))
        self._wanted = self._wanted_zones()
        for zone in list(self.returns):
            self._advance(self.returns[zone], now)
        if (self.returns or self._troubled()) and now - self._summary_at > SUMMARY_EVERY * self.tables.report_s:
            self._log_summary(now)

    def delay(self, now: float) -> None:
        """Nothing can be started now: probations and holds go on where they are, or batch would have waited in vain."""
        for health in self.healths.values():
            health.delay(now - self._now)
        self._now = now

    def _wanted_zones(self) -> set[str]:
        """Zones that are not healthy, or return, and that a production job may use."""
        zones = {zone for zone, health in self.healths.items() if zone in self.returns or health.held_from is not None}
        if not zones:
            return zones
        production = [job.spec.zone for job in self.tables.jobs.values() if job.final is None and _is_production(job)]
        return zones if None in production else zones.intersection(production)

    def _health(self, zone: str, now: float) -> ZoneHealth:
        if zone not in self.healths:
            self.healths[zone] = ZoneHealth(zone, self._timing, now)
        return self.healths[zone]

    def _changed(self, change: Transition, busy: str) -> None:
        """A zone's state changed."""
        zone = change.zone
        log.info(
            "zone %s: %s, was %s: %d machines report, %d failures lately, its controllers %s%s",
            zone, change.after, change.before, change.present, change.failures, self._reach(zone),
            f", in window {busy}" if busy else "",
        )  # fmt: skip
        if change.after is ZoneState.LOST:
            self.returns.pop(zone, None)
            self.return_log.lost(zone)
        elif change.after is ZoneState.PROBATION:
            self.returns[zone] = Return(zone, self.options.order_for(zone))
            self.return_log.returns(zone, self._now)
        self.tables.changed = True
        self.record.update(self.healths, self.returns)

    def _reach(self, zone: str) -> str:
        return {True: "answer", False: "do not answer", None: "are not known"}[self._controllers.get(zone)]

    def _advance(self, one: Return, now: float) -> None:
        """Open the next wave where it is due: after the probation, or when the hold has lasted for long enough."""
        health = self.healths[one.zone]
        over = not health.holding(now)
        if health.state is ZoneState.HEALTHY or over:
            machines = [] if over else self._machines_in(one.zone)
            while one.advance(machines, self.tables.jobs.values(), self.tables.teams, now):
                why = "the hold has lasted for long enough" if over else "the one before needs nothing more"
                if not one.complete:
                    log.info("zone %s: wave %s opens: %s", one.zone, one.order.name(one.wave), why)
                self.tables.changed = True
                self.record.update(self.healths, self.returns)
        if one.complete and health.state is ZoneState.HEALTHY:
            del self.returns[one.zone]
            self.return_log.lost(one.zone)
            self.record.update(self.healths, self.returns)
            log.info("zone %s: its return is complete", one.zone)
            self._log_summary(now)

    def _machines_in(self, zone: str) -> list[Machine]:
        return [machine for machine in self.tables.usable(self._now) if machine.zone == zone]

    def _log_summary(self, now: float) -> None:
        self._summary_at = now
        for line in self.return_log.summary():
            log.info("zones: %s", line)

    # -- answers to the scheduler --------------------------------------------------------------------------------

    def _troubled(self) -> list[ZoneHealth]:
        """Zones that are to be evacuated, as long as room may be kept for that."""
        return [one for one in self.healths.values() if one.troubled and self._now - one.since < HOLD_MOST_S]

    def begin_pass(self, usable: Iterable[Machine], now: float) -> None:
        """Count what is still to be moved, and the room for it."""
        self._now = now
        troubled = {health.zone for health in self._troubled()}
        if not troubled:
            self._reservation = Reservation((), ())
            return
        elsewhere = [machine for machine in usable if machine.zone not in troubled]
        self._reservation = Reservation(self._displaced(troubled, now), elsewhere)

    def _displaced(self, troubled: set[str], now: float) -> Iterable[Job]:
        """The job of each production task that is bound to a silent machine there, or waits for a place."""
        for machine in self.tables.machines.values():
            if machine.zone in troubled and self._silent(machine, now):
                yield from (claim.job for claim in machine.claims.values() if _is_production(claim.job))
        for job in self.tables.jobs.values():
            if job.final is None and _is_production(job):
                yield from [job] * min(job.queued, self.tables.teams.room(job.spec))

    def _silent(self, machine: Machine, now: float) -> bool:
        return machine.silent_for(now, self.tables.term_from) > SILENT * self.tables.report_s

    def order_tiers(self, tiers: list[Tier]) -> list[Tier]:
        """While a zone is evacuated services go first, then priority; within it guarantee and due time as ever."""
        return sorted(tiers, key=lambda tier: tier.rank) if self._troubled() else tiers

    def asks_last(self, machine: Machine) -> bool:
        """A machine of a zone that is not healthy gets a task only where no other has room."""
        health = self.healths.get(machine.zone)
        return health is not None and health.state is not ZoneState.HEALTHY and machine.zone in self._wanted

    def admits(self, machine: Machine, job: Job) -> bool:
        """Whether a task may start there now: the zone's return allows it, and it takes no last place of a service."""
        health = self.healths.get(machine.zone)
        one = self.returns.get(machine.zone)
        if health is not None and (one is not None or health.troubled) and self._holds(health):
            if health.troubled and not _is_production(job):
                return False  # in a suspected zone too: its machines may just have come back from a lease that ended
            if one is not None and not (one.opens(job.order[0]) and may_fetch(machine, job)):
                return False
        return _is_production(job) or self._reservation.allows(machine, job.spec)

    def _holds(self, health: ZoneHealth) -> bool:
        """Whether anything is held there: not for long, and not where no production job could be in the way of."""
        return health.holding(self._now) and (health.held_from is None or health.zone in self._wanted)

    def rents_in(self, zone: str, spec: JobSpec, now: float) -> bool:
        """No machines where they could not be reached, unless the job may use no other zone.

        For a bounded time: a zone without machines can show in no other way that it is back.
        """
        health = self.healths.get(zone)
        if health is None or not health.troubled or spec.zone == zone or self._controllers.get(zone):
            return True
        return now - health.since > HOLD_MOST_S

    # -- what happened -------------------------------------------------------------------------------------------

    def claimed(self, claim: Claim, machine: Machine) -> None:
        """A claim was made in the present pass."""
        self._reservation.claimed(claim, machine)

    def ended(self, claim: Claim, machine: Machine, done: bool, now: float) -> None:
        """A claim no longer binds; noted if that is because its zone was lost."""
        health = self.healths.get(machine.zone)
        if done or claim.job.final is not None:
            self.return_log.forget(claim)
        elif health is not None and health.troubled and self._silent(machine, now):
            self.return_log.displaced(claim, machine.zone, now)

    def runs(self, claim: Claim, machine: Machine, now: float) -> None:
        """A task was seen to run for the first time."""
        order = self.options.order_for(machine.zone)
        self.return_log.runs(claim, machine, order.name(order.wave_of(claim.job.order[0])), now)

    def restarted(self, machine: Machine) -> None:
        """A machine came back with a new session; if its zone is suspected, it was lost with it."""
        health = self.healths.get(machine.zone)
        if health is not None:
            health.lost_since += 1

    def forgotten(self, machine: Machine, lost: bool, now: float) -> None:
        """A machine is gone for good; one that was silent and had work went with its zone."""
        health = self.healths.get(machine.zone)
        if lost and health is not None:
            health.lost_since += 1


def _is_production(job: Job) -> bool:
    return job.order[0] == PRODUCTION_RANK
