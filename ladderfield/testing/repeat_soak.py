"""A seeded run of a cluster in which requests of every kind arrive once more, while controllers and machines fail."""

from __future__ import annotations

from random import Random

import pytest
import trio

from ladderfield.http import NoAnswerError
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.consistency import ConsistencyChecker
from ladderfield.testing.repeater import MAX_DELAY_S
from ladderfield.testing.samples import job

REPEATED_SHARE = 0.4
TROUBLES_S = 150.0
SETTLED_WITHIN_S = 240.0
MAX_PAUSE_S = 2.0  # between two events
MAX_SERVICES = 4  # they run until the end, and the arrays need room beside them
BACK_AFTER_S = 0.3  # a process that has ended
MAX_CUT_S = 20.0  # longer than a worker's lease
NEVER_SUBMITTED = "req-999999"
EVENTS = ("submit", "submit", "submit", "serve", "cancel", "fail", "crash", "cut", "hang", "ask")


class RepeatSoak:
    """Users and troubles of one run."""

    def __init__(self, whole: Cluster, seed: int) -> None:
        self.whole, self.random = whole, Random(seed)
        self.checker = ConsistencyChecker(whole)
        self.cancelled: set[str] = set()
        whole.net.repeater.random.seed(seed)
        whole.net.repeater.share = REPEATED_SHARE

    async def run(self) -> None:
        """Play the troubles, wait until all jobs are served, then let the last copies arrive."""
        ends_at = trio.current_time() + TROUBLES_S
        while trio.current_time() < ends_at:
            await self._play(self.random.choice(EVENTS))
            await trio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))
        await self._settle()
        self.whole.net.repeater.share = 0.0
        await trio.sleep(MAX_DELAY_S)
        await self._ask_all()
        self.checker.check()
        assert not self.whole.violations, self.whole.violations

    async def _play(self, event: str) -> None:
        uid = self.random.choice([*self.whole.jobs, NEVER_SUBMITTED])
        workers = [worker for worker in self.whole.cloud.workers.values() if not worker.dead]
        if event in ("submit", "serve"):
            services = sum(spec["shape"] == "daemon" for spec in self.whole.jobs.values())
            await self._submit(event == "serve" and services < MAX_SERVICES)
        elif event == "cancel" and uid in self.whole.jobs:
            self.cancelled.add(uid)
            self.whole.nursery.start_soon(self._request_until_answered, "cancel", uid)
        elif event == "crash":
            self.whole.nursery.start_soon(self._crash, self.random.choice(sorted(self.whole.controllers)))
        elif event == "ask":
            await self._ask(uid)
        elif workers:
            worker = self.random.choice(workers)
            if event == "fail":
                worker.failing_jobs = set(self.random.sample(sorted(self.whole.jobs), len(self.whole.jobs) // 2))
            elif event == "hang":
                worker.hang(self.random.uniform(0.0, worker.lease_s / 2))
            else:
                self.whole.nursery.start_soon(self._cut, worker.address)

    async def _submit(self, service: bool) -> None:
        uid = f"req-{len(self.whole.jobs) + 1:06d}"
        self.whole.jobs[uid] = job(
            uid,
            shape="daemon" if service else "array",
            rank="production" if service else self.random.choice(("urgent", "standard", "best_effort")),
            owner=self.random.choice(("red", "red", "blue")),
            rungs=self.random.randint(1, 2 if service else 4),
            cores=1.0 if service else float(self.random.randint(1, 4)),
            loaners=not service,
        )
        await self._request_until_answered("POST", uid)

    async def _request_until_answered(self, verb: str, uid: str) -> None:
        while True:
            for node in self.random.sample(range(3), 3):
                observation = await self.checker.ask(node, verb, uid)
                if observation is not None and observation.status in (200, 201):
                    return
            await trio.sleep(1.0)

    async def _crash(self, number: int) -> None:
        if number in self.whole.controllers:
            self.whole.crash(number)
            await trio.sleep(BACK_AFTER_S)
            self.whole.start(number)

    async def _cut(self, address: str) -> None:
        self.whole.net.cut.add(address)
        await trio.sleep(self.random.uniform(0.0, MAX_CUT_S))
        self.whole.net.cut.discard(address)

    async def _ask(self, uid: str) -> str:
        """A job's phase at some controller; asks about a job that was never submitted too."""
        node = self.random.randrange(3)
        if uid != NEVER_SUBMITTED:
            observation = await self.checker.ask(node, "GET", uid)
            return "" if observation is None else observation.phase
        try:
            status, _ = await self.whole.call(node, "GET", f"/api/jobs/{uid}")
        except (NoAnswerError, OSError):
            return ""
        assert status in (404, 503), f"invented: {status}"
        return ""

    async def _ask_all(self) -> None:
        for uid in self.whole.jobs:
            await self._ask(uid)

    def _expected_phases(self, uid: str) -> tuple[str, ...]:
        if uid in self.cancelled:
            return ("cancelled", "done")
        return ("running",) if self.whole.jobs[uid]["shape"] == "daemon" else ("done",)

    async def _settle(self) -> None:
        """Wait until each job has ended or runs; machines fail no tasks any more."""
        for worker in self.whole.cloud.workers.values():
            worker.failing_jobs = set()
        waiting, ends_at = set(self.whole.jobs), trio.current_time() + SETTLED_WITHIN_S
        while waiting:
            assert trio.current_time() < ends_at, f"not served: {sorted(waiting)}"
            waiting = {uid for uid in waiting if await self._ask(uid) not in self._expected_phases(uid)}
            await trio.sleep(1.0)


async def run_repeat_soak(monkeypatch: pytest.MonkeyPatch, seed: int) -> int:
    """Play one seed; returns how many requests were repeated. Fails on the first violation."""
    async with cluster(monkeypatch) as whole:
        soak = RepeatSoak(whole, seed)
        await soak.run()
        return sum(whole.net.repeater.repeated.values())
