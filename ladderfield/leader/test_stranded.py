"""After failures nothing stays stranded: tasks that fit and are allowed start, and finished jobs are removed."""

from __future__ import annotations

from typing import Any

import pytest
import trio

from ladderfield.changes import Change
from ladderfield.fleet.plan import Planner
from ladderfield.leader.scheduler import Scheduler
from ladderfield.testing import accepted, job
from ladderfield.testing.cluster import cluster
from ladderfield.testing.leader import SchedulerHarness, launch_by_push, launch_job, reported_task

MAX_WAIT_S = 90.0  # once a machine that fits has free capacity


def is_launched(harness: SchedulerHarness, uid: str, hosts: str = "m", since: float = 2.0) -> bool:
    """Whether the job is launched within MAX_WAIT_S while machines report, twice per report interval, without tasks."""
    for step in range(int(MAX_WAIT_S)):
        now = since + step
        harness.scheduler.sweep(now)
        for host in hosts:
            orders = harness.report(host, now=now)
            harness.write_records(now)
            if any(order["verb"] == "launch" and order["rung"].startswith(uid) for order in orders):
                return True
    return False


@pytest.mark.parametrize("others", ["", "abc"])
def test_a_failed_task_is_retried_on_the_only_machine_that_fits(others: str) -> None:
    harness = SchedulerHarness()
    for host in others:
        harness.report(host, yard="zb")
    attempt = launch_job(harness, 1, yard="za")
    harness.report(tasks=(reported_task(0, attempt, "exited", "error"),), now=2.0)
    assert not harness.report(now=2.5), "the retry is delayed"
    assert is_launched(harness, "req-000001", "m" + others, 3.0)


@pytest.mark.parametrize("answer", [None, 409])
def test_a_task_preempted_before_its_lost_launch_is_listed_starts_again(answer: int | None) -> None:
    harness = SchedulerHarness()
    machine, order = launch_by_push(harness)
    pushed = harness.scheduler.fencing.token(machine)
    harness.scheduler.stop(machine.claims["req-000001", 0], "preempted", 2.0)
    if answer is not None:
        harness.scheduler.sessions.orders_answered(machine, [order["try"]], False)
    listed: dict[str, dict[str, Any]] = {}
    for step in range(int(MAX_WAIT_S)):
        token = harness.scheduler.fencing.token(machine)
        for received in harness.report(tasks=tuple(listed.values()), now=2.0 + step, epoch=token):
            if received["verb"] == "launch":
                listed.setdefault(received["rung"], reported_task(0, received["try"]))
            elif listed.get(received["rung"], {}).get("try") == received["try"]:
                listed[received["rung"]] |= {"phase": "exited", "cause": "stopped"}
        harness.report("other", now=2.0 + step)
        harness.write_records(2.0 + step)
        if harness.scheduler.jobs["req-000001"].claims[0].attempt != order["try"]:
            assert answer or machine.epoch > pushed, "the worker refuses a late copy of the launch"
            return
    raise AssertionError("the task was not started again")


@pytest.mark.parametrize("shape", ["array", "daemon"])
@pytest.mark.parametrize("placement", ["spread", "oneZone"])
async def test_machines_are_rented_in_zones_that_the_placement_rule_allows(
    monkeypatch: pytest.MonkeyPatch, placement: str, shape: str
) -> None:
    async with cluster(monkeypatch) as whole:
        whole.run_s = 200.0
        first = await whole.submit(shape="daemon", rungs=1, cores=1.0, yard="zb" if placement == "oneZone" else None)
        await whole.worker_running(first)
        uid = await whole.submit(uid="req-000002", shape=shape, rungs=3, cores=3.0, expectS=200.0, **{placement: True})
        await trio.sleep(60)
        workers = whole.cloud.workers.values()
        zones = sorted(
            str(worker.report_fields["yard"])
            for worker in workers
            for name in worker.active_tasks()
            if name.startswith(uid)
        )
        assert zones in ([["za", "za", "zb"], ["za", "zb", "zb"]] if placement == "spread" else [["zb"] * 3])


