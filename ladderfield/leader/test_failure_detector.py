"""When silent machines lose their claims and are deleted."""

from __future__ import annotations

from ladderfield.clocks import CLOCK_DRIFT_FACTOR
from ladderfield.connectivity.authority import Authority
from ladderfield.testing.leader import SchedulerHarness, inherited_records, launch_job, reported_task


def test_claims_of_a_silent_machine_last_until_earlier_leaders_answers_expire() -> None:
    harness = SchedulerHarness(inherited_records())
    expires_at = (36.0 + 12.0) * CLOCK_DRIFT_FACTOR
    harness.scheduler.sweep(expires_at - 0.1)
    assert harness.machine().claims
    harness.scheduler.sweep(expires_at + 0.1)
    assert not harness.machine().claims


def test_the_wait_for_earlier_leaders_ends_when_all_others_are_followers() -> None:
    harness = SchedulerHarness(inherited_records())
    harness.scheduler.earlier.confirm_none_left(harness.scheduler.epoch, 3.0)
    harness.scheduler.sweep(3.0 + 12.0)
    assert harness.machine().claims, "an earlier leader may have renewed the lease until then"
    harness.scheduler.sweep(3.0 + 12.0 * CLOCK_DRIFT_FACTOR + 0.01)
    assert not harness.machine().claims


def test_a_lease_runs_from_our_last_answer() -> None:
    harness = SchedulerHarness()
    launch_job(harness, 1)
    harness.report(now=5.0, tasks=(reported_task(0, harness.machine().claims["req-000001", 0].attempt),))
    harness.scheduler.sweep(5.0 + 12.0)
    assert harness.machine().claims
    harness.scheduler.sweep(5.0 + 12.0 * CLOCK_DRIFT_FACTOR + 0.01)
    assert not harness.machine().claims


def test_machines_that_go_silent_together_get_a_longer_timeout() -> None:
    harness = SchedulerHarness()
    for host in ("a", "b", "c"):
        harness.report(host, now=1.0)
    harness.report("c", now=7.0)
    assert harness.scheduler.sweep(7.5) == [], "two of three machines: a partition"
    single = SchedulerHarness()
    for host in ("a", "b", "c"):
        single.report(host, now=1.0)
    for host in ("b", "c"):
        single.report(host, now=7.0)
    assert single.scheduler.sweep(7.5) == ["a"]


def test_no_machine_is_declared_lost_for_a_silence_that_our_own_partition_explains() -> None:
    harness = SchedulerHarness()
    for host in ("a", "b", "c"):
        harness.report(host, now=1.0)
    for host in ("b", "c"):
        harness.report(host, now=7.0)
    harness.scheduler.authority = lambda: Authority(over=False, silence_counts_from=8.0)
    assert harness.scheduler.sweep(7.5) == []
    assert harness.scheduler.sweep(8.0) == ["a"], "the machine is kept for a bounded time only"
