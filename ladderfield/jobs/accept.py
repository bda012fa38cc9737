"""Putting accepted jobs on record: jobs that arrive while a write is under way share the next one.

The state service counts changes, not bytes, and a controller's jobs API has only a small share of them. So one record
takes all that has gathered (group commit): there is no timer, and a job that finds nothing under way is written at
once. The record is named after its first job, whose retry elsewhere therefore finds it; any other job of it may stand
on two records after a retry at another controller. That is harmless: both say the same, the job counts once, and a
record is deleted only when all of its jobs are over. A late copy is harmless too: each job's final state guards the
write.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from typing import Any

import trio

from ladderfield.http import encode
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import FINAL, FULL, JOB
from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError, WriteRefusedError
from ladderfield.view import View

log = logging.getLogger(__name__)

TXN_BYTES = 48 * 1024  # of the 64 KiB that a transaction may hold; the rest is for its guards
FRAME = 64  # bytes of a record beside its jobs
GUARDS = 4  # the protocol: so many conditions for each change that a transaction may hold
ANSWER = 0.25  # of the time a user waits: how long one write may take
PATIENCE = 0.2  # of it: who would wait longer for a turn is told at once to come back
PAUSE = 0.02  # of it: before the same is tried again
HOPEFUL = 0.2  # of it: the state service answered within this, so asking again may help


def record_size(uid: str, record: dict[str, Any]) -> int:
    """The bytes that a job takes on a record."""
    return len(encode(record)) + len(uid) + 4


class Wanted:
    """A job that is to be put on record, and what became of it."""

    __slots__ = ("done", "known_at", "record", "size", "uid", "writing", "written_at")

    def __init__(self, uid: str, record: dict[str, Any]) -> None:
        self.uid, self.record = uid, record
        self.size = record_size(uid, record)
        self.done = trio.Event()
        # None: not on record by us; 0: it is; else the revision by which something on record speaks of it already.
        self.known_at: int | None = None
        self.written_at = 0  # the revision by which it is on record, if that is our doing
        self.writing = False  # a write with it has been begun, so that others may know more of it than we do


class Acceptor:
    """The one writer of a controller's submissions."""

    def __init__(
        self, settings: Settings, client: StateClient, view: View, dependencies: DependencyGraph, wait_s: float
    ) -> None:
        self.client, self.view, self.dependencies, self.wait_s = client, view, dependencies, wait_s
        state = settings.cluster.state
        self.most_bytes = min(state.value_kb * 1024, TXN_BYTES) * FULL - FRAME
        self.most_jobs = GUARDS * state.txn_ops - 1
        self._waiting: OrderedDict[str, Wanted] = OrderedDict()
        self._some = trio.Event()

    async def accept(self, uid: str, record: dict[str, Any], until: float) -> Wanted:
        """Have a job recorded; who asked for the same job meanwhile shares the answer.

        ``done`` may not be set when the time is over: then it is not known whether the job is on record, and the user
        has to ask again.
        """
        wanted = self._waiting.get(uid)
        if wanted is None:
            wanted = Wanted(uid, record)
            if self._turn_in() > self.wait_s * PATIENCE:
                wanted.done.set()
                return wanted
            self._waiting[uid] = wanted
            self._some.set()
        with trio.move_on_at(until):
            await wanted.done.wait()
        if not wanted.done.is_set() and self._waiting.get(uid) is wanted:
            del self._waiting[uid]
        return wanted

    def writing(self, uid: str) -> bool:
        """Whether a write with this job has been begun.

        It may be on record then, and what follows from that too, however long its answer takes. Who asks now can't be
        told by that answer alone how the job is.
        """
        wanted = self._waiting.get(uid)
        return wanted is not None and wanted.writing

    def _turn_in(self) -> float:
        """How long a job that comes now would wait until it is written."""
        ahead = sum(wanted.size for wanted in self._waiting.values()) / self.most_bytes
        return self.client.writes.delay(1 + ahead)

    async def run(self) -> None:
        """Write for ever."""
        while True:
            await self._some.wait()
            await self.client.writes.take()
            await self.client.calls.take(urgent=True)  # counted; the writes were waited for
            batch = self._next()
            if batch:
                await self._write(batch)
            if not self._waiting:
                self._some = trio.Event()

    def _next(self) -> list[Wanted]:
        """The eldest that fit one record."""
        batch: list[Wanted] = []
        size = 0.0
        for wanted in self._waiting.values():
            if len(batch) >= self.most_jobs or (batch and size + wanted.size > self.most_bytes):
                break
            batch.append(wanted)
            size += wanted.size
        return batch

    async def _write(self, batch: list[Wanted]) -> None:
        key = JOB + batch[0].uid
        for wanted in batch:
            wanted.writing = True
        # A final state guards each job: a copy of this that is carried out late brings nothing back that is over.
        guards = {key: 0} | {FINAL + wanted.uid: 0 for wanted in batch}
        value = {"jobs": {wanted.uid: wanted.record for wanted in batch}}
        try:
            outcome = await self.client.commit(guards, {key: value}, [], self.wait_s * ANSWER)
        except WriteRefusedError as error:
            self._refused(batch, error)
        except StateServiceError as error:
            await self._unanswered(batch, error)
        else:
            if outcome.failed is None:
                for wanted in batch:
                    wanted.written_at = outcome.ledger
                    self._answer(wanted, 0)
            else:
                await self._known_in_part(batch, key, outcome.ledger, outcome.failed)

    def _refused(self, batch: list[Wanted], error: WriteRefusedError) -> None:
        """It would be refused again. Less of it may not be; a job that stands alone is the caller's to think over."""
        log.error("%d jobs can't be written: %s", len(batch), error)
        self.most_jobs = max(1, len(batch) // 2)
        if len(batch) == 1:
            self._answer(batch[0], None)

    async def _unanswered(self, batch: list[Wanted], error: StateServiceError) -> None:
        """Try again soon if the state service answered lately; else nobody can be served now, and all are told so."""
        log.debug("%d jobs not written yet: %s", len(batch), error)
        if trio.current_time() - self.client.answered_at < self.wait_s * HOPEFUL:
            await trio.sleep(self.wait_s * PAUSE)
            return
        for wanted in list(self._waiting.values()):
            self._answer(wanted, None)

    async def _known_in_part(self, batch: list[Wanted], key: str, ledger: int, failed: list[str]) -> None:
        """Answer for those that are known; the others are written anew.

        A job may be decided already, or on record by an earlier copy of this very write or by another controller.
        """
        with trio.move_on_after(self.wait_s * ANSWER):
            await self.view.reach(ledger)
        for wanted in batch:
            if FINAL + wanted.uid in failed or key == JOB + wanted.uid or wanted.uid in self.dependencies:
                self._answer(wanted, ledger)

    def _answer(self, wanted: Wanted, known_at: int | None) -> None:
        wanted.known_at = known_at
        wanted.done.set()
        if self._waiting.get(wanted.uid) is wanted:
            del self._waiting[wanted.uid]
