"""Clearing room: which running work gives way, for whom, and that the room goes to whom it was cleared for.

Two cases allow it: room for a production replica may stop lower ranks; and a team that is owed its guarantee may
have back what other teams run beyond theirs. Production replicas themselves are never stopped for room.
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

HOLD = 1.0  # of report_s: how long cleared room is kept for the task it was cleared for
RECLAIM = 1 / 6  # of report_s: how often borrowed room is taken back
FETCH = 2.0  # a second of a replica's fetch is worth so many seconds of work of lower rank


class Clearance(NamedTuple):
    """Room that could be cleared on a machine, and what that would lose."""

    lost_cpu_s: float
    host: str
    claims: list[Claim]


class Preemption:
    """Stops work on the leader's tables, and remembers for whom."""

    def __init__(self, tables: LeaderTables) -> None:
        self.tables = tables
        self._hopeless: set[Shape] = set()  # replicas of this shape find nothing to clear in this pass
        self._reclaimed_at = -math.inf

    def begin(self, now: float) -> None:
        """A pass begins."""
        self._hopeless.clear()
        # What teams owe each other is gone through once a round of ticks, not with every report.
        self._reclaims = now - self._reclaimed_at >= RECLAIM * self.tables.report_s
        if self._reclaims:
            self._reclaimed_at = now

    def may_go_to(self, job: Job, machine: Machine, now: float) -> bool:
        """A task for which room is being cleared waits for that room (or for a machine with its image)."""
        if not job.held:
            return True
        held = [host for host, until in job.held.items() if until > now]
        return len(held) < job.queued or machine.host in held

    def for_replicas(self, job: Job, machines: Iterable[Machine], now: float) -> None:
        """Clear room for a production replica that no machine has room and the image for.

        Where a fetch would cost more than the work that is lost, a machine with the image is cleared even though
        another has room.
        """
        if not job.queued or job.shape in self._hopeless:
            return
        rank = job.order[0]
        could = [machine for machine in machines if machine.could_clear(job.spec) and machine.allows(job.spec)]
        if could:
            self._clear(job, could, lambda claim: claim.job.order[0] > rank, FETCH, job.queued, now)
        else:
            self._hopeless.add(job.shape)

    def within_limit(self, job: Job, now: float) -> None:
        """Have a team's lower ranks give way to its own production replica that the team's limit would keep out."""
        teams, spec = self.tables.teams, job.spec
        over = teams.over_limit(spec)
        own = [
            claim
            for machine in self.tables.machines.values()
            for claim in machine.claims.values()
            if claim.job.spec.team == spec.team and claim.job.order[0] > job.order[0]
        ]
        over -= sum(claim.job.spec.cpus for claim in own if claim.stopping is not None)
        running = [claim for claim in own if claim.stopping is None]
        for claim in sorted(running, key=lambda one: (-one.job.order[0], now - (one.running_at or now))):
            if over <= 0:
                break
            over -= claim.job.spec.cpus
            log.info("job %s: task %s gives way within the team's limit", job.uid, task_name(claim.task))
            self.tables.stop(claim, "preempted", now)

    def for_guarantee(self, job: Job, machines: list[Machine], now: float) -> None:
        """Take back for a team within its guarantee what others borrowed; they keep all of their own guarantee."""
        if not self._reclaims:
            return
        teams = self.tables.teams
        spare = teams.borrowed()
        for claim in (claim for machine in machines for claim in machine.claims.values()):
            if claim.stopping is not None and claim.job.spec.team in spare:
                spare[claim.job.spec.team] -= claim.job.spec.cpus

        def borrowed(claim: Claim) -> bool:
            spec = claim.job.spec
            return spec.team != job.spec.team and not spec.service and spare.get(spec.team, 0.0) >= spec.cpus

        for claim in self._clear(job, machines, borrowed, 1.0, min(job.queued, teams.owed(job.spec)), now, once=True):
            spare[claim.job.spec.team] -= claim.job.spec.cpus

    def _loss(self, claim: Claim, now: float) -> float:
        """The seconds that are lost if it has to begin anew; a run more where its job would then miss an aim."""
        ran = now - (claim.running_at or now)
        estimates = self.tables.estimates
        return ran + (estimates.run_s(claim.job) if estimates.harmed(claim.job, ran, now) else 0.0)

    def _clear(
        self,
        job: Job,
        machines: list[Machine],
        gives_way: Callable[[Claim], bool],
        fetch: float,
        most: int,
        now: float,
        once: bool = False,
    ) -> list[Claim]:
        """Clear room for up to so many tasks of a job, where the least is lost; the claims that were stopped."""
        tables, stopped = self.tables, list[Claim]()
        while most > sum(1 for until in job.held.values() if until > now) and tables.teams.room(job.spec):
            clearances = (self._clearance(job, machine, gives_way, fetch, now) for machine in machines)
            best = min((one for one in clearances if one is not None), key=lambda one: one[:2], default=None)
            if best is None or not best.claims:
                break
            self._hold(job, tables.machines[best.host], now)
            log.info("job %s: %d tasks on %s give way", job.uid, len(best.claims), best.host)
            for claim in best.claims:
                tables.stop(claim, "preempted", now)
            stopped += best.claims
            if once:
                break
        return stopped

    def _clearance(
        self, job: Job, machine: Machine, gives_way: Callable[[Claim], bool], fetch: float, now: float
    ) -> Clearance | None:
        """What would have to stop on a machine so that one task of the job fits; None if that can't make room."""
        if now < machine.hold_until or not placeable(job, machine) or not self.tables.zones.admits(machine, job):
            return None
        lower = {
            claim: self._loss(claim, now)
            for claim in machine.claims.values()
            if claim.stopping is None and gives_way(claim)
        }
        chosen = victims(machine, job.spec, lower)
        if chosen is None:
            return None
        lost = sum(lower[claim] * claim.job.spec.cpus for claim in chosen)
        if not locality(job, machine):
            lost += fetch * machine.kind.fetch_s(job.spec.image_gb) * job.spec.cpus
        return Clearance(lost, machine.host, chosen)

    def _hold(self, job: Job, machine: Machine, now: float) -> None:
        """Keep the cleared room for the job for a while."""
        job.held[machine.host] = machine.hold_until = now + HOLD * self.tables.report_s
        machine.hold_rank = job.order[0]
