"""Requests that were carried out and answered, and arrive once more later."""

from __future__ import annotations

import pytest
import trio

from ladderfield.testing import Worker
from ladderfield.testing.cluster import Cluster, cluster
from ladderfield.testing.network import ALL_WORKERS, Link
from ladderfield.testing.repeat_soak import run_repeat_soak

UID = "req-000002"
REPEATED_AFTER_S = (0.2, 5.0, 60.0)
LAST_REPEATED_AFTER_S = 600.0
HEALED_AFTER_S = 5.0


async def _deliver_again(worker: Worker) -> None:
    """Deliver every executed /orders request again, in both directions of their order."""
    for body in [*worker.executed_orders, *reversed(worker.executed_orders)]:
        worker.handle_orders(body)
    await trio.sleep(0.3)


async def _launch_directly(whole: Cluster, answered: bool) -> Worker:
    """Run a task by a direct order on a machine that a replica keeps; returns the machine's worker."""
    warm = await whole.submit(uid="req-000001", shape="daemon", rungs=1, loaners=False)
    worker = await whole.worker_running(warm)
    await trio.sleep(10)
    worker.run_s, worker.drop_answers = 30.0, not answered
    await whole.submit(uid=UID, rungs=1, loaners=False)
    assert await whole.worker_running(UID) is worker
    assert UID in str(worker.executed_orders), "launched by /orders"
    worker.drop_answers = False
    return worker


async def _end(whole: Cluster, worker: Worker, how: str) -> None:
    """Let the task on the worker end in one of the ways in which a task ends."""
    if how == "cancelled":
        await whole.call(0, "POST", f"/api/jobs/{UID}/cancel")
    elif how == "failed":
        worker.failing_jobs = {UID}
        worker.phase_ends[f"{UID}/0"] = trio.current_time()
    elif how == "preempted":
        await whole.submit(uid="req-000003", shape="daemon", rank="production", rungs=1, owner="blue", loaners=False)
    while UID in str(worker.active_tasks()):
        await trio.sleep(0.1)


async def _change(whole: Cluster, worker: Worker, change: str) -> None:
    """Let the leadership, or what the leader and the machine reach, change."""
    leader = whole.leader()
    if change == "the leader is back within a second":
        whole.crash(leader)
        await trio.sleep(0.3)
        whole.start(leader)
    elif change == "the leader hands over":
        term = whole.controllers[leader].leadership.term
        assert term is not None
        term.released = True
        term.end("test")
    elif change == "the leader works on its grace":
        whole.state.down = True
    elif change == "reports are relayed":
        whole.net.silent |= {Link(ALL_WORKERS, f"10.0.0.{leader + 1}"), Link(f"10.0.0.{leader + 1}", ALL_WORKERS)}
    elif change == "the machine hangs for a second":
        worker.hang(1.0)


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "not answered"])
@pytest.mark.parametrize("how", ["done", "cancelled", "failed", "preempted"])
@pytest.mark.parametrize(
    "change",
    [
        "nothing",
        "the leader is back within a second",
        "the leader hands over",
        "the leader works on its grace",
        "reports are relayed",
        "the machine hangs for a second",
    ],
)
async def test_a_repeated_launch_starts_nothing_however_its_attempt_has_ended(
    monkeypatch: pytest.MonkeyPatch, how: str, change: str, answered: bool
) -> None:
    async with cluster(monkeypatch) as whole:
        worker = await _launch_directly(whole, answered)
        await _end(whole, worker, how)
        await _change(whole, worker, change)
        begin, ended = trio.current_time(), {attempt for _, _, attempt in worker.ended}
        for after_s in [*REPEATED_AFTER_S, LAST_REPEATED_AFTER_S] if change == "nothing" else REPEATED_AFTER_S:
            await trio.sleep_until(begin + after_s)
            await _deliver_again(worker)
            started_again = [start for start in worker.started if start[0] > begin and start[2] in ended]
            assert not started_again, f"after {after_s} s"
            assert worker.session == 1, "the token must do it, not the session"
            if after_s == HEALED_AFTER_S:
                whole.state.down = False
                whole.net.heal()


@pytest.mark.parametrize("seed", range(1, 7))
async def test_no_rule_is_broken_while_requests_of_every_kind_are_repeated(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    repeated = await run_repeat_soak(monkeypatch, seed)
    assert repeated > 100
