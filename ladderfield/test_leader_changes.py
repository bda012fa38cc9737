"""Leaders change amid other troubles: no task twice, no job called done early, everything accepted is done."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.http import NoAnswerError
from ladderfield.testing import job
from ladderfield.testing.cluster import Cluster, cluster


async def replace_leader(whole: Cluster, away: float) -> None:
    """The leader's process ends, and is back after a while."""
    holders = [number for number, one in whole.controllers.items() if one.reports.inbox is not None]
    number = max(holders or whole.controllers)
    whole.crash(number)
    await trio.sleep(away)
    whole.start(number)


@pytest.mark.parametrize("outage", [False, True])
async def test_ten_leaders_in_two_minutes(monkeypatch: pytest.MonkeyPatch, outage: bool) -> None:
    async with cluster(monkeypatch) as whole:
        whole.run_s = 30.0
        uid = await whole.submit(rungs=24, expectS=30.0, owner="blue")
        steady = await whole.submit(uid="req-000002", shape="daemon", rungs=3)
        await whole.busy(uid)
        for turn in range(10):
            whole.state.down = outage and turn in (3, 4, 7)
            await replace_leader(whole, 1.0)
            await trio.sleep(3.0)
            whole.state.down = False
            await trio.sleep(8.0)
        await whole.until(1, uid, "done", 120)
        again = len(whole.starts(uid)) - 24
        assert again == 0, f"{again} tasks began anew though nothing but leaders was lost"
        assert len(whole.starts(steady)) == 3 and sum(whole.on().values()) == 3


@pytest.mark.parametrize("pause", [0.05, 0.3, 0.9])
async def test_over_and_back_within_a_second_and_one_returns(monkeypatch: pytest.MonkeyPatch, pause: float) -> None:
    """All end, amid an election too, one after the other is back alone, and no task is disturbed."""
    async with cluster(monkeypatch) as whole:
        whole.run_s = 30.0
        uid = await whole.submit(rungs=6, expectS=30.0, owner="blue")
        await whole.busy(uid)
        await trio.sleep(3.0)
        for alone in (1, 0, 2, 0, 1):
            for number in list(whole.controllers):
                whole.crash(number)
            await trio.sleep(pause)
            whole.start(alone)
            await trio.sleep(pause)
        await trio.sleep(2.0)
        for number in (0, 2):
            whole.start(number)
        await trio.sleep(4.0)
        await whole.until(1, uid, "done", 60)
        assert len(whole.starts(uid)) == 6


@pytest.mark.parametrize("away", [13.0, 40.0])
async def test_all_controllers_away_for_longer_than_a_lease(monkeypatch: pytest.MonkeyPatch, away: float) -> None:
    async with cluster(monkeypatch) as whole:
        whole.run_s = 20.0
        uid = await whole.submit(rungs=8, expectS=20.0)
        short = await whole.submit(uid="req-000002", rungs=2, owner="blue")
        steady = await whole.submit(uid="req-000003", shape="daemon", rungs=2, owner="blue")
        await whole.busy(uid)
        await trio.sleep(2.0)
        for number in range(3):
            whole.crash(number)
        await trio.sleep(away)
        for number in range(3):
            whole.start(number)
        await trio.sleep(5.0)
        for one in (uid, short):
            await whole.until(2, one, "done", 90)
        assert await whole.phase(0, steady) == "running" and sum(whole.on().values()) == 2


@pytest.mark.parametrize("every", [2, 3])
async def test_machines_that_work_at_once_while_writes_are_late_and_the_leader_ends(
    monkeypatch: pytest.MonkeyPatch, every: int
) -> None:
    """The scripted cloud's machines are up within a second. What the writes would have said comes after newer ones."""
    async with cluster(monkeypatch) as whole:
        whole.run_s = 15.0
        whole.state.late_every = every
        for number in range(1, 5):
            spec = {"uid": f"req-{number:06}", "rungs": 4, "owner": "blue", "expectS": 15.0}
            whole.nursery.start_soon(insist, whole, number % 3, spec)
        for _ in range(3):
            await trio.sleep(4.0)
            await replace_leader(whole, 0.5)
        await trio.sleep(8.0)
        whole.state.late_every = 0
        for number in range(1, 5):
            await whole.until(0, f"req-{number:06}", "done", 90)


async def test_a_claim_whose_write_is_late_when_the_leader_ends_has_started_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next leader can't know of it, and the write comes after its own."""
    async with cluster(monkeypatch) as whole:
        warm = await whole.submit(uid="req-000001", shape="daemon", rungs=4, cores=1.0, owner="blue")
        await whole.busy(warm)
        await trio.sleep(3.0)
        uid = await whole.submit(uid="req-000002", rungs=4, cores=3.0, owner="blue")
        whole.state.late_every = 1
        await trio.sleep(2.5)
        whole.state.late_every = 0
        await replace_leader(whole, 0.5)
        await trio.sleep(5.0)
        await whole.until(0, uid, "done", 60)
        assert len(whole.starts(uid)) == 4


async def insist(whole: Cluster, node: int, spec: dict[str, Any]) -> None:
    """Submit as a user does: again and again until a controller accepts."""
    body = job(**spec)
    whole.jobs[body["uid"]] = body
    while True:
        node = (node + 1) % 3
        if node in whole.controllers:
            try:
                status, _ = await whole.call(node, "POST", "/api/jobs", body)
            except (NoAnswerError, OSError):
                status = 0
            if status in (200, 201):
                return
        await trio.sleep(1.0)


@pytest.mark.parametrize("trouble", ["cut off", "deaf"])
async def test_a_leader_ends_while_machines_with_long_tasks_do_not_hear(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    async with cluster(monkeypatch) as whole:
        whole.run_s = 40.0
        uid = await whole.submit(rungs=8, expectS=40.0, cores=4.0, owner="blue")
        await whole.busy(uid)
        await trio.sleep(3.0)
        whole.cloud.down = True  # nothing can be deleted: only the lease can tell
        away = list(whole.cloud.workers.values())[:2]
        for worker in away:
            if trouble == "deaf":
                worker.deaf = True
            else:
                whole.net.cut.add(worker.address)
        await replace_leader(whole, 0.5)
        await trio.sleep(8.0)
        held = {name for worker in away for name in worker.on()}
        assert held
        await trio.sleep(6.0)
        whole.net.cut.clear()
        for worker in away:
            worker.deaf = False
        whole.cloud.down = False
        await whole.until(0, uid, "done", 120)


@pytest.mark.parametrize("lose_answers", [0, 1])
async def test_jobs_whose_tasks_end_far_apart_across_a_change(
    monkeypatch: pytest.MonkeyPatch, lose_answers: int
) -> None:
    async with cluster(monkeypatch) as whole:
        jobs = [await whole.submit(uid=f"req-{n:06}", rungs=2 + n % 2, cores=1.0) for n in range(1, 5)]
        for uid in jobs:
            await whole.busy(uid)
        await trio.sleep(1.0)
        for worker in whole.cloud.workers.values():
            for name in worker.on():
                worker.ends[name] = trio.current_time() + (1.0 if name.endswith("/0") else 25.0)
        for pause in (0.4, 1.2, 3.0, 6.0):
            await trio.sleep(pause)
            whole.state.lose_answers = lose_answers
            await replace_leader(whole, 0.3)
            for uid in jobs:
                assert await whole.phase(min(whole.controllers), uid) in ("queued", "running", "503"), "not_done"
        for uid in jobs:
            await whole.until(0, uid, "done", 60)
        assert len([entry for uid in jobs for entry in whole.starts(uid)]) == 2 + 3 + 2 + 3, "none ran again"
