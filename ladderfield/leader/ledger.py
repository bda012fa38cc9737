"""What the leader writes: pages of claims and finished tasks, ends of jobs, and the clearing away of what is over.

One transaction is under way at a time and each is repeated unchanged until it is answered, or its guards fail.
Every one is guarded by the epoch's version, so that a deposed leader can't write, and by the version of each
record it touches, so that a copy that arrives late can't undo what was written after it.
"""

from __future__ import annotations

import logging
from typing import Any

from ladderfield.jobs.model import CANCELLED, DONE, FINAL
from ladderfield.leader.pages import Page, encoded_size
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leadership import EPOCH
from ladderfield.queues.work import Claim, Job, Record
from ladderfield.zones.record import ZoneRecord

log = logging.getLogger(__name__)

BYTES = 48 * 1024  # of the protocol's 64 KiB a transaction; the rest is for guards and framing
LEAST_BYTES = 512  # what a page may hold however often the state service refuses


class Transaction:
    """One transaction, and what it will have recorded."""

    __slots__ = ("deletes", "ended", "finals", "guards", "most", "moved", "pages", "puts", "size", "zones")

    def __init__(self, epoch_stamp: int, most: int) -> None:
        self.most = most
        self.guards: dict[str, int] = {EPOCH: epoch_stamp}
        self.puts: dict[str, Any] = {}
        self.deletes: list[str] = []
        self.pages: dict[Page, tuple[list[Claim], dict[Job, set[int]]]] = {}
        self.moved: list[tuple[Page, list[Claim], dict[Job, set[int]]]] = []  # from pages that are too large
        self.finals: dict[Job, str] = {}  # jobs whose final state is decided here
        self.ended: list[Record] = []  # records that are deleted here
        self.zones: ZoneRecord | None = None  # written here
        self.size = 0

    @property
    def ops(self) -> int:
        """Puts and deletes, which the state service counts as writes."""
        return len(self.puts) + len(self.deletes)

    @property
    def left(self) -> int:
        """How many more of these it may hold."""
        return self.most - self.ops


