"""The cancellations that this controller confirmed or has seen in the state service, to be reported to the leader.

A leader that can't reach the state service does not see what other controllers confirm. Each controller keeps the
revisions of the cancellations it knows here, from the confirmation on, before its own view shows them.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from ladderfield.changes import Change
from ladderfield.jobs.model import CANCELLED, FINAL_PREFIX


class Cancellations:
    """Cancelled jobs, and the revisions of their final records."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity  # number of the latest cancellations kept; queries that need older ones get None
        self.began_at = trio.current_time()  # cancellations confirmed by this process since then are kept here
        self.on_confirmed: Callable[[str], None] = lambda uid: None  # called with the job id on each confirmation
        self._revisions: dict[str, int] = {}
        self._dropped_up_to = 0  # cancellations up to this revision may have been dropped

    def apply_change(self, change: Change) -> None:
        """Handles a changed record."""
        if change.key.startswith(FINAL_PREFIX) and change.value is not None and change.value["phase"] == CANCELLED:
            self._add(change.key.removeprefix(FINAL_PREFIX), change.revision)

    def add_confirmed(self, uid: str, revision: int) -> None:
        """Adds a cancellation that this controller wrote and is about to confirm to its user."""
        self._add(uid, revision)
        self.on_confirmed(uid)

    def _add(self, uid: str, revision: int) -> None:
        self._revisions[uid] = revision
        if len(self._revisions) > 2 * self.capacity:
            latest = sorted(self._revisions.items(), key=lambda pair: pair[1])
            self._dropped_up_to = latest[-self.capacity - 1][1]
            self._revisions = dict(latest[-self.capacity :])

    def newer_than(self, revision: int) -> list[str] | None:
        """Jobs cancelled after this revision; None if some of these cancellations may have been dropped."""
        if revision < self._dropped_up_to:
            return None
        return [uid for uid, final_revision in self._revisions.items() if final_revision > revision]
