"""One pass of scheduling: deal, then let free machines pull in the order of guarantee, rank and rating."""

from __future__ import annotations

import logging
import math

from ladderfield.jobs.model import JobSpec
from ladderfield.leader.preemption import Preemption
from ladderfield.leader.tables import SILENT, LeaderTables
from ladderfield.queues.pick import Tier, tiers
from ladderfield.queues.work import Job, Shape, Share, task_name
from ladderfield.workers.machine import Machine

log = logging.getLogger(__name__)

OVERDUE = 1.5  # of report_s: a report is missing, so no replica is put there and no room cleared for one
OWED = 6.0  # of report_s: how long a task within its team's guarantee waits before borrowed room is taken back
OLD_SHARE = 0.25  # of all cpus: what goes by age to jobs that have waited for long


class SchedulingPass:
    """Makes claims on the leader's tables."""

    def __init__(self, tables: LeaderTables, preemption: Preemption) -> None:
        self.tables, self.preemption = tables, preemption
        self.first_task_share, self.oldest_share = Share(), Share()  # room for jobs that have waited for long

    def run(self, now: float) -> int:
        """Deal and let free machines pull; the number of claims made."""
        tables = self.tables
        machines = tables.usable(now)
        self._deal(machines)
        for job in tables.jobs.values():
            if job.order[0] == 0 and job.queued and job.final is None and not tables.teams.room(job.spec):
                self.preemption.within_limit(job, now)
        ready = tiers(tables.jobs.values(), tables.teams, lambda job: tables.estimates.rating(job, now), now)
        if not ready:
            return 0
        ready = self._old_first(tables.zones.order_tiers(ready), machines, now)
        tables.queues.begin(machines)
        self.preemption.begin(now)
        tables.zones.begin_pass(machines, now)
        free = [machine for machine in machines if machine.cpus > 0]
        # Spot machines ask first, then those that a replica keeps up anyway, then small and full ones, so that the
        # dear and the empty run dry and can be returned.
        free.sort(key=self._turn)
        prompt = self._prompt(machines, now)
        made = sum(self._schedule_tier(tier, free, machines, prompt, now) for tier in ready)
        tables.queues.rest()
        return made

    def _turn(self, machine: Machine) -> tuple[bool, bool, bool, float, float, str]:
        """Which machine asks first."""
        used = machine.cpus / machine.kind.cpus
        on_trial = self.tables.zones.is_last_resort(machine)
        return on_trial, not machine.spot, not machine.keeps_up, machine.kind.price, used, machine.host

    def _prompt(self, machines: list[Machine], now: float) -> set[Machine]:
        """Machines that miss no report, so that replicas may be put there."""
        # After a takeover everybody is late, as workers first have to find the new leader.
        report_s, term_s = self.tables.report_s, now - self.tables.term_from
        late = OVERDUE * report_s if term_s > SILENT * report_s else math.inf
        return {one for one in machines if one.fresh_at is not None and now - one.fresh_at <= late}

    def _schedule_tier(
        self, tier: Tier, free: list[Machine], machines: list[Machine], prompt: set[Machine], now: float
    ) -> int:
        """Let free machines pull the tasks of one tier, those with the image first; the number of claims made."""
        made = 0
        asking = tier.candidates(one for one in free if tier.rank > 0 or one in prompt)
        for score in (1, 0):
            if score == 0 and tier.rank == 0:
                for job in tier.jobs:
                    self.preemption.for_replicas(job, prompt, now)
                # A replica whose image has to be fetched starts soonest where that goes quickest.
                asking.sort(key=lambda one: (self.tables.zones.is_last_resort(one), -one.kind.fetch_gb_per_s))
            for machine in asking:
                if now >= machine.hold_until or tier.rank <= machine.hold_rank:
                    made += self._fill(machine, tier, score, now)
        if tier.owed:
            for job in sorted(tier.jobs, key=lambda one: one.uid):
                if job.queued and now - job.since > OWED * self.tables.report_s:
                    self.preemption.for_guarantee(job, machines, now)
        return made

    def _old_first(self, ready: list[Tier], machines: list[Machine], now: float) -> list[Tier]:
        """Put a part of the room aside for jobs that have waited for long, after production replicas.

        Least work first would let large jobs wait for ever while small ones keep coming, and rank the low ranks. Half
        of that part goes to first tasks of jobs of which nothing has begun, half by age, whatever the rank.
        """
        by_age: dict[int, set[Job]] = {}
        for job in (job for tier in ready for job in tier.jobs):
            if self.tables.estimates.old(job, now):
                by_age.setdefault(self.tables.estimates.age(job), set()).add(job)
        if not by_age:
            return ready
        self.first_task_share.limit = self.oldest_share.limit = (
            OLD_SHARE / 2 * sum(machine.kind.cpus for machine in machines)
        )
        unbegun = {job for jobs in by_age.values() for job in jobs if not job.begun}
        old = [Tier(False, unbegun, self.first_task_share, first_only=True)] if unbegun else []
        old += [Tier(False, by_age[age], self.oldest_share) for age in sorted(by_age)]
        first = next((n for n, tier in enumerate(ready) if tier.rank > 0), len(ready))
        return [*ready[:first], *old, *ready[first:]]

    def _deal(self, machines: list[Machine]) -> None:
        fit: dict[Shape, list[Machine]] = {}
        for job in self.tables.jobs.values():
            if job.final is None and not job.waits:
                while job.next_block < job.blocks and job.queued + len(job.undealt) < job.block:
                    job.open_next()
                if job.undealt:
                    if job.shape not in fit:
                        fit[job.shape] = [machine for machine in machines if machine.allows(job.spec)]
                    self.tables.queues.deal(job, fit[job.shape])

    def _fill(self, machine: Machine, tier: Tier, score: int, now: float) -> int:
        def allowed(spec: JobSpec) -> bool:
            # The limit is asked anew for every claim: jobs of one team in one tier share what is left of it.
            if tier.share is not None and not tier.share.allows(spec.cpus):
                return False
            return self.tables.teams.room(spec) > 0 and (not tier.owed or self.tables.teams.guaranteed(spec))

        def may_go(job: Job) -> bool:
            if job.failed_hosts.get(machine.host, now) > now or not self.tables.zones.admits(machine, job):
                return False
            return score == 1 or self.preemption.may_go_to(job, machine, now)

        made = 0
        while (jobs := tier.eligible(machine, score, allowed, may_go)) and (
            pulled := self.tables.queues.pull(machine, jobs)
        ):
            job, index, owner = pulled
            if index in job.claims or index in job.finished or job.waits:
                # Whatever the queues say: a task whose claim binds, that is done, or whose job waits is never claimed.
                log.error("task %s: was queued though it needs no start", task_name((job.uid, index)))
                continue
            claim = self.tables.claim(job, index, machine, owner, now)
            if tier.share is not None:
                claim.share = tier.share
                tier.share.held += job.spec.cpus
            made += 1
        return made