class Ledger:
    """Builds the leader's transactions and takes their outcome in."""

    def __init__(self, scheduler: Scheduler, epoch_stamp: int, txn_ops: int) -> None:
        self.scheduler, self.epoch_stamp, self.most = scheduler, epoch_stamp, txn_ops

    def collect(self, finished_too: bool, most: int | None = None) -> Transaction | None:
        """The next transaction, of at most so many changes, or None if there is nothing to record.

        Jobs that are done go first: they are few, and a user, or the next job of a chain, waits for them. Then come new
        claims, for which a task waits; one change is kept for them where there are two. The ends of single tasks go
        along; without ``finished_too`` they don't cause a write of their own. What is over is cleared away, and pages
        are written anew, with changes that nobody waits for.
        """
        scheduler = self.scheduler
        if not (finished_too or scheduler.unrecorded_claims or scheduler.complete_jobs or scheduler.pages.owing):
            return None
        txn = Transaction(self.epoch_stamp, max(1, min(most or self.most, self.most)))
        for page in list(scheduler.pages.owing):
            self._write(txn, page)
        if scheduler.pages.owing:
            # What a write that failed had moved here may stand on record only on a page that would be written next.
            return txn if txn.ops else None
        for job in list(scheduler.complete_jobs):
            if txn.left < 1 or (txn.left < 2 and txn.ops and scheduler.unrecorded_claims):
                break
            ended = scheduler.term_from if job.ended_at is None else job.ended_at
            self._decide(
                txn, job, {"phase": DONE, "done": job.spec.tasks, "at": round(ended + scheduler.wall_offset, 3)}
            )
        ends = {job: job.unsettled for job in scheduler.unrecorded_ends if job not in txn.finals}
        if scheduler.unrecorded_claims or (ends and (finished_too or txn.ops)):
            self._fill(txn, ends)
        if (
            finished_too
            and txn.left > 0
            and not scheduler.unrecorded_claims
            and not scheduler.complete_jobs.keys() - txn.finals.keys()
        ):
            self._clear(txn)
        return txn if txn.ops else None

    def _clear(self, txn: Transaction) -> None:
        """What may wait until there is nothing else to write."""
        scheduler = self.scheduler
        for job in list(scheduler.cancelled_dependents)[: txn.left]:
            # Users are told so already, as it follows from what is on record.
            self._decide(txn, job, {"phase": CANCELLED})
        for record in list(scheduler.clearable_records)[: txn.left]:
            txn.guards[record.key] = record.stamp
            txn.deletes.append(record.key)
            txn.ended.append(record)
        for page in list(scheduler.pages.dirty):
            if page.size <= scheduler.pages.most:
                self._write(txn, page)
        if txn.left > 0 and txn.most == self.most:
            self._move(txn)
        self._write_zones(txn)

    def _write_zones(self, txn: Transaction) -> None:
        """What a successor should know of zones; last of all, and only after a change."""
        record = self.scheduler.zones.record
        if record is None or not record.dirty or txn.left < 1 or txn.size + record.size() > BYTES:
            return
        txn.guards[record.key] = record.revision
        txn.puts[record.key] = record.value()
        txn.size += record.size()
        txn.zones = record
        record.dirty = False

    @staticmethod
    def _decide(txn: Transaction, job: Job, value: dict[str, Any]) -> None:
        """A job's final state: only where there is none yet."""
        txn.guards[FINAL + job.uid] = 0
        txn.puts[FINAL + job.uid] = value
        txn.finals[job] = value["phase"]

    def _fill(self, txn: Transaction, ends: dict[Job, set[int]]) -> None:
        """Put new claims and ends of tasks on as few pages as they fit."""
        pages = self.scheduler.pages
        claims = list(self.scheduler.unrecorded_claims)[::-1]  # the last of the list is the oldest
        while (claims or ends) and txn.left > 0 and txn.size + pages.most < BYTES:
            page = pages.roomiest(set(txn.pages))
            while claims and page.size + page.cost(claims[-1]) <= pages.most:
                claim = claims.pop()
                page.add_claim(claim)
                del self.scheduler.unrecorded_claims[claim]
            for job in list(ends):
                room = page.room_for(job, pages.most)
                if room <= 0:
                    break
                part = sorted(ends[job])[:room]
                page.add_done(job, part)
                rest = ends.pop(job).difference(part)
                if rest:
                    ends[job] = rest
                else:
                    self.scheduler.unrecorded_ends.pop(job, None)
            self._write(txn, page)

    def _move(self, txn: Transaction) -> None:
        """Repeat on a small page what is left of one that is too large to be written.

        There it would stay for as long as anything of it lives, and be read back by every successor. What goes on for
        long moves first; the rest ends by itself meanwhile. The large page is written, or read as what it is, only
        after this stands.
        """
        pages = self.scheduler.pages
        large = pages.large()
        if large is None or txn.size + pages.most > BYTES:
            return
        page = pages.roomiest(set(txn.pages))
        claims: list[Claim] = []
        done: dict[Job, set[int]] = {}
        for claim in sorted(large.claims, key=lambda claim: not claim.job.spec.service):
            if page.size + page.cost(claim) > pages.most:
                break
            large.drop_claim(claim)
            page.add_claim(claim)
            claims.append(claim)
        for job in list(large.done):
            part = sorted(large.done[job])[: max(0, page.room_for(job, pages.most))]
            if part:
                page.add_done(job, part)
                large.drop_done(job, part)
                done[job] = set(part)
        txn.moved.append((large, claims, done))
        pages.mark_dirty(large)
        self._write(txn, page)
        assert page in txn.pages, "what moved stands nowhere else once the large page is written"

    def _write(self, txn: Transaction, page: Page) -> None:
        pages = self.scheduler.pages
        if page in txn.pages or txn.left < 1 or txn.size + pages.most > BYTES:
            return
        txn.guards[page.key] = page.stamp
        txn.puts[page.key] = page.value()
        txn.pages[page] = (list(page.claims), {job: set(tasks) for job, tasks in page.done.items()})
        txn.size += encoded_size(page)
        page.dirty = False
        pages.dirty.discard(page)
        pages.owing.discard(page)

    def applied(self, txn: Transaction, ledger: int, now: float) -> None:
        """The transaction is on record."""
        scheduler = self.scheduler
        new = sum(not claim.recorded for claims, _ in txn.pages.values() for claim in claims)
        log.debug(
            "on record: %d claims and %d that go on, on %d pages, %d ends of jobs, %d records cleared; %d claims wait",
            new, sum(len(claims) for claims, _ in txn.pages.values()) - new, len(txn.pages), len(txn.finals),
            len(txn.deletes), len(scheduler.unrecorded_claims),
        )  # fmt: skip
        for page, (claims, done) in txn.pages.items():
            page.stamp = ledger
            for claim in claims:
                if not claim.recorded:
                    claim.recorded = True
                    if claim.job.claims.get(claim.index) is claim and claim.stopping is None:
                        scheduler.push(scheduler.machines[claim.host])
            for job, tasks in done.items():
                job.unsettled -= tasks
        for job, phase in txn.finals.items():
            log.info("job %s: %s", job.uid, phase)
            scheduler.final_state_written(job, phase, now)
        for record in txn.ended:
            scheduler.clearable_records.pop(record, None)
        if txn.zones is not None:
            txn.zones.revision = ledger

    def restamp(self, txn: Transaction, stamps: dict[str, int]) -> None:
        """Take the versions on record and write again, with what is known now.

        Guards failed because an earlier copy of the transaction was applied after all.
        """
        for page in txn.pages:
            page.stamp = stamps.get(page.key, page.stamp)
            self.scheduler.pages.owing.add(page)
        for job in txn.finals:
            if stamps.get(FINAL + job.uid):
                # Cancelled at the last moment, or done by our own earlier copy. Either way it is final, and the view
                # says which: a guess would cancel, or start, what waits for it.
                self.scheduler.complete_jobs.pop(job, None)
                self.scheduler.cancelled_dependents.pop(job, None)
        for record in txn.ended:
            record.stamp = stamps.get(record.key, record.stamp)
            if record.stamp == 0:
                self.scheduler.clearable_records.pop(record, None)
        if txn.zones is not None:
            txn.zones.revision = stamps.get(txn.zones.key, txn.zones.revision)
            txn.zones.dirty = True

    def refused(self, txn: Transaction) -> None:
        """Put together anew, and smaller, what the state service will never take.

        Its limits must be smaller than we were told. Nothing of the transaction is on record.
        """
        scheduler, pages = self.scheduler, self.scheduler.pages
        self.most = max(1, self.most // 2)
        pages.most = max(LEAST_BYTES, pages.most // 2)
        for large, moved, done in txn.moved:
            for claim in moved:
                page = pages.of(claim)
                if page is not None and claim in page.claims:
                    page.drop_claim(claim)
                    large.add_claim(claim)
            for job, tasks in done.items():
                if job.final is None:
                    large.add_done(job, tasks)
        again_all = {*txn.pages, *pages.owing}
        pages.owing.clear()
        for page in again_all:
            for claim in [claim for claim in page.claims if not claim.recorded]:
                page.drop_claim(claim)
                scheduler.unrecorded_claims[claim] = None
            for job in list(page.done):
                again = page.done[job] & job.unsettled
                page.drop_done(job, again)
                if again and job.final is None:
                    scheduler.unrecorded_ends[job] = None
            pages.mark_dirty(page)
