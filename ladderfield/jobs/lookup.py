"""Polls: the state of a job as the records tell it."""

from __future__ import annotations

from ladderfield.http import Reply
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import CANCELLED, FINAL, page_key, valid_uid
from ladderfield.jobs.responses import POLL_S, USABLE_SHARE, busy, no_such_job
from ladderfield.view import View


class JobLookup:
    """Answers what state jobs are in."""

    def __init__(self, view: View, dependencies: DependencyGraph) -> None:
        self.view, self.dependencies = view, dependencies

    async def poll(self, uid: str) -> Reply:
        """The answer to a poll. Whatever is not final needs the proof that the view is fresh."""
        if not valid_uid(uid):
            return no_such_job()
        if (final := self.final(uid)) is not None:
            return final
        if not await self.view.fresh(POLL_S * USABLE_SHARE):
            return busy(1)
        return self.state(uid) or no_such_job()

    def final(self, uid: str) -> Reply | None:
        """The job's final state, or None if it has none in the view."""
        record = self.view.get(FINAL + uid)
        if record is None and self.dependencies.cancelled(uid):
            record = {"phase": CANCELLED}  # with another, for good: whatever it needs can never be done any more
        if record is None:
            return None
        return Reply(200, {"uid": uid, "phase": record["phase"], "done": record.get("done", 0), "running": 0})

    def state(self, uid: str) -> Reply | None:
        """The job's state in the view, or None if it isn't there."""
        if (final := self.final(uid)) is not None:
            return final
        if uid not in self.dependencies:
            return None
        done, claimed = self._tasks(uid)
        running = len(claimed - done)
        phase = "running" if running else "queued"
        return Reply(200, {"uid": uid, "phase": phase, "done": len(done), "running": running})

    def _tasks(self, uid: str) -> tuple[set[int], set[int]]:
        """The job's tasks that are done, and those that are claimed, on all pages."""
        done = set[int]()
        claimed = set[int]()
        number = 0
        while (page := self.view.get(page_key(number))) is not None:
            number += 1
            entry = page.get(uid)
            if entry is not None:
                for first, last in entry.get("d", ()):
                    done.update(range(first, last + 1))
                claimed.update(int(index) for index in entry.get("a", ()))
        return done, claimed
