"""Deletes the parts of job descriptions that no job on record refers to: of ended jobs and of abandoned submissions.

A job's record is written under a guard on the first part, and a part is deleted under guards on that record's absence
and on the first part, which goes first. So of an acceptance and a deletion that meet, one alone is carried out.
"""

from __future__ import annotations

import logging

import trio

from ladderfield.changes import Change
from ladderfield.jobs.descriptions import DESCRIPTION_PREFIX, number_of, part_key, uid_of
from ladderfield.jobs.model import FINAL_PREFIX, JOB_PREFIX
from ladderfield.leadership import EPOCH
from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError
from ladderfield.term import Term
from ladderfield.view import View

log = logging.getLogger(__name__)

ABANDONED_S = 120.0  # users repeat a submission for up to 60 s
CHECK_REPORT_INTERVALS = 5.0
DELETES_PER_TXN = 4


class DescriptionCleaner:
    """Follows the parts on record, for one leader, and deletes those that are of no use any more."""

    def __init__(self, settings: Settings, term: Term, client: StateClient, view: View) -> None:
        self.term, self.client, self.view = term, client, view
        self.report_s = settings.cluster.workers.report_s
        self.max_ops = min(DELETES_PER_TXN, settings.cluster.state.txn_ops)
        self._keys: dict[str, dict[str, None]] = {}  # job -> keys of the parts of its description
        self._unused_since: dict[str, float] = {}  # jobs with parts and without a record

    async def run(self) -> None:
        """Check for parts to delete periodically until cancelled."""
        for key in self.view.data:
            self._apply(key, present=True)
        self.view.listeners.append(self._on_change)
        try:
            while True:
                await trio.sleep(CHECK_REPORT_INTERVALS * self.report_s)
                for uid in self._unused(trio.current_time()):
                    await self._delete(uid)
        finally:
            self.view.listeners.remove(self._on_change)

    def _on_change(self, change: Change) -> None:
        self._apply(change.key, change.value is not None)

    def _apply(self, key: str, present: bool) -> None:
        if not key.startswith(DESCRIPTION_PREFIX):
            return
        keys = self._keys.setdefault(uid_of(key), {})
        if present:
            keys[key] = None
        else:
            keys.pop(key, None)
        if not keys:
            del self._keys[uid_of(key)]

    def _unused(self, now: float) -> list[str]:
        """The jobs whose parts can be deleted."""
        without_record = [uid for uid in self._keys if self.view.get(JOB_PREFIX + uid) is None]
        self._unused_since = {uid: self._unused_since.get(uid, now) for uid in without_record}
        return [
            uid
            for uid, since in self._unused_since.items()
            if self.view.get(FINAL_PREFIX + uid) is not None or now - since > ABANDONED_S
        ]

    async def _delete(self, uid: str) -> None:
        """Delete all parts of a job's description, the first one first; what fails is tried again at the next check."""
        keys = sorted(self._keys.get(uid, ()), key=number_of)
        first_key = part_key(uid, 0)
        for start in range(0, len(keys), self.max_ops):
            deletes = keys[start : start + self.max_ops]
            guards = {
                EPOCH: self.term.epoch_revision,
                JOB_PREFIX + uid: 0,
                first_key: self.view.revision_of(first_key),
            }
            await self.client.leader_calls.take()
            await self.client.leader_writes.take(len(deletes))
            try:
                outcome = await self.client.commit(guards, {}, deletes, self.report_s)
            except StateServiceError as error:
                log.debug("the description of %s was not deleted: %s", uid, error)
                return
            if outcome.failed is not None:
                return
            await self.view.wait_for_revision(outcome.revision)
