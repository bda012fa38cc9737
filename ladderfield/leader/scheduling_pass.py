"""One scheduling pass: deals tasks to the machines' queues, then lets free machines pull and claim tasks.

Jobs are served in the order of team guarantee, rank and rating.
"""

from __future__ import annotations

import logging
import math

from ladderfield.jobs.model import JobSpec
from ladderfield.leader.preemption import Preemption
from ladderfield.leader.tables import SILENCE_REPORT_INTERVALS, LeaderTables
from ladderfield.queues.pick import Tier, tiers
from ladderfield.queues.work import CapacityShare, Job, Shape, task_name
from ladderfield.workers.machine import Machine

log = logging.getLogger(__name__)

OVERDUE_REPORT_INTERVALS = 1.5  # then a report is missing: no replica is placed there and nothing preempted for one
RECLAIM_AFTER_REPORT_INTERVALS = 6.0  # wait of a task within its team's guarantee before borrowed capacity is reclaimed
OLD_JOBS_CPU_SHARE = 0.25  # of all cpus, reserved for jobs that have waited long


class SchedulingPass:
    """Claims tasks for machines with free capacity."""

    def __init__(self, tables: LeaderTables, preemption: Preemption) -> None:
        self.tables, self.preemption = tables, preemption
        self.first_task_share, self.oldest_share = CapacityShare(), CapacityShare()  # reserved for old jobs

    def run(self, now: float) -> int:
        """Run one pass and return the number of claims made."""
        tables = self.tables
        machines = tables.usable(now)
        self._deal(machines)
        for job in tables.jobs.values():
            if job.order[0] == 0 and job.queued and job.final_phase is None and not tables.teams.room(job.spec):
                self.preemption.preempt_within_team_limit(job, now)
        ready = tiers(tables.jobs.values(), tables.teams, lambda job: tables.estimates.rating(job, now), now)
        if not ready:
            return 0
        ready = self._reserve_for_old_jobs(tables.zones.order_tiers(ready), machines, now)
        tables.queues.begin(machines)
        self.preemption.begin(now)
        tables.zones.begin_pass(machines, now)
        free = [machine for machine in machines if machine.cpus > 0]
        # Spot machines pull first, then machines that a replica keeps in use anyway, then cheap and full ones, so that
        # expensive and nearly idle machines drain and can be returned.
        free.sort(key=self._pull_order)
        on_time = self._reporting_on_time(machines, now)
        made = sum(self._schedule_tier(tier, free, machines, on_time, now) for tier in ready)
        tables.queues.end()
        return made

    def _pull_order(self, machine: Machine) -> tuple[bool, bool, bool, float, float, str]:
        """Sort key: the machines that pull tasks first."""
        free_share = machine.cpus / machine.kind.cpus
        on_probation = self.tables.zones.is_last_resort(machine)
        return on_probation, not machine.spot, not machine.runs_replica, machine.kind.price, free_share, machine.host

    def _reporting_on_time(self, machines: list[Machine], now: float) -> set[Machine]:
        """Machines whose last report is not overdue, so that replicas may be placed there."""
        # After a takeover all reports are late, as workers first have to find the new leader.
        report_s, term_s = self.tables.report_s, now - self.tables.term_from
        max_age_s = OVERDUE_REPORT_INTERVALS * report_s if term_s > SILENCE_REPORT_INTERVALS * report_s else math.inf
        return {
            machine
            for machine in machines
            if machine.epoch_confirmed_at is not None and now - machine.epoch_confirmed_at <= max_age_s
        }

    def _schedule_tier(
        self, tier: Tier, free: list[Machine], machines: list[Machine], on_time: set[Machine], now: float
    ) -> int:
        """Let free machines, those with the image first, pull the tasks of one tier; returns the number of claims."""
        made = 0
        machines_with_room = tier.machines_with_room(machine for machine in free if tier.rank > 0 or machine in on_time)
        for score in (1, 0):
            if score == 0 and tier.rank == 0:
                for job in tier.jobs:
                    self.preemption.clear_for_replicas(job, on_time, now)
                # A replica whose image must be fetched starts soonest on the machine with the fastest fetch.
                machines_with_room.sort(
                    key=lambda machine: (self.tables.zones.is_last_resort(machine), -machine.kind.fetch_gb_per_s)
                )
            for machine in machines_with_room:
                if now >= machine.reserved_until or tier.rank <= machine.reserved_rank:
                    made += self._fill(machine, tier, score, now)
        if tier.by_guarantee:
            for job in sorted(tier.jobs, key=lambda job: job.uid):
                if job.queued and now - job.ready_since > RECLAIM_AFTER_REPORT_INTERVALS * self.tables.report_s:
                    self.preemption.reclaim_guarantee(job, machines, now)
        return made

    def _reserve_for_old_jobs(self, ready: list[Tier], machines: list[Machine], now: float) -> list[Tier]:
        """Insert tiers that reserve a share of the cpus for old jobs, after the production replicas.

        Without them the least-work order would starve large jobs while small ones keep coming, and rank order would
        starve low ranks. Half of the share goes to first tasks of jobs that have not started, half to the oldest jobs
        whatever their rank.
        """
        by_ready_step: dict[int, set[Job]] = {}
        for job in (job for tier in ready for job in tier.jobs):
            if self.tables.estimates.has_waited_long(job, now):
                by_ready_step.setdefault(self.tables.estimates.ready_step(job), set()).add(job)
        if not by_ready_step:
            return ready
        self.first_task_share.limit_cpus = self.oldest_share.limit_cpus = (
            OLD_JOBS_CPU_SHARE / 2 * sum(machine.kind.cpus for machine in machines)
        )
        unstarted = {job for jobs in by_ready_step.values() for job in jobs if not job.has_started}
        old = [Tier(False, unstarted, self.first_task_share, first_task_only=True)] if unstarted else []
        old += [Tier(False, by_ready_step[step], self.oldest_share) for step in sorted(by_ready_step)]
        first = next((n for n, tier in enumerate(ready) if tier.rank > 0), len(ready))
        return [*ready[:first], *old, *ready[first:]]

    def _deal(self, machines: list[Machine]) -> None:
        """Open blocks of jobs as there is use for them, and deal their tasks to the machines that may run them."""
        allowed_machines: dict[Shape, list[Machine]] = {}
        for job in self.tables.jobs.values():
            if job.final_phase is None and not job.pending_dependencies:
                while job.next_block < job.blocks and job.queued + len(job.unqueued) < job.block:
                    job.open_next()
                if job.unqueued:
                    if job.shape not in allowed_machines:
                        allowed_machines[job.shape] = [machine for machine in machines if machine.allows(job.spec)]
                    self.tables.queues.distribute(job, allowed_machines[job.shape])

    def _fill(self, machine: Machine, tier: Tier, score: int, now: float) -> int:
        """Let a machine pull tasks with at least this locality score until none fits; returns the number of claims."""

        def allowed(spec: JobSpec) -> bool:
            # Checked for every claim, as jobs of one team in one tier share what remains of its limit.
            if tier.share is not None and not tier.share.allows(spec.cpus):
                return False
            return self.tables.teams.room(spec) > 0 and (not tier.by_guarantee or self.tables.teams.guaranteed(spec))

        def may_start(job: Job) -> bool:
            if job.failed_hosts.get(machine.host, now) > now or not self.tables.zones.admits(machine, job):
                return False
            return score == 1 or self.preemption.may_place(job, machine, now)

        made = 0
        while (jobs := tier.eligible(machine, score, allowed, may_start)) and (
            pulled := self.tables.queues.pull(machine, jobs)
        ):
            job, index, owner = pulled
            if index in job.claims or index in job.finished or job.pending_dependencies:
                # Invariant: a task that is claimed or done, or whose job waits for others, is never claimed, even if it
                # is queued by mistake.
                log.error(
                    "task %s: dropped from the queue, as it is claimed, done or not ready", task_name((job.uid, index))
                )
                continue
            claim = self.tables.claim(job, index, machine, owner, now)
            if tier.share is not None:
                claim.share = tier.share
                tier.share.used_cpus += job.spec.cpus
            made += 1
        return made
