"""Users for the tests who ask, submit again and cancel at all controllers, and a check that all answers are consistent.

Every answer is kept with when it was asked for and when it came. What was told before a question was asked binds the
answer to it, whoever gives it: a job that was accepted stays known, one that was called over stays what it was called.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

import trio

from ladderfield.http import NoAnswerError
from ladderfield.testing.cluster import Cluster

FINAL = ("done", "cancelled")
VERBS = ("GET", "POST", "cancel")


@dataclass
class Observation:
    """A question and its answer."""

    began: int  # places in the order of all that was asked and answered: many have the same time
    ended: int
    at: float  # when it was answered
    node: int
    verb: str
    status: int
    phase: str


class ConsistencyChecker:
    """All answers to users, by job."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.seen: dict[str, list[Observation]] = {}
        self._order = count()

    async def ask(self, node: int, verb: str, uid: str) -> Observation | None:
        """One request, and what came of it; None if there was no answer."""
        spec, began = self.cluster.jobs[uid], next(self._order)
        path = "/api/jobs" + ("" if verb == "POST" else f"/{uid}" + ("/cancel" if verb == "cancel" else ""))
        try:
            status, answer = await self.cluster.call(
                node, "GET" if verb == "GET" else "POST", path, spec if verb == "POST" else None
            )
        except (NoAnswerError, OSError):
            return None
        observation = Observation(
            began, next(self._order), trio.current_time(), node, verb, status, answer.get("phase", "")
        )
        self.seen.setdefault(uid, []).append(observation)
        if observation.phase == "done":
            ran = {name for _, name, _ in self.cluster.starts(uid)}
            assert len(ran) == spec["rungs"] and not self.on(uid), f"not_done: {observation}"
        return observation

    async def ask_concurrently(
        self, uid: str, for_s: float, verbs: Iterable[str] = VERBS, every_s: float = 0.02
    ) -> None:
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
        return [name for name in self.cluster.on() if name.startswith(f"{uid}/")]

    def first_answer(self, uid: str, *phases: str) -> Observation | None:
        """The first answer that said this of the job."""
        matching = [
            observation
            for observation in self.seen[uid]
            if observation.status in (200, 201) and observation.phase in phases
        ]
        return min(matching, key=lambda observation: observation.ended, default=None)

    def check(self) -> None:
        """No answer is older than one that was there before it was asked for, and no final one contradicts another."""
        for uid, observations in self.seen.items():
            accepted = self.first_answer(uid, "queued", "running", *FINAL)
            finals = {phase: self.first_answer(uid, phase) for phase in FINAL}
            for observation in observations:
                if accepted is not None and observation.began > accepted.ended:
                    assert observation.status not in (400, 404, 422), f"forgotten: {uid} {accepted} {observation}"
                for phase, final in finals.items():
                    if final is not None and observation.began > final.ended and observation.status in (200, 201):
                        assert observation.phase == phase, f"went_back: {uid} {final} {observation}"
            assert not all(finals.values()), f"went_back: {uid} {finals}"
