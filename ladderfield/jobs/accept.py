"""Writes accepted jobs to the state service; jobs that arrive during a write share the next one (group commit).

The state service limits the number of changes, not bytes, and a controller's jobs API has only a small share of them.
So one record holds all jobs that have queued up. There is no batching timer: a job that arrives while no write is in
progress is written at once.

The record is named after its first job, so a retry of that job at another controller finds it. Any other job of the
record may end up in two records after a retry at another controller. That is harmless: both hold the same
description, the job counts once, and a record is deleted only when all of its jobs have ended. A delayed duplicate of
the write is harmless too, because the write is guarded by the absence of each job's final state.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

import trio

from ladderfield.http import encode
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import FINAL_PREFIX, JOB_PREFIX
from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError, WriteRefusedError
from ladderfield.view import View

log = logging.getLogger(__name__)

RECORD_OVERHEAD_BYTES = 64  # size of a record without its jobs
GUARDS_PER_CHANGE = 4  # protocol: guards allowed in a transaction, per change allowed in it
WRITE_TIMEOUT_SHARE = 0.25  # of the client timeout: timeout of one write
MAX_QUEUE_DELAY_SHARE = 0.2  # of the client timeout: with a longer queue delay the request is rejected at once
RETRY_DELAY_SHARE = 0.02  # of the client timeout: delay before a write is retried
RECENT_ANSWER_SHARE = 0.2  # of the client timeout: a retry is worthwhile after an answer this recent


def record_size(uid: str, record: dict[str, Any]) -> int:
    """Bytes that a job takes up in a record."""
    return len(encode(record)) + len(uid) + 4


class PendingSubmission:
    """A job to be written, and the outcome of the write."""

    __slots__ = ("answered", "guards", "known_revision", "record", "size", "uid", "write_started", "written_revision")

    def __init__(self, uid: str, record: dict[str, Any], guards: Mapping[str, int]) -> None:
        self.uid, self.record, self.guards = uid, record, guards
        self.size = record_size(uid, record)
        self.answered = trio.Event()
        # None: not written, or not known to be; 0: written by us; otherwise a revision at which it was already known by
        # its final state or another job record.
        self.known_revision: int | None = None
        self.written_revision = 0  # revision of our write, if it was written by us
        self.write_started = False  # from then on other controllers may see the job before our answer arrives


class Acceptor:
    """Writes the submissions of a controller, one batch at a time."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        dependencies: DependencyGraph,
        client_timeout_s: float,
    ) -> None:
        self.client, self.view, self.dependencies, self.client_timeout_s = client, view, dependencies, client_timeout_s
        state = settings.cluster.state
        self.max_bytes = state.max_record_bytes - RECORD_OVERHEAD_BYTES
        self.max_jobs = GUARDS_PER_CHANGE * state.txn_ops - 1
        self._pending: OrderedDict[str, PendingSubmission] = OrderedDict()
        self._not_empty = trio.Event()

    async def accept(
        self, uid: str, record: dict[str, Any], deadline: float, guards: Mapping[str, int] | None = None
    ) -> PendingSubmission:
        """Queues a job for writing and waits for the outcome; concurrent requests for the same job share it.

        A job with ``guards`` gets a record of its own, which is written only if these keys have these revisions.
        ``answered`` may still be unset at the deadline. Then it is unknown whether the job was written, and the user
        has to retry.
        """
        submission = self._pending.get(uid)
        if submission is None:
            submission = PendingSubmission(uid, record, guards or {})
            if self._queue_delay_s() > self.client_timeout_s * MAX_QUEUE_DELAY_SHARE:
                submission.answered.set()
                return submission
            self._pending[uid] = submission
            self._not_empty.set()
        with trio.move_on_at(deadline):
            await submission.answered.wait()
        if not submission.answered.is_set() and self._pending.get(uid) is submission:
            del self._pending[uid]
        return submission

    def write_started(self, uid: str) -> bool:
        """Whether a write with this job has been started.

        The job may then be in the state service before the write's answer arrives, and other controllers may already
        have acted on it. So that answer alone does not tell a request that arrives now the state of the job.
        """
        submission = self._pending.get(uid)
        return submission is not None and submission.write_started

    def _queue_delay_s(self) -> float:
        """Estimated wait until a job that is queued now is written."""
        ahead = sum(submission.size for submission in self._pending.values()) / self.max_bytes
        return self.client.writes.delay(1 + ahead)

    async def run(self) -> None:
        """Writes queued jobs until cancelled."""
        while True:
            await self._not_empty.wait()
            await self.client.writes.take()
            await self.client.calls.take(urgent=True)  # counted without a wait; the write budget was waited for
            batch = self._next_batch()
            if batch:
                await self._write(batch)
            if not self._pending:
                self._not_empty = trio.Event()

    def _next_batch(self) -> list[PendingSubmission]:
        """The oldest queued jobs that fit into one record."""
        batch: list[PendingSubmission] = []
        size = 0.0
        for submission in self._pending.values():
            if len(batch) >= self.max_jobs or (batch and size + submission.size > self.max_bytes):
                break
            if submission.guards:
                return batch or [submission]
            batch.append(submission)
            size += submission.size
        return batch

    async def _write(self, batch: list[PendingSubmission]) -> None:
        key = JOB_PREFIX + batch[0].uid
        for submission in batch:
            submission.write_started = True
        # The guards on the final states keep a delayed duplicate of the write from reviving an ended job.
        guards = {key: 0} | {FINAL_PREFIX + submission.uid: 0 for submission in batch}
        for submission in batch:
            guards |= submission.guards
        value = {"jobs": {submission.uid: submission.record for submission in batch}}
        try:
            outcome = await self.client.commit(guards, {key: value}, [], self.client_timeout_s * WRITE_TIMEOUT_SHARE)
        except WriteRefusedError as error:
            self._write_refused(batch, error)
        except StateServiceError as error:
            await self._write_unconfirmed(batch, error)
        else:
            if outcome.failed is None:
                for submission in batch:
                    submission.written_revision = outcome.revision
                    self._resolve(submission, 0)
            else:
                await self._guards_failed(batch, key, outcome.revision, outcome.failed)

    def _write_refused(self, batch: list[PendingSubmission], error: WriteRefusedError) -> None:
        """Halves the batch size, as the same write would be refused again. A single refused job counts as unwritten."""
        log.error("state service refused the write of %d jobs: %s", len(batch), error)
        self.max_jobs = max(1, len(batch) // 2)
        if len(batch) == 1:
            self._resolve(batch[0], None)

    async def _write_unconfirmed(self, batch: list[PendingSubmission], error: StateServiceError) -> None:
        """Retries soon if the state service answered recently; otherwise fails all queued jobs."""
        log.debug("write of %d jobs not confirmed: %s", len(batch), error)
        if trio.current_time() - self.client.answered_at < self.client_timeout_s * RECENT_ANSWER_SHARE:
            await trio.sleep(self.client_timeout_s * RETRY_DELAY_SHARE)
            return
        for submission in list(self._pending.values()):
            self._resolve(submission, None)

    async def _guards_failed(self, batch: list[PendingSubmission], key: str, revision: int, failed: list[str]) -> None:
        """Resolves the jobs that are known already; the others stay queued for another write.

        A job may have ended, or may have been written before by an earlier attempt of this write or by another
        controller.
        """
        with trio.move_on_after(self.client_timeout_s * WRITE_TIMEOUT_SHARE):
            await self.view.wait_for_revision(revision)
        for submission in batch:
            if (
                FINAL_PREFIX + submission.uid in failed
                or key == JOB_PREFIX + submission.uid
                or submission.uid in self.dependencies
            ):
                self._resolve(submission, revision)

    def _resolve(self, submission: PendingSubmission, known_revision: int | None) -> None:
        submission.known_revision = known_revision
        submission.answered.set()
        if self._pending.get(submission.uid) is submission:
            del self._pending[submission.uid]