@pytest.mark.parametrize("how", ["deleted", "silent", "faulty", "interrupted", "unreachable"])
def test_tasks_queued_on_a_lost_machine_start_on_others(how: str) -> None:
    harness = SchedulerHarness()
    harness.report()
    harness.submit(rungs=8, owner="blue")
    harness.scheduler.schedule(1.0)
    assert harness.machine().queue and len(harness.machine().claims) == 2
    lost = harness.machine()
    if how == "deleted":
        harness.scheduler.forget("m", 2.0)
    elif how == "unreachable":
        harness.scheduler.sessions.note_ignored_message(lost, 2, 2.0)
    elif how == "interrupted":
        harness.report(now=2.0, recallS=30.0)
    elif how == "faulty":
        lost.faulty = True
    for now in (8.0, 8.5):
        harness.scheduler.sweep(now)
        for host in "abc":
            harness.report(host, now=now)
    elsewhere = {index for host in "abc" for (_, index) in harness.machine(host).claims}
    assert len(elsewhere) == 6 and elsewhere >= {2, 3, 4, 5, 6, 7} - {index for (_, index) in lost.claims}


def test_capacity_freed_for_a_cancelled_replica_is_used_by_other_jobs() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 2)
    both = (reported_task(0, attempt), reported_task(1, attempt + 1))
    harness.report(tasks=both, now=2.0)
    harness.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    harness.scheduler.schedule(2.0)
    assert harness.machine().reserved_until > 2.0
    harness.record_final_state("req-000002", "cancelled")
    stopped_tasks = (reported_task(0, attempt, "exited", "stopped"), reported_task(1, attempt + 1, "exited", "stopped"))
    harness.report(tasks=stopped_tasks, now=3.0)
    assert is_launched(harness, "req-000001")


@pytest.mark.parametrize("takeover", [False, True])
async def test_long_tasks_complete_while_some_workers_can_not_report(
    monkeypatch: pytest.MonkeyPatch, takeover: bool
) -> None:
    """Orders reach these workers, so they look healthy; but their leases expire, and all tasks there end."""
    async with cluster(monkeypatch) as whole:
        whole.run_s = 25.0
        service = await whole.submit(shape="daemon", rungs=8, cores=4.0, owner="blue")
        await whole.worker_running(service)
        silent_workers = list(whole.cloud.workers.values())[:3]
        for worker in silent_workers:
            worker.reporting_disabled = True
        if takeover:
            whole.crash(whole.leader())
        await trio.sleep(20)
        node = whole.leader()
        uid = await whole.submit(node, uid="req-000002", rungs=2, cores=4.0, owner="blue", expectS=25.0)
        await whole.wait_for_phase(node, uid, "done", MAX_WAIT_S)
        running = {
            name
            for worker in whole.cloud.workers.values()
            if worker not in silent_workers
            for name in worker.active_tasks()
        }
        assert len([name for name in running if name.startswith(service)]) == 8, (
            "all replicas run on machines that report"
        )


async def test_a_zone_that_was_cut_off_beyond_a_lease_runs_tasks_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        bound = await whole.submit(rungs=6, cores=4.0, owner="blue", yard="za")
        anywhere = await whole.submit(uid="req-000002", rungs=6, cores=4.0, owner="blue", rank="urgent")
        await whole.worker_running(bound)
        cut_addresses = [worker.address for worker in whole.cloud.workers.values()]
        whole.net.cut.update(cut_addresses)
        whole.cloud.down = True
        await trio.sleep(20)
        whole.net.cut.difference_update(cut_addresses)
        whole.cloud.down = False
        for uid in (bound, anywhere):
            await whole.wait_for_phase(1, uid, "done", MAX_WAIT_S)


