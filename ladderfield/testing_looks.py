"""Users who look closely, for the tests: they ask, submit again and cancel at all controllers within milliseconds.

Every answer is kept with when it was asked for and when it came. What was told before a question was asked binds the
answer to it, whoever gives it: a job that was accepted stays known, one that was called over stays what it was called.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

import trio

from ladderfield.http import NoAnswer
from ladderfield.testing_cluster import Cluster

FINAL = ("done", "cancelled")
VERBS = ("GET", "POST", "cancel")


@dataclass
class Look:
    """A question and its answer."""

    began: int  # places in the order of all that was asked and answered: many have the same time
    ended: int
    at: float  # when it was answered
    node: int
    verb: str
    status: int
    phase: str


class Looks:
    """All answers to users, by job."""

    def __init__(self, whole: Cluster) -> None:
        self.whole = whole
        self.seen: dict[str, list[Look]] = {}
        self._order = count()

    async def ask(self, node: int, verb: str, uid: str) -> Look | None:
        """One request, and what came of it; None if there was no answer."""
        spec, began = self.whole.jobs[uid], next(self._order)
        path = "/api/jobs" + ("" if verb == "POST" else f"/{uid}" + ("/cancel" if verb == "cancel" else ""))
        try:
            status, answer = await self.whole.call(
                node, "GET" if verb == "GET" else "POST", path, spec if verb == "POST" else None
            )
        except (NoAnswer, OSError):
            return None
        look = Look(began, next(self._order), trio.current_time(), node, verb, status, answer.get("phase", ""))
        self.seen.setdefault(uid, []).append(look)
        if look.phase == "done":
            ran = {name for _, name, _ in self.whole.starts(uid)}
            assert len(ran) == spec["rungs"] and not self.on(uid), f"not_done: {look}"
        return look

    async def crowd(self, uid: str, for_s: float, verbs: Iterable[str] = VERBS, every_s: float = 0.02) -> None:
        """All kinds of requests at all controllers, again and again."""
        begin = trio.current_time()
        async with trio.open_nursery() as users:
            while trio.current_time() < begin + for_s:
                for verb in verbs:
                    for node in range(3):
                        users.start_soon(self.ask, node, verb, uid)
                        await trio.sleep(0.001)
                await trio.sleep(every_s)

    def on(self, uid: str) -> list[str]:
        """The job's tasks that are on machines."""
        return [name for name in self.whole.on() if name.startswith(f"{uid}/")]

    def told(self, uid: str, *phases: str) -> Look | None:
        """The first answer that said this of the job."""
        told = [look for look in self.seen[uid] if look.status in (200, 201) and look.phase in phases]
        return min(told, key=lambda look: look.ended, default=None)

    def check(self) -> None:
        """No answer is older than one that was there before it was asked for, and no final one contradicts another."""
        for uid, looks in self.seen.items():
            accepted = self.told(uid, "queued", "running", *FINAL)
            finals = {phase: self.told(uid, phase) for phase in FINAL}
            for look in looks:
                if accepted is not None and look.began > accepted.ended:
                    assert look.status not in (400, 404, 422), f"forgotten: {uid} {accepted} {look}"
                for phase, final in finals.items():
                    if final is not None and look.began > final.ended and look.status in (200, 201):
                        assert look.phase == phase, f"went_back: {uid} {final} {look}"
            assert not all(finals.values()), f"went_back: {uid} {finals}"
