"""Applies the records of the state service to the leader's tables: all of them at a takeover, then each change."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Any

from ladderfield.changes import Change
from ladderfield.fleet.catalog import CATALOG_KEY, LEGACY_TYPES_KEY, is_catalog_key, recorded_catalog
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import (
    CANCELLED,
    DONE,
    FINAL_PREFIX,
    JOB_PREFIX,
    PAGE_PREFIX,
)
from ladderfield.leader.pages import HOSTS, Page
from ladderfield.leader.tables import LeaderTables
from ladderfield.leader.waiting import WaitingJobs
from ladderfield.queues.work import Claim, Job, Record, TaskId
from ladderfield.settings import Settings
from ladderfield.workers.machine import UNKNOWN, Machine
from ladderfield.zones.record import ZONES_KEY

log = logging.getLogger(__name__)


class RecordedTables(LeaderTables):
    """The leader's tables, kept up to date with the records in the state service."""

    def __init__(
        self,
        settings: Settings,
        epoch: int,
        now: float,
        wall: float,
        grace_s: float,
        dependencies: DependencyGraph,
        earlier_terms: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(settings, epoch, now, wall, grace_s, earlier_terms)
        self.waiting_jobs = WaitingJobs(self, dependencies)
        self._catalog_records: dict[str, Any] = {}

    def load(self, data: dict[str, tuple[Any, int]], now: float) -> None:
        """Rebuild the tables from all keys of the state service at a takeover."""
        self._catalog_records = {key: value for key, (value, _) in data.items() if is_catalog_key(key)}
        self.types = recorded_catalog(self._catalog_records.get).types
        for key, (value, stamp) in data.items():
            if key.startswith(JOB_PREFIX):
                self._add_jobs(key, value, stamp, now)
        self.jobs = dict(sorted(self.jobs.items(), key=lambda pair: pair[1].accepted_at))
        for key, (value, _) in data.items():
            if key.startswith(FINAL_PREFIX):
                self._on_final_record(key, value, now, loading=True)
        claims: dict[TaskId, Claim] = {}
        for key, (value, stamp) in data.items():
            if key.startswith(PAGE_PREFIX):
                self._load_page(self.pages.load(int(key.removeprefix(PAGE_PREFIX)), stamp), value, claims)
        for claim in claims.values():
            if claim.index not in claim.job.finished:
                self._inherit(claim, now)
        for job in list(self.jobs.values()):
            job.final_visible = job.final_phase is not None
            self.check_job_end(job)
        zones, zones_stamp = data.get(ZONES_KEY) or (None, 0)
        self.zones.load(zones, zones_stamp, now)

    def _load_page(self, page: Page, value: dict[str, Any], claims: dict[TaskId, Claim]) -> None:
        """Apply a page's finished tasks, and collect the latest claim of each task in ``claims``."""
        hosts = value.get(HOSTS, {})
        for uid, entry in value.items():
            if uid == HOSTS:
                continue
            job = self.jobs.get(uid)
            if job is None or job.final_phase == DONE:
                self.pages.mark_dirty(page)
                continue
            for first, last in entry.get("d", ()):
                page.add_done(job, range(first, last + 1))
                job.finished.update(range(first, last + 1))
            for index, (attempt, host) in entry.get("a", {}).items():
                claim = Claim(job, int(index), attempt, host, hosts[host])
                claim.page, claim.recorded, claim.launch.inherited = page.number, True, True
                other = claims.get(claim.task)
                if other is None or other.attempt < attempt:
                    claims[claim.task] = claim
                if other is not None:
                    self.pages.mark_dirty(page if other.attempt >= attempt else self.pages.page_of(other) or page)

    def _inherit(self, claim: Claim, now: float) -> None:
        """Bind a claim that an earlier leader recorded, so that no leader change can start its task twice."""
        page = self.pages.page_of(claim)
        assert page is not None
        page.add_claim(claim)
        claim.job.bind(claim)
        machine = self.machines.get(claim.host)
        if machine is None:
            zone, endpoint, kind, spot = claim.host_record
            known = self.types.get(kind, UNKNOWN)
            machine = self.machines[claim.host] = Machine(claim.host, endpoint, known, zone, spot, now)
            self.push(machine)  # so that it learns of our epoch
        machine.reserve(claim)
        # Counted even if the job is cancelled: its task may still run, and team limits and placement rules must hold
        # across leader changes.
        self.teams.add(claim.job.spec)
        if claim.job.final_phase is not None:
            self.stop(claim, "cancelled", now)

    def _add_jobs(self, key: str, value: Any, stamp: int, now: float) -> None:
        """Add the jobs of a record; a job may already be known from another record or an earlier read of this one."""
        record = Record(key, stamp)
        for uid, accepted in self.waiting_jobs.dependencies.jobs_in_record(key, value).jobs.items():
            job = self.jobs.get(uid)
            if job is None:
                job = self.jobs[uid] = Job(accepted.spec, accepted.at - self.wall_offset, accepted.block)
                self.estimates.job_accepted(job)
                self.waiting_jobs.add_job(job)
                self.changed = True
                if uid in self.reported_cancellations:
                    self._cancel(job, self.reported_cancellations[uid], now)
            if all(known.key != key for known in job.records):
                job.records.append(record)
                record.live_jobs.add(uid)

    def _on_final_record(self, key: str, value: Any, now: float, loading: bool = False) -> None:
        """Apply a job's final record."""
        job = self.jobs.get(key.removeprefix(FINAL_PREFIX))
        self.reported_cancellations.pop(key.removeprefix(FINAL_PREFIX), None)
        if not loading:
            self.waiting_jobs.job_ended(key.removeprefix(FINAL_PREFIX), value["phase"], now)
        if job is None:
            return
        job.final_visible = not loading  # while loading, the job's claims have not been read yet
        if job.final_phase is not None:
            self.check_job_end(job)
            return
        if value["phase"] == CANCELLED:
            self._cancel(job, value.get("at", self.wall_offset + self.term_from) - self.wall_offset, now)
            return
        for claim in list(job.claims.values()):
            self.stop(claim, "cancelled", now)
        self.set_final_state(job, value["phase"])

    def _cancel(self, job: Job, since: float, now: float) -> None:
        """Stop all tasks of a job whose cancellation is on record."""
        self.cancelled_at[job.uid] = since
        log.info("job %s: cancelled, stopping %d tasks", job.uid, len(job.claims))
        for claim in list(job.claims.values()):
            self.stop(claim, "cancelled", now)
        self.set_final_state(job, CANCELLED)

    def cancellation_reported(self, uid: str, since: float, now: float) -> None:
        """Handle another controller's notice that it has recorded the job's cancellation.

        The notice counts like the record. It is kept until the record is seen, as the record of the job itself may not
        have been seen yet either.
        """
        job = self.jobs.get(uid)
        if uid in self.reported_cancellations or self.waiting_jobs.dependencies.cancelled(uid):
            return
        if job is not None and job.final_phase is not None:
            return
        self.reported_cancellations[uid] = since
        while len(self.reported_cancellations) > self.max_remembered:
            del self.reported_cancellations[next(iter(self.reported_cancellations))]
        if job is not None:
            self._cancel(job, since, now)

    def final_state_written(self, job: Job, phase: str, now: float) -> None:
        """Apply a final state that this leader has written."""
        self.set_final_state(job, phase)
        self.waiting_jobs.job_ended(job.uid, phase, now)

    def set_final_state(self, job: Job, phase: str) -> None:
        """Apply a recorded final state: no further task of the job starts."""
        job.final_phase = phase
        self.queues.remove_job(job, self.machines.values())
        self.complete_jobs.pop(job, None)
        self.cancelled_dependents.pop(job, None)
        self.unrecorded_ends.pop(job, None)
        self.pages.forget_job(job)
        self.check_job_end(job)

    def take_changes(self, changes: Iterable[Change], now: float) -> None:
        """Apply changes of records that the jobs API of any controller has made."""
        changes = [change for change in changes if change.value is not None]
        for change in changes:
            # Jobs come first: a batch from a full read is not in chronological order, and a final record needs its job.
            if change.key.startswith(JOB_PREFIX):
                self._add_jobs(change.key, change.value, change.revision, now)
        for change in changes:
            if change.key.startswith(FINAL_PREFIX):
                self._on_final_record(change.key, change.value, now)
        self._update_types(changes)

    def _update_types(self, changes: Iterable[Change]) -> None:
        """Apply changed records of the catalog of machine types."""
        changed = {change.key: change.value for change in changes if is_catalog_key(change.key)}
        self._catalog_records |= changed
        if CATALOG_KEY in changed or LEGACY_TYPES_KEY in changed:  # parts come before the head that names them
            self.types = recorded_catalog(self._catalog_records.get).types
