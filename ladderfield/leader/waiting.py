"""Jobs that wait for other jobs: keeps their readiness, cancellation and urgency in the leader's tables up to date.

``DependencyGraph`` derives all three from the records.
"""

from __future__ import annotations

import logging

from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import CANCELLED
from ladderfield.leader.tables import LeaderTables
from ladderfield.queues.work import Job

log = logging.getLogger(__name__)


class WaitingJobs:
    """Applies the dependency graph to the jobs in the leader's tables."""

    def __init__(self, tables: LeaderTables, dependencies: DependencyGraph) -> None:
        self.tables, self.dependencies = tables, dependencies

    def add_job(self, job: Job) -> None:
        """Set what an accepted job waits for, and update the urgency of the jobs that it needs."""
        needs = job.spec.needs or ()
        job.pending_dependencies = self.dependencies.unmet(needs)
        if needs:
            job.ready_since = max(job.accepted_at, self.dependencies.ready_at(needs) - self.tables.wall_offset)
        if self.dependencies.cancelled(job.uid):
            self.tables.cancelled_dependents[job] = None
        self._update_urgency(job.uid)

    def job_ended(self, uid: str, phase: str, now: float) -> None:
        """Handle a job's recorded end: dependents become ready if it was the last job they needed, or are cancelled."""
        if phase == CANCELLED:
            for dependent in self.dependencies.all_dependents(uid):
                job = self.tables.jobs.get(dependent)
                if job is not None and job.final_phase is None:
                    self.tables.cancelled_dependents[job] = None
            self._update_urgency(uid)
            return
        for dependent in self.dependencies.dependents(uid):
            job = self.tables.jobs.get(dependent)
            if job is not None and job.final_phase is None and uid in job.pending_dependencies:
                job.pending_dependencies.discard(uid)
                if not job.pending_dependencies:
                    log.info("job %s: ready, all jobs it waits for are done", job.uid)
                    job.ready_since, self.tables.changed = now, True

    def _update_urgency(self, uid: str) -> None:
        """Give a job and the jobs it needs the urgency of the jobs that wait for them."""
        for needed in (uid, *self.dependencies.all_dependencies(uid)):
            job = self.tables.jobs.get(needed)
            if job is not None and needed in self.dependencies:
                rank, job.due = self.dependencies.urgency(needed)
                job.order = (rank,)
