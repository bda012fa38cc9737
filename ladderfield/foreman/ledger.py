"""What the foreman writes: batches of block records, ends of jobs, and the clearing away of what is over.

One transaction is under way at a time and each is repeated unchanged until it is answered, or its guards fail.
Every one is guarded by the epoch's version, so that a deposed foreman can't write, and by the version of each
record it touches, so that a copy that arrives late can't undo what was written after it.
"""

from __future__ import annotations

import logging
from typing import Any

from ladderfield.foreman.desk import Desk
from ladderfield.http import encode
from ladderfield.jobs.model import CANCELLED, DONE, FINAL, JOB, block_key
from ladderfield.leadership import EPOCH
from ladderfield.queues.work import Block, Claim, Job

log = logging.getLogger(__name__)

BYTES = 48 * 1024  # of the protocol's 64 KiB a transaction; the rest is for guards and framing


class Txn:
    """One transaction, and what it will have recorded."""

    __slots__ = ("blocks", "deletes", "finals", "guards", "orphans", "puts", "size")

    def __init__(self, epoch_stamp: int) -> None:
        self.guards: dict[str, int] = {EPOCH: epoch_stamp}
        self.puts: dict[str, Any] = {}
        self.deletes: list[str] = []
        self.blocks: list[tuple[Block, int, list[Claim]]] = []
        self.finals: list[Job] = []
        self.orphans: list[str] = []
        self.size = 0

    @property
    def ops(self) -> int:
        """Puts and deletes, which the state service counts as writes."""
        return len(self.puts) + len(self.deletes)


class Ledger:
    """Builds the foreman's transactions and takes their outcome in."""

    def __init__(self, desk: Desk, epoch_stamp: int, txn_ops: int) -> None:
        self.desk, self.epoch_stamp, self.most = desk, epoch_stamp, txn_ops

    def collect(self, finished_too: bool) -> Txn | None:
        """The next transaction, or None if there is nothing to record.

        New claims go first, since a task waits for them. Without ``finished_too`` blocks that only have finished
        tasks to tell are left for a later, fuller batch.
        """
        txn = Txn(self.epoch_stamp)
        dirty: list[tuple[bool, Block]] = []
        for job in list(self.desk.jobs.values()):
            if job.final is None and job.complete:
                self._finish(txn, job)
            elif job.final is not None and not job.claims:
                self._clear(txn, job)
            else:
                for block in job.dirty.values():
                    new = any(not claim.recorded for claim in block.claims.values())
                    if new or finished_too:
                        dirty.append((not new, block))
        dirty.sort(key=lambda one: one[0])
        for _, block in dirty:
            if txn.ops >= self.most or txn.size > BYTES:
                break
            self._write(txn, block)
        if finished_too:
            for key, stamp in list(self.desk.orphans.items()):
                if txn.ops >= self.most:
                    break
                txn.guards[key] = stamp
                txn.deletes.append(key)
                txn.orphans.append(key)
        return txn if txn.ops else None

    def _write(self, txn: Txn, block: Block) -> None:
        value = block.value()
        size = len(encode(value))
        if txn.size and txn.size + size > BYTES:
            return
        key = block_key(block.job.uid, block.number)
        txn.guards[key] = block.stamp
        txn.puts[key] = value
        txn.blocks.append((block, block.version, list(block.claims.values())))
        txn.size += size

    def _finish(self, txn: Txn, job: Job) -> None:
        """All tasks are done: the final state, in one step with the end of the job's record."""
        if txn.ops + 2 > self.most:
            return
        txn.guards[FINAL + job.uid] = 0
        txn.puts[FINAL + job.uid] = {"phase": DONE, "done": job.spec.tasks}
        self._clear(txn, job)

    def _clear(self, txn: Txn, job: Job) -> None:
        if txn.ops + 1 > self.most:
            return
        txn.guards[JOB + job.uid] = job.stamp
        txn.deletes.append(JOB + job.uid)
        txn.finals.append(job)
        for block in job.blocks.values():
            if block.stamp and txn.ops < self.most:
                key = block_key(job.uid, block.number)
                txn.guards[key] = block.stamp
                txn.deletes.append(key)

    def applied(self, txn: Txn, ledger: int) -> None:
        """The transaction is on record."""
        for block, version, claims in txn.blocks:
            block.stamp, block.written = ledger, version
            if block.settled:
                block.job.dirty.pop(block.number, None)
            for claim in claims:
                claim.recorded = True
                machine = self.desk.machines.get(claim.host)
                if machine is not None and claim.sent_tenure is None and claim.attempt == self._attempt(machine, claim):
                    self.desk.push(machine)
        for job in txn.finals:
            if job.final is None:
                log.info("job %s: done", job.uid)
            else:
                log.info("job %s: %s and off all machines", job.uid, job.final)
            for block in job.blocks.values():
                key = block_key(job.uid, block.number)
                if block.stamp and key not in txn.deletes:
                    self.desk.orphans[key] = block.stamp
            self.desk.jobs.pop(job.uid, None)
            self.desk.cancelled_at.pop(job.uid, None)
        for key in txn.orphans:
            self.desk.orphans.pop(key, None)

    @staticmethod
    def _attempt(machine: Any, claim: Claim) -> int | None:
        current = machine.claims.get(claim.task)
        return None if current is None else current.attempt

    def restamp(self, txn: Txn, stamps: dict[str, int]) -> None:
        """Guards failed because an earlier copy of a transaction was applied after all: take the versions on record
        and write again, with what is known now."""
        for block, _, _ in txn.blocks:
            key = block_key(block.job.uid, block.number)
            if key in stamps:
                block.stamp = stamps[key]
                block.touch()
        for job in txn.finals:
            if stamps.get(FINAL + job.uid) and job.final is None:
                # Cancelled at the last moment, or done by our own earlier copy. Either way it is final; the view
                # will say which, and all that is left here is to clear the job away.
                job.final = CANCELLED
            if JOB + job.uid in stamps:
                job.stamp = stamps[JOB + job.uid]
                if job.stamp == 0:
                    self.desk.jobs.pop(job.uid, None)
            for block in job.blocks.values():
                key = block_key(job.uid, block.number)
                if key in stamps:
                    block.stamp = stamps[key]
        for key in txn.orphans:
            if key in stamps:
                if stamps[key]:
                    self.desk.orphans[key] = stamps[key]
                else:
                    self.desk.orphans.pop(key, None)
