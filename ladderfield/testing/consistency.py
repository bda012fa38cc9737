"""Simulated users that query, resubmit and cancel at all controllers, and a check that all answers are consistent.

Every answer is kept with the positions of its request and response in the global order. A request that starts after an
answer was received must not contradict it, whichever controller answers: an accepted job stays known, and a final phase
stays the same.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count

import trio

from ladderfield.http import NoAnswerError
from ladderfield.testing.cluster import Cluster

FINAL_PHASES = ("done", "cancelled")
VERBS = ("GET", "POST", "cancel")


@dataclass
class Observation:
    """A request and its answer."""

    asked_position: int  # positions in the order of all requests and answers, as many share one timestamp
    answered_position: int
    answered_at: float
    node: int
    verb: str
    status: int
    phase: str


class ConsistencyChecker:
    """Sends requests to the cluster and collects all answers by job."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.observations: dict[str, list[Observation]] = {}
        self._positions = count()

    async def ask(self, node: int, verb: str, uid: str) -> Observation | None:
        """Send one request and record its answer; None if there was none."""
        spec, asked_position = self.cluster.jobs[uid], next(self._positions)
        path = "/api/jobs" + ("" if verb == "POST" else f"/{uid}" + ("/cancel" if verb == "cancel" else ""))
        try:
            status, answer = await self.cluster.call(
                node, "GET" if verb == "GET" else "POST", path, spec if verb == "POST" else None
            )
        except (NoAnswerError, OSError):
            return None
        observation = Observation(
            asked_position, next(self._positions), trio.current_time(), node, verb, status, answer.get("phase", "")
        )
        self.observations.setdefault(uid, []).append(observation)
        if observation.phase == "done":
            ran = {name for _, name, _ in self.cluster.starts(uid)}
            assert len(ran) == spec["rungs"] and not self.active_tasks(uid), f"not_done: {observation}"
        return observation

    async def ask_concurrently(
        self, uid: str, duration_s: float, verbs: Iterable[str] = VERBS, interval_s: float = 0.02
    ) -> None:
        """Repeat requests of all kinds at all controllers."""
        begin = trio.current_time()
        async with trio.open_nursery() as users:
            while trio.current_time() < begin + duration_s:
                for verb in verbs:
                    for node in range(3):
                        users.start_soon(self.ask, node, verb, uid)
                        await trio.sleep(0.001)
                await trio.sleep(interval_s)

    def active_tasks(self, uid: str) -> list[str]:
        """The job's tasks that are active on machines."""
        return [name for name in self.cluster.active_tasks() if name.startswith(f"{uid}/")]

    def first_answer(self, uid: str, *phases: str) -> Observation | None:
        """The first successful answer with one of these phases."""
        matching = [
            observation
            for observation in self.observations[uid]
            if observation.status in (200, 201) and observation.phase in phases
        ]
        return min(matching, key=lambda observation: observation.answered_position, default=None)

    def check(self) -> None:
        """Assert that no answer contradicts one received before its request, and that no two final phases differ."""
        for uid, observations in self.observations.items():
            accepted = self.first_answer(uid, "queued", "running", *FINAL_PHASES)
            finals = {phase: self.first_answer(uid, phase) for phase in FINAL_PHASES}
            for observation in observations:
                if accepted is not None and observation.asked_position > accepted.answered_position:
                    assert observation.status not in (400, 404, 422), f"forgotten: {uid} {accepted} {observation}"
                for phase, final in finals.items():
                    if (
                        final is not None
                        and observation.asked_position > final.answered_position
                        and observation.status in (200, 201)
                    ):
                        assert observation.phase == phase, f"went_back: {uid} {final} {observation}"
            assert not all(finals.values()), f"went_back: {uid} {finals}"
