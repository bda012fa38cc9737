"""Cancellation by users: writes a job's final record, which is decided once."""

from __future__ import annotations

import logging
import time

import trio

from ladderfield.http import Reply
from ladderfield.jobs.cancellations import Cancellations
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.lookup import JobLookup
from ladderfield.jobs.model import CANCELLED, FINAL_PREFIX, valid_uid
from ladderfield.jobs.responses import SUBMIT_TIMEOUT_S, USABLE_SHARE, no_such_job, unavailable
from ladderfield.state import Outcome, StateClient, StateServiceError
from ladderfield.view import View

log = logging.getLogger(__name__)

MAX_QUEUE_DELAY_S = SUBMIT_TIMEOUT_S / 3  # with a longer wait for a write the request is rejected at once
WRITE_TIMEOUT_S = SUBMIT_TIMEOUT_S * USABLE_SHARE / 3
RETRY_DELAY_S = SUBMIT_TIMEOUT_S / 50
RECENT_ANSWER_S = SUBMIT_TIMEOUT_S / 5  # a retry is worthwhile after an answer this recent


class CancellationHandler:
    """Handles cancellation requests."""

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
        """The reply to a cancellation, sent once the job's final record exists, whether done or cancelled."""
        if not valid_uid(uid):
            return no_such_job()
        deadline = trio.current_time() + SUBMIT_TIMEOUT_S * USABLE_SHARE
        while trio.current_time() < deadline:
            if (final := self.lookup.final(uid)) is not None:
                return final
            if uid not in self.dependencies:
                if (not_found := await self._unknown_job_reply(uid, deadline)) is not None:
                    return not_found
                continue
            if not await self.client.writes.take(max_wait_s=MAX_QUEUE_DELAY_S):
                return unavailable(1)
            outcome = await self._write(uid)
            if outcome is None:
                if not self._answered_recently():
                    return unavailable(1)
                await trio.sleep(RETRY_DELAY_S)
                continue
            if outcome.failed is None:
                log.info("job %s: cancelled by user", uid)
                self.cancellations.add_confirmed(uid, outcome.revision)
                return Reply(200, {"uid": uid, "phase": CANCELLED})
            with trio.move_on_at(deadline):
                await self.view.wait_for_revision(outcome.revision)
        return unavailable(1)

    async def _unknown_job_reply(self, uid: str, deadline: float) -> Reply | None:
        """The reply for a job that is not in the view; None if it turns out to have been accepted."""
        if not await self.view.fresh(deadline - trio.current_time()):
            return unavailable(1)
        return self.lookup.unknown() if self.lookup.state(uid) is None else None

    async def _write(self, uid: str) -> Outcome | None:
        """Writes the final record; None if the call failed.

        The guard lets the final record be written only once, so neither this write nor a delayed duplicate of it can
        overwrite an end. No guard on the job record is needed, as an accepted job stays known.
        """
        record = {"phase": CANCELLED, "at": round(time.time(), 3)}
        try:
            return await self.client.commit({FINAL_PREFIX + uid: 0}, {FINAL_PREFIX + uid: record}, [], WRITE_TIMEOUT_S)
        except StateServiceError as error:
            log.debug("job %s: write of the cancellation not confirmed: %s", uid, error)
            return None

    def _answered_recently(self) -> bool:
        """Whether the state service answered recently, so that a retry within this request may succeed."""
        return trio.current_time() - self.client.answered_at < RECENT_ANSWER_S
