"""Waiting jobs on the leader's tables: when one is ready, when it is cancelled with another, how urgent each is.

What is so follows from the records and is asked of ``DependencyGraph``; here the tables are kept in step with it.
"""

from __future__ import annotations

import logging

from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import CANCELLED
from ladderfield.leader.tables import LeaderTables
from ladderfield.queues.work import Job

log = logging.getLogger(__name__)


class Waiting:
    """Ties accepted jobs to each other, and lets them go."""

    def __init__(self, tables: LeaderTables, dependencies: DependencyGraph) -> None:
        self.tables, self.dependencies = tables, dependencies

    def tie(self, job: Job) -> None:
        """What an accepted job waits for, and how urgent that makes the jobs before it."""
        needs = job.spec.needs or ()
        job.waits = self.dependencies.unmet(needs)
        if needs:
            job.since = max(job.at, self.dependencies.ready_at(needs) - self.tables.wall_offset)
        if self.dependencies.cancelled(job.uid):
            self.tables.orphaned[job] = None
        self._hurry(job.uid)

    def ended(self, uid: str, phase: str, now: float) -> None:
        """A job's end is on record: jobs that wait for it are ready if it was the last, or cancelled with it."""
        if phase == CANCELLED:
            for later in self.dependencies.all_after(uid):
                job = self.tables.jobs.get(later)
                if job is not None and job.final is None:
                    self.tables.orphaned[job] = None
            self._hurry(uid)
            return
        for later in self.dependencies.after(uid):
            job = self.tables.jobs.get(later)
            if job is not None and job.final is None and uid in job.waits:
                job.waits.discard(uid)
                if not job.waits:
                    log.info("job %s: ready, all that it waits for is done", job.uid)
                    job.since, self.tables.changed = now, True

    def _hurry(self, uid: str) -> None:
        """Jobs are as urgent as what waits for them."""
        for one in (uid, *self.dependencies.all_before(uid)):
            job = self.tables.jobs.get(one)
            if job is not None and one in self.dependencies:
                rank, job.due = self.dependencies.urgency(one)
                job.order = (rank,)
