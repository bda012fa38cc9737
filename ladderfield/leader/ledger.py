"""Builds the leader's transactions: pages of claims and finished tasks, final states of jobs, and cleanup.

One transaction is in flight at a time, and each is retried unchanged until it is answered or its guards fail. It is
guarded by the revision of the epoch key, so that a deposed leader can't write, and by the revision of each record it
changes, so that a delayed copy can't overwrite later changes.
"""

from __future__ import annotations

import logging
from typing import Any

from ladderfield.jobs.model import CANCELLED, DONE, FINAL_PREFIX
from ladderfield.leader.pages import Page, encoded_size
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leadership import EPOCH
from ladderfield.queues.work import Claim, Job, Record
from ladderfield.settings import MAX_TXN_VALUE_BYTES
from ladderfield.zones.record import ZoneRecord

log = logging.getLogger(__name__)

MIN_PAGE_BYTES = 512  # lower bound of the page size when it is reduced after rejected transactions


class Transaction:
    """One transaction, and the objects that it records."""

    __slots__ = ("deleted_records", "deletes", "finals", "guards", "max_ops", "moved", "pages", "puts", "size", "zones")

    def __init__(self, epoch_revision: int, max_ops: int) -> None:
        self.max_ops = max_ops
        self.guards: dict[str, int] = {EPOCH: epoch_revision}
        self.puts: dict[str, Any] = {}
        self.deletes: list[str] = []
        self.pages: dict[Page, tuple[list[Claim], dict[Job, set[int]]]] = {}
        self.moved: list[tuple[Page, list[Claim], dict[Job, set[int]]]] = []  # from oversized pages
        self.finals: dict[Job, str] = {}  # jobs whose final state this transaction records
        self.deleted_records: list[Record] = []  # job records that this transaction deletes
        self.zones: ZoneRecord | None = None  # the zone record, if this transaction writes it
        self.size = 0

    @property
    def ops(self) -> int:
        """The number of puts and deletes, which the state service counts as writes."""
        return len(self.puts) + len(self.deletes)

    @property
    def remaining_ops(self) -> int:
        """How many more puts and deletes fit."""
        return self.max_ops - self.ops


