"""Nothing is left behind: once the troubles are over, what fits and is allowed begins, and what is over is cleared."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.fleet.plan import Planner
from ladderfield.leader.scheduler import Scheduler
from ladderfield.testing.cluster import cluster
from ladderfield.testing.leader import SchedulerHarness, launched, launched_by_push, rung

WAIT = 90.0  # seconds that no job may wait once a machine that fits has room


def begins(harness: SchedulerHarness, uid: str, hosts: str = "m", since: float = 2.0) -> bool:
    """Machines report without any task, twice in a report interval; whether the job is launched in time."""
    for step in range(int(WAIT)):
        now = since + step
        harness.scheduler.sweep(now)
        for host in hosts:
            orders = harness.report(host, now=now)
            harness.record(now)
            if any(order["verb"] == "launch" and order["rung"].startswith(uid) for order in orders):
                return True
    return False


@pytest.mark.parametrize("others", ["", "abc"])
def test_a_job_whose_task_failed_comes_back_to_the_only_machine_that_fits(others: str) -> None:
    harness = SchedulerHarness()
    for host in others:
        harness.report(host, yard="zb")
    attempt = launched(harness, 1, yard="za")
    harness.report(rungs=(rung(0, attempt, "exited", "error"),), now=2.0)
    assert not harness.report(now=2.5), "after a pause"
    assert begins(harness, "req-000001", "m" + others, 3.0)


@pytest.mark.parametrize("answer", [None, 409])
def test_a_task_stopped_for_room_before_its_lost_launch_shows_starts_anew(answer: int | None) -> None:
    harness = SchedulerHarness()
    machine, order = launched_by_push(harness)
    harness.scheduler.stop(machine.claims["req-000001", 0], "preempted", 2.0)
    if answer is not None:
        harness.scheduler.sessions.answered(machine, [order["try"]], False)
    listed: dict[str, dict[str, Any]] = {}
    for step in range(int(WAIT)):
        for told in harness.report(rungs=tuple(listed.values()), now=2.0 + step):
            if told["verb"] == "launch":
                listed.setdefault(told["rung"], rung(0, told["try"]))
            elif listed.get(told["rung"], {}).get("try") == told["try"]:
                listed[told["rung"]] |= {"phase": "exited", "cause": "stopped"}
        if step == 10 and answer is None:
            assert machine.unanswered_launches == {order["try"]: 1}, "the copy may still come"
        harness.report("other", now=2.0 + step)
        harness.record(2.0 + step)
        if harness.scheduler.jobs["req-000001"].claims[0].attempt != order["try"]:
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


@pytest.mark.parametrize("how", ["deleted", "silent", "sick", "recalled", "deaf"])
def test_what_was_dealt_to_a_machine_that_is_lost_starts_on_another(how: str) -> None:
    harness = SchedulerHarness()
    harness.report()
    harness.submit(rungs=8, owner="blue")
    harness.scheduler.schedule(1.0)
    assert harness.machine().queue and len(harness.machine().claims) == 2
    lost = harness.machine()
    if how == "deleted":
        harness.scheduler.forget("m", 2.0)
    elif how == "deaf":
        harness.scheduler.sessions.ignored(lost, 2, 2.0)
    elif how == "recalled":
        harness.report(now=2.0, recallS=30.0)
    elif how == "sick":
        lost.sick = True
    for now in (8.0, 8.5):
        harness.scheduler.sweep(now)
        for host in "abc":
            harness.report(host, now=now)
    elsewhere = {index for one in "abc" for (_, index) in harness.machine(one).claims}
    assert len(elsewhere) == 6 and elsewhere >= {2, 3, 4, 5, 6, 7} - {index for (_, index) in lost.claims}


def test_room_cleared_for_a_replica_that_is_cancelled_goes_to_others() -> None:
    harness = SchedulerHarness()
    attempt = launched(harness, 2)
    both = (rung(0, attempt), rung(1, attempt + 1))
    harness.report(rungs=both, now=2.0)
    harness.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    harness.scheduler.schedule(2.0)
    assert harness.machine().hold_until > 2.0
    harness.tell("req-000002", "cancelled")
    gone = (rung(0, attempt, "exited", "stopped"), rung(1, attempt + 1, "exited", "stopped"))
    harness.report(rungs=gone, now=3.0)
    assert begins(harness, "req-000001")


@pytest.mark.parametrize("takeover", [False, True])
async def test_long_tasks_get_done_beside_workers_that_can_not_report(
    monkeypatch: pytest.MonkeyPatch, takeover: bool
) -> None:
    """Direct commands reach them, so that they look well; but their lease runs out, and with it all that runs there."""
    async with cluster(monkeypatch) as whole:
        whole.run_s = 25.0
        steady = await whole.submit(shape="daemon", rungs=8, cores=4.0, owner="blue")
        await whole.busy(steady)
        mute = list(whole.cloud.workers.values())[:3]
        for worker in mute:
            worker.mute = True
        if takeover:
            whole.crash(whole.leader())
        await trio.sleep(20)
        node = whole.leader()
        uid = await whole.submit(node, uid="req-000002", rungs=2, cores=4.0, owner="blue", expectS=25.0)
        await whole.until(node, uid, "done", WAIT)
        on = {name for worker in whole.cloud.workers.values() if worker not in mute for name in worker.on()}
        assert len([name for name in on if name.startswith(steady)]) == 8, "replicas moved to machines that report"


async def test_a_zone_that_was_cut_for_longer_than_a_lease_works_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        bound = await whole.submit(rungs=6, cores=4.0, owner="blue", yard="za")
        anywhere = await whole.submit(uid="req-000002", rungs=6, cores=4.0, owner="blue", rank="urgent")
        await whole.busy(bound)
        away = [one.address for one in whole.cloud.workers.values()]
        whole.net.cut.update(away)
        whole.cloud.down = True
        await trio.sleep(20)
        whole.net.cut.difference_update(away)
        whole.cloud.down = False
        for uid in (bound, anywhere):
            await whole.until(1, uid, "done", WAIT)


async def test_small_jobs_that_come_fast_leave_nothing_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    """Four a second, a quarter cancelled: what is to be written keeps up, and all of it is cleared once they end."""
    desks: list[Scheduler] = []
    load = Scheduler.load

    def noted(scheduler: Scheduler, data: dict[str, Any], now: float) -> None:
        desks.append(scheduler)
        load(scheduler, data, now)

    monkeypatch.setattr(Scheduler, "load", noted)
    async with cluster(monkeypatch) as whole:
        whole.cloud.capacity, seconds, most = 60, 90, 0

        async def one(number: int) -> None:
            uid = await whole.submit(number % 3, uid=f"req-{number:06}", rungs=1, cores=1.0, owner="blue")
            if number % 4 == 0:
                await trio.sleep(number % 20 / 2)
                await whole.call((number + 1) % 3, "POST", f"/api/jobs/{uid}/cancel")

        async with trio.open_nursery() as users:
            for number in range(4 * seconds):
                users.start_soon(one, number)
                await trio.sleep(0.25)
                (scheduler,) = desks
                most = max(most, len(scheduler.jobs) + len(scheduler.clearable_records) + len(scheduler.pages.pages))
        assert most < 20 * 4, "twenty seconds' worth, of which a task takes five"
        await trio.sleep(20)
        assert not [key for key in whole.state.keys if key.startswith("lf/j/")]
        assert not (
            scheduler.jobs
            or scheduler.cancelled_at
            or scheduler.clearable_records
            or scheduler.complete
            or scheduler.unsettled
            or scheduler.unrecorded
        )
        assert all(page.size < 100 for page in scheduler.pages.pages)
        assert not any(
            machine.claims or machine.queue or machine.unanswered_launches for machine in scheduler.machines.values()
        )


def test_pages_keep_nothing_of_a_job_that_is_cancelled_half_done() -> None:
    harness = SchedulerHarness()
    attempt = launched(harness, 2)
    empty = harness.scheduler.pages.pages[0].size
    harness.report(rungs=(rung(0, attempt, "exited", "done"), rung(1, attempt + 1)), now=2.0)
    harness.record()
    harness.tell(phase="cancelled")
    harness.report(rungs=(rung(1, attempt + 1, "exited", "stopped"),), now=3.0)
    harness.record()
    assert harness.scheduler.pages.pages[0].size < empty and not harness.scheduler.pages.pages[0].value()
    assert not (harness.scheduler.jobs or harness.scheduler.cancelled_at or harness.scheduler.clearable_records)


def test_the_room_of_machines_that_can_not_report_is_rented_anew_unless_most_are_so() -> None:
    for reporting, rented in (("ab", 1), ("", 0)):
        harness = SchedulerHarness()
        harness.submit(owner="blue", rungs=3, cores=4.0, expectS=500.0)
        for host in ("m", *reporting):
            harness.report(host)
        (claim,) = harness.machine().claims.values()
        harness.scheduler.end(claim, False, 2.0)
        for host in reporting:
            harness.report(host, now=10.0)
        harness.machine().fresh_at = 10.0  # it answers what we send
        harness.scheduler.sweep(10.0)
        assert harness.machine().cannot_report
        waiting = harness.scheduler.jobs["req-000001"].waiting
        assert sum(one.count for one in Planner(harness.scheduler).rentals(10.0)) == waiting - 1 + rented
