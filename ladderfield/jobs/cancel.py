"""Cancellations by users: a job's final record, decided once."""

from __future__ import annotations

import logging
import time

import trio

from ladderfield.http import Reply
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.lookup import JobLookup
from ladderfield.jobs.model import CANCELLED, FINAL, valid_uid
from ladderfield.jobs.responses import SUBMIT_S, USABLE_SHARE, busy, no_such_job
from ladderfield.state import Outcome, StateClient, StateServiceError
from ladderfield.view import View

log = logging.getLogger(__name__)

TURN_PATIENCE_S = SUBMIT_S / 3  # who would wait longer for a write is told at once to come back
WRITE_TIMEOUT_S = SUBMIT_S * USABLE_SHARE / 3
RETRY_PAUSE_S = SUBMIT_S / 50
ANSWERED_LATELY_S = SUBMIT_S / 5  # the state service answered within this, so asking again may help


class CancellationHandler:
    """Puts cancellations on record."""

    def __init__(
        self,
        client: StateClient,
        view: View,
        dependencies: DependencyGraph,
        lookup: JobLookup,
        cancellations: Cancellations,
    ) -> None:
        self.client, self.view, self.dependencies = client, view, dependencies
        self.lookup, self.cancellations = lookup, cancellations

    async def cancel(self, uid: str) -> Reply:
        """The answer to a cancellation, once the job's end is on record, whichever it is."""
        if not valid_uid(uid):
            return no_such_job()
        until = trio.current_time() + SUBMIT_S * USABLE_SHARE
        while trio.current_time() < until:
            if (final := self.lookup.final(uid)) is not None:
                return final
            if uid not in self.dependencies:
                if (unknown := await self._unknown(uid, until)) is not None:
                    return unknown
                continue
            if not await self.client.writes.take(patience=TURN_PATIENCE_S):
                return busy(1)
            outcome = await self._write(uid)
            if outcome is None:
                if not self._answered_lately():
                    return busy(1)
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if outcome.failed is None:
                log.info("job %s: cancelled by its user", uid)
                self.cancellations.confirmed(uid, outcome.ledger)
                return Reply(200, {"uid": uid, "phase": CANCELLED})
            with trio.move_on_at(until):
                await self.view.reach(outcome.ledger)
        return busy(1)

    async def _unknown(self, uid: str, until: float) -> Reply | None:
        """The answer for a job that the view lacks; None if it was accepted meanwhile."""
        if not await self.view.fresh(until - trio.current_time()):
            return busy(1)
        return no_such_job() if self.lookup.state(uid) is None else None

    async def _write(self, uid: str) -> Outcome | None:
        """Write the final record; None without an answer.

        Decided once: neither this nor a late copy of it undoes an end. Once accepted the job is known for good.
        """
        record = {"phase": CANCELLED, "at": round(time.time(), 3)}
        try:
            return await self.client.commit({FINAL + uid: 0}, {FINAL + uid: record}, [], WRITE_TIMEOUT_S)
        except StateServiceError as error:
            log.debug("job %s: not cancelled yet: %s", uid, error)
            return None

    def _answered_lately(self) -> bool:
        """Whether the state service answered lately: asking it again within this request may help."""
        return trio.current_time() - self.client.answered_at < ANSWERED_LATELY_S
