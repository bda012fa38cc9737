"""Preemption: stops running tasks to free capacity, and reserves that capacity for the job it was freed for.

Preemption is allowed in two cases: a production replica may preempt tasks of lower rank, and a team below its guarantee
may reclaim what other teams run beyond theirs. Production replicas themselves are never preempted.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ladderfield.leader.tables import LeaderTables
from ladderfield.queues.pick import locality, placeable, victims
from ladderfield.queues.work import Claim, Job, Shape, task_name
from ladderfield.workers.machine import Machine

log = logging.getLogger(__name__)

CLEARED_ROOM_REPORT_INTERVALS = 1.0  # how long freed capacity stays reserved for its job
RECLAIM_PERIOD_REPORT_INTERVALS = 1 / 6  # how often borrowed capacity is reclaimed
FETCH_COST_FACTOR = 2.0  # seconds of lower-rank work that one second of a replica's image fetch is worth


class Clearance(NamedTuple):
    """The claims to stop on a machine so that a task fits, and the work that would be lost."""

    lost_cpu_s: float
    host: str
    claims: list[Claim]


class Preemption:
    """Chooses and stops the tasks to preempt."""

    def __init__(self, tables: LeaderTables) -> None:
        self.tables = tables
        self._unclearable: set[Shape] = set()  # shapes for which this pass found no machine to clear
        self._reclaimed_at = -math.inf

    def begin(self, now: float) -> None:
        """Start a scheduling pass."""
        self._unclearable.clear()
        # Reclaiming looks at every claim, so it runs once per tick interval and not with every report.
        self._reclaim_due = now - self._reclaimed_at >= RECLAIM_PERIOD_REPORT_INTERVALS * self.tables.report_s
        if self._reclaim_due:
            self._reclaimed_at = now

    def may_place(self, job: Job, machine: Machine, now: float) -> bool:
        """Whether a task of the job may start on a machine that does not have the job's image.

        Tasks for which capacity is being freed elsewhere wait for it.
        """
        if not job.reserved_hosts:
            return True
        reserved_hosts = [host for host, until in job.reserved_hosts.items() if until > now]
        return len(reserved_hosts) < job.queued or machine.host in reserved_hosts

    def clear_for_replicas(self, job: Job, machines: Iterable[Machine], now: float) -> None:
        """Preempt lower ranks for production replicas that fit no machine that has their image.

        A machine with the image may be cleared even though another has free capacity, if fetching the image there
        would cost more than the work that is lost.
        """
        if not job.queued or job.shape in self._unclearable:
            return
        rank = job.order[0]
        candidates = [
            machine for machine in machines if machine.may_fit_after_preemption(job.spec) and machine.allows(job.spec)
        ]
        if candidates:
            self._clear(job, candidates, lambda claim: claim.job.order[0] > rank, FETCH_COST_FACTOR, job.queued, now)
        else:
            self._unclearable.add(job.shape)

    def preempt_within_team_limit(self, job: Job, now: float) -> None:
        """Preempt a team's lower ranks for its own production replica that the team's limit would block."""
        teams, spec = self.tables.teams, job.spec
        excess_cpus = teams.cpus_over_limit(spec)
        own = [
            claim
            for machine in self.tables.machines.values()
            for claim in machine.claims.values()
            if claim.job.spec.team == spec.team and claim.job.order[0] > job.order[0]
        ]
        excess_cpus -= sum(claim.job.spec.cpus for claim in own if claim.stop_reason is not None)
        running = [claim for claim in own if claim.stop_reason is None]
        for claim in sorted(running, key=lambda claim: (-claim.job.order[0], now - (claim.running_at or now))):
            if excess_cpus <= 0:
                break
            excess_cpus -= claim.job.spec.cpus
            log.info("job %s: preempted task %s within the team's limit", job.uid, task_name(claim.task))
            self.tables.stop(claim, "preempted", now)

    def reclaim_guarantee(self, job: Job, machines: list[Machine], now: float) -> None:
        """Preempt tasks that other teams run beyond their guarantee, for a job within its own team's guarantee."""
        if not self._reclaim_due:
            return
        teams = self.tables.teams
        borrowed_cpus = teams.borrowed()
        for claim in (claim for machine in machines for claim in machine.claims.values()):
            if claim.stop_reason is not None and claim.job.spec.team in borrowed_cpus:
                borrowed_cpus[claim.job.spec.team] -= claim.job.spec.cpus

        def reclaimable(claim: Claim) -> bool:
            spec = claim.job.spec
            return spec.team != job.spec.team and not spec.service and borrowed_cpus.get(spec.team, 0.0) >= spec.cpus

        for claim in self._clear(
            job, machines, reclaimable, 1.0, min(job.queued, teams.tasks_within_guarantee(job.spec)), now, once=True
        ):
            borrowed_cpus[claim.job.spec.team] -= claim.job.spec.cpus

    def _loss(self, claim: Claim, now: float) -> float:
        """Seconds of work lost if the task restarts; one more run time if its job would then miss a deadline."""
        ran = now - (claim.running_at or now)
        estimates = self.tables.estimates
        return ran + (estimates.run_s(claim.job) if estimates.restart_misses_deadline(claim.job, ran, now) else 0.0)

    def _clear(
        self,
        job: Job,
        machines: list[Machine],
        preemptible: Callable[[Claim], bool],
        fetch_cost_factor: float,
        max_tasks: int,
        now: float,
        once: bool = False,
    ) -> list[Claim]:
        """Free capacity for up to ``max_tasks`` tasks where the least work is lost; returns the stopped claims."""
        tables, stopped = self.tables, list[Claim]()
        while max_tasks > sum(1 for until in job.reserved_hosts.values() if until > now) and tables.teams.room(
            job.spec
        ):
            clearances = (self._clearance(job, machine, preemptible, fetch_cost_factor, now) for machine in machines)
            best = min((found for found in clearances if found is not None), key=lambda found: found[:2], default=None)
            if best is None or not best.claims:
                break
            self._hold(job, tables.machines[best.host], now)
            log.info("job %s: preempted %d tasks on %s", job.uid, len(best.claims), best.host)
            for claim in best.claims:
                tables.stop(claim, "preempted", now)
            stopped += best.claims
            if once:
                break
        return stopped

    def _clearance(
        self, job: Job, machine: Machine, preemptible: Callable[[Claim], bool], fetch_cost_factor: float, now: float
    ) -> Clearance | None:
        """The claims to stop on a machine so that one task of the job fits; None if no choice of claims does."""
        if now < machine.reserved_until or not placeable(job, machine) or not self.tables.zones.admits(machine, job):
            return None
        losses = {
            claim: self._loss(claim, now)
            for claim in machine.claims.values()
            if claim.stop_reason is None and preemptible(claim)
        }
        chosen = victims(machine, job.spec, losses)
        if chosen is None:
            return None
        lost_cpu_s = sum(losses[claim] * claim.job.spec.cpus for claim in chosen)
        if not locality(job, machine):
            lost_cpu_s += fetch_cost_factor * machine.kind.fetch_s(job.spec.image_gb) * job.spec.cpus
        return Clearance(lost_cpu_s, machine.host, chosen)

    def _hold(self, job: Job, machine: Machine, now: float) -> None:
        """Reserve the freed capacity for the job."""
        job.reserved_hosts[machine.host] = machine.reserved_until = (
            now + CLEARED_ROOM_REPORT_INTERVALS * self.tables.report_s
        )
        machine.reserved_rank = job.order[0]
