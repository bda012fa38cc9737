"""Polling: the state of a job, derived from the records."""

from __future__ import annotations

from ladderfield.http import Reply
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import CANCELLED, FINAL_PREFIX, page_key, valid_uid
from ladderfield.jobs.responses import POLL_TIMEOUT_S, USABLE_SHARE, no_such_job, unavailable
from ladderfield.view import View


class JobLookup:
    """Looks up the states of jobs."""

    def __init__(self, view: View, dependencies: DependencyGraph) -> None:
        self.view, self.dependencies = view, dependencies

    async def poll(self, uid: str) -> Reply:
        """The reply to a poll. Unless the state is final, the view has to be confirmed as up to date first."""
        if not valid_uid(uid):
            return no_such_job()
        if (final := self.final(uid)) is not None:
            return final
        if not await self.view.fresh(POLL_TIMEOUT_S * USABLE_SHARE):
            return unavailable(1)
        return self.state(uid) or self.unknown()

    def unknown(self) -> Reply:
        """The reply for a job that a fresh view lacks: 404, or 503 if a record that can't be read may hold it."""
        return no_such_job() if self.view.complete else unavailable(2)

    def final(self, uid: str) -> Reply | None:
        """The reply with the job's final state, or None if the view has none."""
        record = self.view.get(FINAL_PREFIX + uid)
        if record is None and self.dependencies.cancelled(uid):
            record = {"phase": CANCELLED}  # with a job that it needs; final, as that job can never be done
        if record is None:
            return None
        return Reply(200, {"uid": uid, "phase": record["phase"], "done": record.get("done", 0), "running": 0})

    def state(self, uid: str) -> Reply | None:
        """The reply with the job's state in the view, or None if the job is not in the view."""
        if (final := self.final(uid)) is not None:
            return final
        if uid not in self.dependencies:
            return None
        done, claimed = self._tasks(uid)
        running = len(claimed - done)
        phase = "running" if running else "queued"
        return Reply(200, {"uid": uid, "phase": phase, "done": len(done), "running": running})

    def _tasks(self, uid: str) -> tuple[set[int], set[int]]:
        """Indexes of the job's done tasks and of its claimed tasks, from all pages."""
        done = set[int]()
        claimed = set[int]()
        page_number = 0
        while (page := self.view.get(page_key(page_number))) is not None:
            page_number += 1
            entry = page.get(uid)
            if entry is not None:
                for first, last in entry.get("d", ()):
                    done.update(range(first, last + 1))
                claimed.update(int(index) for index in entry.get("a", ()))
        return done, claimed
