"""The cancellations that this controller confirmed or has seen on record, so that it can tell a leader of them.

A leader that the state service does not serve can't see what other controllers confirm. Each keeps the revisions of
what it knows here, from the moment of the confirmation on, before its own view shows it.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from ladderfield.jobs.model import CANCELLED, FINAL
from ladderfield.view import Change


class Cancellations:
    """Jobs that are cancelled on record, and by which revision."""

    def __init__(self, kept: int) -> None:
        self.kept = kept  # the latest; who needs older ones is told nothing
        self.began_at = trio.current_time()  # what this process confirmed since then is here
        self.told: Callable[[str], None] = lambda uid: None  # called at once with what is confirmed here
        self._stamps: dict[str, int] = {}
        self._floor = 0  # no longer complete up to this revision

    def take(self, change: Change) -> None:
        """A record changed."""
        if change.key.startswith(FINAL) and change.value is not None and change.value["phase"] == CANCELLED:
            self._add(change.key.removeprefix(FINAL), change.stamp)

    def confirmed(self, uid: str, stamp: int) -> None:
        """Our own write is on record: its user is about to hear of it."""
        self._add(uid, stamp)
        self.told(uid)

    def _add(self, uid: str, stamp: int) -> None:
        self._stamps[uid] = stamp
        if len(self._stamps) > 2 * self.kept:
            latest = sorted(self._stamps.items(), key=lambda pair: pair[1])
            self._floor = latest[-self.kept - 1][1]
            self._stamps = dict(latest[-self.kept :])

    def after(self, ledger: int) -> list[str] | None:
        """Those that a view which has reached this revision may lack; None if that is no longer known."""
        if ledger < self._floor:
            return None
        return [uid for uid, stamp in self._stamps.items() if stamp > ledger]
