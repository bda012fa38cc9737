"""Cancellations during another failure.

No task of the job starts after the cancellation was confirmed, and all of them have stopped within cancel_s of that.
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
    """Request the cancellation, with retries, until it is confirmed; the time of that."""
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


def running_tasks(whole: Cluster, uid: str) -> list[str]:
    """The job's tasks that are on machines."""
    return [name for name in whole.active_tasks() if name.startswith(f"{uid}/")]


async def assert_stopped_in_time(whole: Cluster, uid: str, confirmed_at: float, within: float = CANCEL_S) -> None:
    """All tasks stop in time; none starts after the confirmation, but for orders that were in flight by then."""
    await trio.sleep_until(confirmed_at + within)
    assert not running_tasks(whole, uid), f"ran_cancelled: {running_tasks(whole, uid)}"
    late = [(at - confirmed_at, name) for at, name, _ in whole.starts(uid) if at > confirmed_at + REPORT_S / 4]
    assert not late, f"started after the cancellation was confirmed: {late}"


@pytest.mark.parametrize("delay_s", [0.0, 1.0, 2.1, 2.6, 3.5])
async def test_a_job_cancelled_during_a_leader_change_stops_in_time(
    monkeypatch: pytest.MonkeyPatch, delay_s: float
) -> None:
    """During an election and the takeover that follows it."""
    async with cluster(monkeypatch) as whole:
        service = await whole.submit(shape="daemon", rungs=3)
        await whole.worker_running(service)
        array = await whole.submit(uid="req-000002", rungs=30, owner="blue")
        await whole.worker_running(array)
        old_leader = whole.leader()
        whole.crash(old_leader)
        await trio.sleep(delay_s)
        node = next(iter(whole.controllers))
        confirmed_at = await cancel(whole, node, service), await cancel(whole, node, array)
        whole.start(old_leader)
        await assert_stopped_in_time(whole, service, confirmed_at[0], CANCEL_S / 2)
        await assert_stopped_in_time(whole, array, confirmed_at[1], CANCEL_S / 2)


async def test_a_job_cancelled_while_the_watch_lags_stops_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without a notice the leader would go on starting the job's tasks for as long as its watch lags."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=400, owner="blue")
        await whole.worker_running(uid)
        await trio.sleep(8)
        for worker in whole.cloud.workers.values():
            worker.run_s = 0.4  # so that there is always a task to start
        await trio.sleep(6)
        whole.state.watch_lag_s = 6.0
        node = next(n for n in whole.controllers if n != whole.leader())
        confirmed_at = await cancel(whole, node, uid)
        await assert_stopped_in_time(whole, uid, confirmed_at, 5.0)


@pytest.mark.parametrize(
    ("hang_s", "cloud_down", "takeover"),
    [(8.0, True, False), (11.0, True, True), (60.0, False, False), (60.0, False, True)],
)
async def test_a_job_cancelled_while_its_machine_hangs_stops_in_time(
    monkeypatch: pytest.MonkeyPatch, hang_s: float, cloud_down: bool, takeover: bool
) -> None:
    """A machine that resumes within its lease runs the task until it is ordered to stop; another has to be deleted."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        worker = await whole.worker_running(uid)
        await trio.sleep(8)
        whole.cloud.down = cloud_down
        worker.hang(hang_s)
        if takeover:
            whole.crash(whole.leader())
        confirmed_at = await cancel(whole, next(iter(whole.controllers)), uid)
        await assert_stopped_in_time(whole, uid, confirmed_at)


async def test_a_cancellation_by_the_new_leader_stops_tasks_that_the_isolated_old_one_keeps(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader isolated from the state service and the other controllers goes on answering its workers.

    They receive no other answers and the cloud is down, so the tasks stop only when the leader's grace period, and then
    the workers' leases, have expired.
    """
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(shape="daemon", rungs=4)
        await whole.worker_running(uid)
        await trio.sleep(8)
        old_leader = whole.leader()
        whole.cloud.down = True
        await isolate(whole, old_leader)
        for worker in whole.cloud.workers.values():
            worker.withhold_orders = True  # /orders are held back
        await trio.sleep(6)
        new_leader = whole.leader()
        assert new_leader != old_leader
        confirmed_at = await cancel(whole, new_leader, uid)
        await trio.sleep(2)
        assert running_tasks(whole, uid), "its workers still follow the old leader"
        await assert_stopped_in_time(whole, uid, confirmed_at)


async def test_a_task_launched_by_an_order_in_flight_at_its_cancellation_is_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The order arrives after the cancellation, and again after the job's records were removed."""
    async with cluster(monkeypatch) as whole:
        await whole.submit(shape="daemon", rungs=1, loaners=False)
        worker = await whole.worker_running("req-000001")
        await trio.sleep(4)
        worker.withhold_orders = True
        uid = await whole.submit(uid="req-000002", rungs=1, loaners=False, shape="daemon")
        for _ in range(20):
            await trio.sleep(0.1)
            if worker.withheld_orders:
                break
        assert worker.withheld_orders, "the launch was sent by /orders"
        confirmed_at = await cancel(whole, 1, uid)
        await trio.sleep(4)
        worker.withhold_orders = False
        for body in worker.withheld_orders:
            worker.handle_orders(body)
        assert running_tasks(whole, uid) or worker.dead
        await trio.sleep_until(confirmed_at + CANCEL_S / 2)
        assert not running_tasks(whole, uid)
        for body in worker.withheld_orders:
            worker.handle_orders(body)
        await trio.sleep_until(confirmed_at + CANCEL_S)
        assert not running_tasks(whole, uid)