async def test_small_jobs_at_a_high_rate_are_all_recorded_and_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Four jobs a second, a quarter of them cancelled: records are written in time and removed once the jobs end."""
    schedulers: list[Scheduler] = []
    load = Scheduler.load

    def load_and_collect(scheduler: Scheduler, data: dict[str, Any], now: float) -> None:
        schedulers.append(scheduler)
        load(scheduler, data, now)

    monkeypatch.setattr(Scheduler, "load", load_and_collect)
    async with cluster(monkeypatch) as whole:
        whole.cloud.capacity, seconds, max_entries = 60, 90, 0

        async def submit_one(number: int) -> None:
            uid = await whole.submit(number % 3, uid=f"req-{number:06}", rungs=1, cores=1.0, owner="blue")
            if number % 4 == 0:
                await trio.sleep(number % 20 / 2)
                await whole.call((number + 1) % 3, "POST", f"/api/jobs/{uid}/cancel")

        async with trio.open_nursery() as users:
            for number in range(4 * seconds):
                users.start_soon(submit_one, number)
                await trio.sleep(0.25)
                (scheduler,) = schedulers
                max_entries = max(
                    max_entries, len(scheduler.jobs) + len(scheduler.clearable_records) + len(scheduler.pages.pages)
                )
        assert max_entries < 20 * 4, "at most the jobs of 20 seconds; a task runs for 5"
        await trio.sleep(20)
        assert not [key for key in whole.state.keys if key.startswith("lf/j/")]
        assert not (
            scheduler.jobs
            or scheduler.cancelled_at
            or scheduler.clearable_records
            or scheduler.complete_jobs
            or scheduler.unrecorded_ends
            or scheduler.unrecorded_claims
        )
        assert all(page.size < 100 for page in scheduler.pages.pages)
        assert not any(
            machine.claims or machine.queue or machine.pushed_launches for machine in scheduler.machines.values()
        )


def test_pages_keep_nothing_of_a_partly_done_cancelled_job() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 2)
    empty = harness.scheduler.pages.pages[0].size
    harness.report(tasks=(reported_task(0, attempt, "exited", "done"), reported_task(1, attempt + 1)), now=2.0)
    harness.write_records()
    harness.record_final_state(phase="cancelled")
    harness.report(tasks=(reported_task(1, attempt + 1, "exited", "stopped"),), now=3.0)
    harness.write_records()
    assert harness.scheduler.pages.pages[0].size < empty and not harness.scheduler.pages.pages[0].value()
    assert not (harness.scheduler.jobs or harness.scheduler.cancelled_at or harness.scheduler.clearable_records)


def test_machines_that_can_not_report_are_replaced_unless_the_majority_can_not() -> None:
    for reporting, rented in (("ab", 1), ("", 0)):
        harness = SchedulerHarness()
        harness.submit(owner="blue", rungs=3, cores=4.0, expectS=500.0)
        for host in ("m", *reporting):
            harness.report(host)
        (claim,) = harness.machine().claims.values()
        harness.scheduler.end(claim, False, 2.0)
        for host in reporting:
            harness.report(host, now=10.0)
        harness.machine().epoch_confirmed_at = 10.0  # it answers our orders
        harness.scheduler.sweep(10.0)
        assert harness.machine().cannot_report
        waiting = harness.scheduler.jobs["req-000001"].waiting
        assert sum(rental.count for rental in Planner(harness.scheduler).rentals(10.0)) == waiting - 1 + rented


# Guards against: a record with a job that can't be read ended the term of every leader, so that no job ran at all.
@pytest.mark.parametrize(
    "entry", [7, {}, {"spec": job(rungs="many"), "at": 1.0, "block": 1}, {"spec": job(), "at": 1.0}]
)
def test_a_job_that_can_not_be_read_keeps_no_other_from_running(entry: Any) -> None:
    record = {"jobs": {"req-000007": entry} | accepted(job("req-000008", owner="blue"))["jobs"]}
    harness = SchedulerHarness()
    harness.scheduler.take_changes([Change("lf/j/req-000007", record, 5), Change("lf/j/req-000009", 7, 5)], 0.0)
    harness.report()
    assert set(harness.scheduler.jobs) == {"req-000008"} and harness.machine().claims
    harness.scheduler.load({"lf/j/req-000007": (record, 5)}, 0.0)
