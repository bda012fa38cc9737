"""Clearing room: which running work gives way, for whom, and that the room goes to whom it was cleared for.

Two cases allow it: room for a production replica may stop lower ranks; and a team that is owed its guarantee may
have back what other teams run beyond theirs. Production replicas themselves are never stopped for room.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ladderfield.queues.pick import locality, placeable, victims
from ladderfield.queues.work import Claim, Job, Shape, task_name
from ladderfield.workers.machine import Machine

if TYPE_CHECKING:
    from ladderfield.leader.scheduler import Scheduler

log = logging.getLogger(__name__)

HOLD = 1.0  # of report_s: how long cleared room is kept for the task it was cleared for
RECLAIM = 1 / 6  # of report_s: how often borrowed room is taken back
FETCH = 2.0  # a second of a replica's fetch is worth so many seconds of work of lower rank


class Preemption:
    """Stops work on the scheduler's tables, and remembers for whom."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self._hopeless: set[Shape] = set()  # replicas of this shape find nothing to clear in this pass
        self._reclaimed_at = -math.inf

    def begin(self, now: float) -> None:
        """A pass begins."""
        self._hopeless.clear()
        # What teams owe each other is gone through once a round of ticks, not with every report.
        self._reclaims = now - self._reclaimed_at >= RECLAIM * self.scheduler.report_s
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
        teams, spec = self.scheduler.teams, job.spec
        over = teams.over_limit(spec)
        own = [
            claim
            for machine in self.scheduler.machines.values()
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
            self.scheduler.stop(claim, "preempted", now)

    def for_guarantee(self, job: Job, machines: list[Machine], now: float) -> None:
        """Take back for a team within its guarantee what others borrowed; they keep all of their own guarantee."""
        if not self._reclaims:
            return
        teams = self.scheduler.teams
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
        estimates = self.scheduler.estimates
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
        scheduler, stopped = self.scheduler, list[Claim]()
        while most > sum(1 for until in job.held.values() if until > now) and scheduler.teams.room(job.spec):
            best: tuple[float, str, list[Claim]] | None = None
            for machine in machines:
                if now < machine.hold_until or not placeable(job, machine):
                    continue
                lower = {
                    claim: self._loss(claim, now)
                    for claim in machine.claims.values()
                    if claim.stopping is None and gives_way(claim)
                }
                chosen = victims(machine, job.spec, lower)
                if chosen is None:
                    continue
                lost = sum(lower[claim] * claim.job.spec.cpus for claim in chosen)
                if not locality(job, machine):
                    lost += fetch * machine.kind.fetch_s(job.spec.image_gb) * job.spec.cpus
                if best is None or (lost, machine.host) < best[:2]:
                    best = (lost, machine.host, chosen)
            if best is None or not best[2]:
                break
            machine = scheduler.machines[best[1]]
            job.held[machine.host] = machine.hold_until = now + HOLD * scheduler.report_s
            machine.hold_rank = job.order[0]
            log.info("job %s: %d tasks on %s give way", job.uid, len(best[2]), machine.host)
            for claim in best[2]:
                scheduler.stop(claim, "preempted", now)
            stopped += best[2]
            if once:
                break
        return stopped
