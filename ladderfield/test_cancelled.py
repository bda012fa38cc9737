"""Cancellations that meet another trouble.

Nothing of the job starts after its user was told, and all of it is gone within cancel_s of that.
"""

from __future__ import annotations

import pytest
import trio

from ladderfield.testing import SETTINGS
from ladderfield.testing.cluster import Cluster, cluster, isolate

CANCEL_S = SETTINGS["cluster"]["workers"]["cancel_s"]
LEASE_S = SETTINGS["cluster"]["workers"]["lease_s"]
REPORT_S = SETTINGS["cluster"]["workers"]["report_s"]


async def cancel(whole: Cluster, node: int, uid: str) -> float:
    """Ask as a user does, again and again, until it is confirmed; when that was."""
    for _ in range(100):
        try:
            status, answer = await whole.call(node, "POST", f"/api/jobs/{uid}/cancel")
        except Exception:
            status, answer = 0, {}
        if status == 200:
            assert answer["phase"] == "cancelled"
            return trio.current_time()
        await trio.sleep(0.2)
    raise AssertionError(f"{uid} could not be cancelled")


def left(whole: Cluster, uid: str) -> list[str]:
    """Tasks of the job that are on machines."""
    return [name for name in whole.on() if name.startswith(f"{uid}/")]


async def gone(whole: Cluster, uid: str, confirmed: float, within: float = CANCEL_S) -> None:
    """All tasks are off in time, and none began long after its user was told, as the order was on its way already."""
    await trio.sleep_until(confirmed + within)
    assert not left(whole, uid), f"ran_cancelled: {left(whole, uid)}"
    late = [(began - confirmed, name) for began, name, _ in whole.starts(uid) if began > confirmed + REPORT_S / 4]
    assert not late, f"started after it was confirmed as cancelled: {late}"


@pytest.mark.parametrize("after", [0.0, 1.0, 2.1, 2.6, 3.5])
async def test_cancelled_while_work_changes_hands(monkeypatch: pytest.MonkeyPatch, after: float) -> None:
    """In the seconds of an election and of the takeover that follows it."""
    async with cluster(monkeypatch) as whole:
        long = await whole.submit(shape="daemon", rungs=3)
        await whole.busy(long)
        short = await whole.submit(uid="req-000002", rungs=30, owner="blue")
        await whole.busy(short)
        first = whole.leader()
        whole.crash(first)
        await trio.sleep(after)
        node = next(iter(whole.controllers))
        confirmed = await cancel(whole, node, long), await cancel(whole, node, short)
        whole.start(first)
        await gone(whole, long, confirmed[0], CANCEL_S / 2)
        await gone(whole, short, confirmed[1], CANCEL_S / 2)


async def test_cancelled_while_the_state_service_tells_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """The leader would start the job's next tasks for as long as its view lags, were it not told at once."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=400, owner="blue")
        await whole.busy(uid)
        await trio.sleep(8)
        for worker in whole.cloud.workers.values():
            worker.run_s = 0.4  # so that there is always one to start
        await trio.sleep(6)
        whole.state.watch_lag = 6.0
        node = next(n for n in whole.controllers if n != whole.leader())
        confirmed = await cancel(whole, node, uid)
        await gone(whole, uid, confirmed, 5.0)


@pytest.mark.parametrize(
    ("hang_s", "cloud_down", "takeover"),
    [(8.0, True, False), (11.0, True, True), (60.0, False, False), (60.0, False, True)],
)
async def test_cancelled_while_its_machine_hangs(
    monkeypatch: pytest.MonkeyPatch, hang_s: float, cloud_down: bool, takeover: bool
) -> None:
    """One that resumes within its lease goes on with the task until it is told; one that doesn't has to be deleted."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        worker = await whole.busy(uid)
        await trio.sleep(8)
        whole.cloud.down = cloud_down
        worker.hang(hang_s)
        if takeover:
            whole.crash(whole.leader())
        confirmed = await cancel(whole, next(iter(whole.controllers)), uid)
        await gone(whole, uid, confirmed)


async def test_cancelled_through_the_next_leader_while_one_keeps_its_workers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader without the state service and the other controllers goes on answering its workers.

    They hear nobody else, and the cloud is down, so that only the end of its grace period, and then of their leases,
    stops the tasks.
    """
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.busy(uid)
        await trio.sleep(8)
        first = whole.leader()
        whole.cloud.down = True
        await isolate(whole, first)
        for worker in whole.cloud.workers.values():
            worker.hold = True  # /orders don't arrive
        await trio.sleep(6)
        other = whole.leader()
        assert other != first
        confirmed = await cancel(whole, other, uid)
        await trio.sleep(2)
        assert left(whole, uid), "its workers are still with the leader before"
        await gone(whole, uid, confirmed)


async def test_started_from_an_order_that_was_under_way_when_it_was_cancelled(monkeypatch: pytest.MonkeyPatch) -> None:
    """The machine then goes on with it; after the job was cleared away, too."""
    async with cluster(monkeypatch) as whole:
        await whole.submit(shape="daemon", rungs=1, loaners=False)
        worker = await whole.busy("req-000001")
        await trio.sleep(4)
        worker.hold = True
        uid = await whole.submit(uid="req-000002", rungs=1, loaners=False, shape="daemon")
        for _ in range(20):
            await trio.sleep(0.1)
            if worker.held:
                break
        assert worker.held, "the launch went out by /orders"
        confirmed = await cancel(whole, 1, uid)
        await trio.sleep(4)
        worker.hold = False
        for body in worker.held:
            worker.late(body)
        assert left(whole, uid) or worker.dead
        await trio.sleep_until(confirmed + CANCEL_S / 2)
        assert not left(whole, uid)
        for body in worker.held:
            worker.late(body)
        await trio.sleep_until(confirmed + CANCEL_S)
        assert not left(whole, uid)
