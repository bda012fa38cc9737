"""Nothing is left behind: once the troubles are over, what fits and is allowed begins, and what is over is cleared."""

from __future__ import annotations

import pytest
import trio

from ladderfield.foreman.test_desk import Stage, launched, rung
from ladderfield.testing_cluster import cluster

WAIT = 90.0  # seconds that no job may wait once a machine that fits has room


def begins(stage: Stage, uid: str, hosts: str = "m", since: float = 2.0) -> bool:
    """Machines report without any task, twice in a report interval; whether the job is launched in time."""
    for step in range(int(WAIT)):
        now = since + step
        stage.desk.sweep(now)
        for host in hosts:
            orders = stage.report(host, now=now)
            stage.record(now)
            if any(order["verb"] == "launch" and order["rung"].startswith(uid) for order in orders):
                return True
    return False


@pytest.mark.parametrize("others", ["", "abc"])
def test_a_job_whose_task_failed_comes_back_to_the_only_machine_that_fits(others: str) -> None:
    stage = Stage()
    for host in others:
        stage.report(host, yard="zb")
    attempt = launched(stage, 1, yard="za")
    stage.report(rungs=(rung(0, attempt, "exited", "error"),), now=2.0)
    assert not stage.report(now=2.5), "after a pause"
    assert begins(stage, "req-000001", "m" + others, 3.0)


@pytest.mark.parametrize("answer", [None, 409])
def test_a_task_stopped_for_room_before_its_lost_launch_shows_starts_anew(answer: int | None) -> None:
    stage = Stage()
    stage.submit(rungs=1)
    stage.report()
    stage.record()
    machine = stage.machine()
    (order,) = stage.desk.sessions.orders(machine, 1.0, None)
    stage.desk.stop(machine.claims["req-000001", 0], "preempted", 2.0)
    if answer is not None:
        stage.desk.sessions.answered(machine, [order["try"]], False)
    listed: dict[str, dict] = {}
    for step in range(int(WAIT)):
        for told in stage.report(rungs=tuple(listed.values()), now=2.0 + step):
            if told["verb"] == "launch":
                listed.setdefault(told["rung"], rung(0, told["try"]))
            elif listed.get(told["rung"], {}).get("try") == told["try"]:
                listed[told["rung"]] |= {"phase": "exited", "cause": "stopped"}
        if step == 10 and answer is None:
            assert machine.doubts == {order["try"]: 1}, "the copy may still come"
        stage.report("other", now=2.0 + step)
        stage.record(2.0 + step)
        if stage.desk.jobs["req-000001"].claims[0].attempt != order["try"]:
            assert answer or listed["req-000001/0"]["try"] == order["try"], "which what is listed makes harmless"
            return
    raise AssertionError("stranded")


@pytest.mark.parametrize("shape", ["array", "daemon"])
@pytest.mark.parametrize("placement", ["spread", "oneZone"])
async def test_machines_are_rented_where_the_jobs_other_tasks_allow_one(
    monkeypatch: pytest.MonkeyPatch, placement: str, shape: str
) -> None:
    async with cluster(monkeypatch) as whole:
        whole.run_s = 200.0
        first = await whole.submit(shape="daemon", rungs=1, cores=1.0, yard="zb" if placement == "oneZone" else None)
        await whole.busy(first)
        uid = await whole.submit(uid="req-000002", shape=shape, rungs=3, cores=3.0, expectS=200.0, **{placement: True})
        await trio.sleep(60)
        workers = whole.cloud.workers.values()
        zones = sorted(str(one.about["yard"]) for one in workers for name in one.on() if name.startswith(uid))
        assert zones in ([["za", "za", "zb"], ["za", "zb", "zb"]] if placement == "spread" else [["zb"] * 3])