class Ledger:
    """Builds the leader's transactions and applies their outcomes to the tables."""

    def __init__(self, scheduler: Scheduler, epoch_revision: int, txn_ops: int) -> None:
        self.scheduler, self.epoch_revision, self.max_ops = scheduler, epoch_revision, txn_ops

    def collect(self, include_finished: bool, max_ops: int | None = None) -> Transaction | None:
        """Return the next transaction of at most ``max_ops`` changes, or None if there is nothing to record.

        Completed jobs go first: they are few, and a user or a dependent job waits for them. New claims follow, as their
        tasks wait to start; of two or more changes, one is reserved for them. Ends of single tasks are added, but
        without ``include_finished`` they don't cause a transaction of their own. Cleanup and rewritten pages, which
        nobody waits for, use changes that remain.
        """
        scheduler = self.scheduler
        if not (
            include_finished or scheduler.unrecorded_claims or scheduler.complete_jobs or scheduler.pages.write_failed
        ):
            return None
        txn = Transaction(self.epoch_revision, max(1, min(max_ops or self.max_ops, self.max_ops)))
        for page in list(scheduler.pages.write_failed):
            self._write_page(txn, page)
        if scheduler.pages.write_failed:
            # Claims that the failed write moved to these pages may be recorded only on an oversized page, which must
            # not be rewritten before them.
            return txn if txn.ops else None
        for job in list(scheduler.complete_jobs):
            if txn.remaining_ops < 1 or (txn.remaining_ops < 2 and txn.ops and scheduler.unrecorded_claims):
                break
            ended = scheduler.term_from if job.ended_at is None else job.ended_at
            self._record_final_state(
                txn, job, {"phase": DONE, "done": job.spec.tasks, "at": round(ended + scheduler.wall_offset, 3)}
            )
        ends = {job: job.unrecorded_done for job in scheduler.unrecorded_ends if job not in txn.finals}
        if scheduler.unrecorded_claims or (ends and (include_finished or txn.ops)):
            self._fill_pages(txn, ends)
        if (
            include_finished
            and txn.remaining_ops > 0
            and not scheduler.unrecorded_claims
            and not scheduler.complete_jobs.keys() - txn.finals.keys()
        ):
            self._clean_up(txn)
        return txn if txn.ops else None

    def _clean_up(self, txn: Transaction) -> None:
        """Add cleanup that may wait until there is nothing else to write."""
        scheduler = self.scheduler
        for job in list(scheduler.cancelled_dependents)[: txn.remaining_ops]:
            # The job API reports this state already, as it follows from the recorded dependencies.
            self._record_final_state(txn, job, {"phase": CANCELLED})
        for record in list(scheduler.clearable_records)[: txn.remaining_ops]:
            txn.guards[record.key] = record.stamp
            txn.deletes.append(record.key)
            txn.deleted_records.append(record)
        for page in list(scheduler.pages.dirty):
            if page.size <= scheduler.pages.max_page_bytes:
                self._write_page(txn, page)
        if txn.remaining_ops > 0 and txn.max_ops == self.max_ops:
            self._move_off_large_page(txn)
        self._write_zones(txn)

    def _write_zones(self, txn: Transaction) -> None:
        """Add the zone record for a successor, with the lowest priority and only after a change."""
        record = self.scheduler.zones.record
        if (
            record is None
            or not record.dirty
            or txn.remaining_ops < 1
            or txn.size + record.size() > MAX_TXN_VALUE_BYTES
        ):
            return
        txn.guards[record.key] = record.revision
        txn.puts[record.key] = record.value()
        txn.size += record.size()
        txn.zones = record
        record.dirty = False

    @staticmethod
    def _record_final_state(txn: Transaction, job: Job, value: dict[str, Any]) -> None:
        """Add a job's final state, guarded so that it never replaces one."""
        txn.guards[FINAL_PREFIX + job.uid] = 0
        txn.puts[FINAL_PREFIX + job.uid] = value
        txn.finals[job] = value["phase"]

    def _fill_pages(self, txn: Transaction, ends: dict[Job, set[int]]) -> None:
        """Put new claims and ends of tasks on as few pages as possible."""
        pages = self.scheduler.pages
        claims = list(self.scheduler.unrecorded_claims)[::-1]  # oldest last
        while (claims or ends) and txn.remaining_ops > 0 and txn.size + pages.max_page_bytes < MAX_TXN_VALUE_BYTES:
            page = pages.emptiest(set(txn.pages))
            while claims and page.size + page.cost(claims[-1]) <= pages.max_page_bytes:
                claim = claims.pop()
                page.add_claim(claim)
                del self.scheduler.unrecorded_claims[claim]
            for job in list(ends):
                room = page.room_for(job, pages.max_page_bytes)
                if room <= 0:
                    break
                part = sorted(ends[job])[:room]
                page.add_done(job, part)
                rest = ends.pop(job).difference(part)
                if rest:
                    ends[job] = rest
                else:
                    self.scheduler.unrecorded_ends.pop(job, None)
            self._write_page(txn, page)

    def _move_off_large_page(self, txn: Transaction) -> None:
        """Copy live content of an oversized page, which can't be written, to a small page.

        Otherwise it would stay on the oversized page as long as any of it lives, and every successor would read it
        back. Long-running claims move first, as the others end in the meantime. The oversized page is rewritten only
        after this transaction is recorded; until then its record stays valid.
        """
        pages = self.scheduler.pages
        large = pages.large()
        if large is None or txn.size + pages.max_page_bytes > MAX_TXN_VALUE_BYTES:
            return
        page = pages.emptiest(set(txn.pages))
        claims: list[Claim] = []
        done: dict[Job, set[int]] = {}
        for claim in sorted(large.claims, key=lambda claim: not claim.job.spec.service):
            if page.size + page.cost(claim) > pages.max_page_bytes:
                break
            large.drop_claim(claim)
            page.add_claim(claim)
            claims.append(claim)
        for job in list(large.done):
            part = sorted(large.done[job])[: max(0, page.room_for(job, pages.max_page_bytes))]
            if part:
                page.add_done(job, part)
                large.drop_done(job, part)
                done[job] = set(part)
        txn.moved.append((large, claims, done))
        pages.mark_dirty(large)
        self._write_page(txn, page)
        assert page in txn.pages, "moved content would be lost once the oversized page is rewritten"

    def _write_page(self, txn: Transaction, page: Page) -> None:
        """Add a page to the transaction unless it is in it or doesn't fit."""
        pages = self.scheduler.pages
        if page in txn.pages or txn.remaining_ops < 1 or txn.size + pages.max_page_bytes > MAX_TXN_VALUE_BYTES:
            return
        txn.guards[page.key] = page.key_revision
        txn.puts[page.key] = page.value()
        txn.pages[page] = (list(page.claims), {job: set(tasks) for job, tasks in page.done.items()})
        txn.size += encoded_size(page)
        page.dirty = False
        pages.dirty.discard(page)
        pages.write_failed.discard(page)

    def applied(self, txn: Transaction, commit_revision: int, now: float) -> None:
        """Update the tables after the transaction was committed."""
        scheduler = self.scheduler
        new = sum(not claim.recorded for claims, _ in txn.pages.values() for claim in claims)
        log.debug(
            "recorded %d new and %d earlier claims on %d pages, %d final states, %d deletions; %d claims unrecorded",
            new, sum(len(claims) for claims, _ in txn.pages.values()) - new, len(txn.pages), len(txn.finals),
            len(txn.deletes), len(scheduler.unrecorded_claims),
        )  # fmt: skip
        for page, (claims, done) in txn.pages.items():
            page.key_revision = commit_revision
            for claim in claims:
                if not claim.recorded:
                    claim.recorded = True
                    if claim.job.claims.get(claim.index) is claim and claim.stop_reason is None:
                        scheduler.push(scheduler.machines[claim.host])
            for job, tasks in done.items():
                job.unrecorded_done -= tasks
        for job, phase in txn.finals.items():
            log.info("job %s: %s", job.uid, phase)
            scheduler.final_state_written(job, phase, now)
        for record in txn.deleted_records:
            scheduler.clearable_records.pop(record, None)
        if txn.zones is not None:
            txn.zones.revision = commit_revision

    def retry_with_revisions(self, txn: Transaction, revisions: dict[str, int]) -> None:
        """Adopt the current revisions, so that the next transaction writes the present content again.

        Guards failed because an earlier copy of the transaction was applied after all.
        """
        for page in txn.pages:
            page.key_revision = revisions.get(page.key, page.key_revision)
            self.scheduler.pages.write_failed.add(page)
        for job in txn.finals:
            if revisions.get(FINAL_PREFIX + job.uid):
                # A user cancelled the job just before, or an earlier copy of this transaction recorded it as done.
                # The view will show which; a wrong guess would cancel, or start, the dependent jobs.
                self.scheduler.complete_jobs.pop(job, None)
                self.scheduler.cancelled_dependents.pop(job, None)
        for record in txn.deleted_records:
            record.stamp = revisions.get(record.key, record.stamp)
            if record.stamp == 0:
                self.scheduler.clearable_records.pop(record, None)
        if txn.zones is not None:
            txn.zones.revision = revisions.get(txn.zones.key, txn.zones.revision)
            txn.zones.dirty = True

    def refused(self, txn: Transaction) -> None:
        """Undo a permanently rejected transaction and reduce the limits, so that the next ones are smaller.

        The state service's limits must be lower than configured. Nothing of the transaction was recorded.
        """
        scheduler, pages = self.scheduler, self.scheduler.pages
        self.max_ops = max(1, self.max_ops // 2)
        pages.max_page_bytes = max(MIN_PAGE_BYTES, pages.max_page_bytes // 2)
        for large, moved, done in txn.moved:
            for claim in moved:
                page = pages.page_of(claim)
                if page is not None and claim in page.claims:
                    page.drop_claim(claim)
                    large.add_claim(claim)
            for job, tasks in done.items():
                if job.final_phase is None:
                    large.add_done(job, tasks)
        pages_to_rewrite = {*txn.pages, *pages.write_failed}
        pages.write_failed.clear()
        for page in pages_to_rewrite:
            for claim in [claim for claim in page.claims if not claim.recorded]:
                page.drop_claim(claim)
                scheduler.unrecorded_claims[claim] = None
            for job in list(page.done):
                unrecorded_tasks = page.done[job] & job.unrecorded_done
                page.drop_done(job, unrecorded_tasks)
                if unrecorded_tasks and job.final_phase is None:
                    scheduler.unrecorded_ends[job] = None
            pages.mark_dirty(page)
