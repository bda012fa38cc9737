"""Scheduling decisions: which tasks are claimed, and on which machines."""

from __future__ import annotations

import msgspec

from ladderfield.connectivity.authority import Decision
from ladderfield.leader.pages import encoded_size
from ladderfield.leadership import EPOCH
from ladderfield.term import Term
from ladderfield.testing.leader import (
    EPOCH_NOW,
    TOKEN_NOW,
    SchedulerHarness,
    inherited_records,
    launch_job,
    reported_task,
)
from ladderfield.workers.report import Report


def test_a_claim_that_ends_before_its_block_is_opened_is_queued_once() -> None:
    """A claim released by the first report after a takeover had its task queued twice, so that it ran twice."""
    harness = SchedulerHarness(inherited_records())
    report = {
        "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
        "tenure": 1, "tick": 1, "epoch": TOKEN_NOW, "rungs": [],
    }  # fmt: skip
    harness.scheduler.sessions.report(msgspec.convert(report, Report), 1.0, answering=True)
    assert not harness.machine().claims
    harness.report("other")
    harness.report("another")
    assert sum(len(machine.claims) for machine in harness.scheduler.machines.values()) == 1
    assert harness.scheduler.jobs["req-000001"].queued == 0


def test_a_claimed_task_that_is_still_queued_is_not_claimed_again() -> None:
    harness = SchedulerHarness()
    launch_job(harness, 1, cores=4.0)
    harness.scheduler.jobs["req-000001"].unqueued.append(0)
    harness.report("other")
    assert not harness.machine("other").claims and len(harness.machine("m").claims) == 1


def test_the_team_limit_holds_within_one_pass() -> None:
    harness = SchedulerHarness()
    for host in range(12):
        harness.report(f"m{host}")
    for number in range(1, 5):
        harness.submit(f"req-{number:06d}", rungs=4)
    while harness.scheduler.changed:
        harness.scheduler.schedule(2.0)
    assert harness.scheduler.teams.cpus["red"] == 16.0


def test_a_machine_of_unknown_type_gets_no_tasks() -> None:
    harness = SchedulerHarness()
    harness.submit(cores=0.0, memoryGb=0.0, rank="production", shape="daemon", rungs=1)
    harness.report(flavour="m99")
    assert not harness.machine().claims


def test_production_replicas_preempt_only_lower_ranks() -> None:
    harness = SchedulerHarness()
    attempt = launch_job(harness, 2)
    harness.report(tasks=(reported_task(0, attempt), reported_task(1, attempt + 1)), now=2.0)
    harness.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    harness.scheduler.schedule(3.0)
    assert {claim.stop_reason for claim in harness.machine().claims.values()} == {"preempted"}
    production = SchedulerHarness()
    attempt = launch_job(production, 2, rank="production")
    production.report(rungs=(reported_task(0, attempt), reported_task(1, attempt + 1)), now=2.0)
    production.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    production.scheduler.schedule(3.0)
    assert {claim.stop_reason for claim in production.machine().claims.values()} == {None}


def test_a_replica_preempts_its_own_teams_batch_tasks_at_the_team_limit() -> None:
    """Incident inc-a991: a team's array tasks filled its limit, and its own service waited 100 s for a machine."""
    harness = SchedulerHarness()
    for host in range(6):
        harness.report(f"m{host}")
    harness.submit(rungs=8)
    while harness.scheduler.changed:
        harness.scheduler.schedule(2.0)
    assert harness.scheduler.teams.cpus["red"] == 16.0
    harness.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    while harness.scheduler.changed:
        harness.scheduler.schedule(3.0)
    held = [claim.job.uid for machine in harness.scheduler.machines.values() for claim in machine.claims.values()]
    assert held.count("req-000002") == 1 and held.count("req-000001") == 6
    assert harness.scheduler.teams.cpus["red"] == 16.0


def test_no_replica_is_placed_on_a_machine_with_an_overdue_report() -> None:
    """Tasks were preempted for replicas on machines that were just being cut off from the leader."""
    harness = SchedulerHarness()
    harness.report("overdue", now=10.0)
    harness.report("on-time", now=13.0)
    harness.submit(rank="production", shape="daemon", cores=4.0, rungs=2)
    harness.scheduler.schedule(13.5)
    assert not harness.machine("overdue").claims and len(harness.machine("on-time").claims) == 1


def test_a_team_reclaims_its_guarantee_after_a_wait() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000002", owner="blue", rungs=2)
    harness.report()
    harness.write_records()
    harness.report()
    harness.submit("req-000003", owner="red", rungs=1, rank="best_effort")
    harness.scheduler.schedule(2.0)
    assert not any(claim.stop_reason for claim in harness.machine().claims.values())
    harness.scheduler.machines["m"].epoch_confirmed_at = 20.0
    harness.scheduler.schedule(20.0)
    assert [claim.job.spec.team for claim in harness.machine().claims.values() if claim.stop_reason] == ["blue"]


def test_a_large_job_is_opened_block_by_block_and_its_pages_fit_the_limit() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=100_000, owner="blue")
    for host in range(40):
        harness.report(f"m{host}")
    harness.scheduler.schedule(2.0)
    assert harness.scheduler.jobs["req-000001"].next_block <= 2, "no more blocks than the machines can use"
    harness.write_records()
    assert len(harness.scheduler.pages.pages) == 1
    for page in harness.scheduler.pages.pages:
        assert encoded_size(page) < 16 * 1024


def test_a_leader_that_was_suspended_decides_and_records_nothing() -> None:
    """Incident inc-5681: a suspended process resumed in its successor's term, and took all leases for expired."""
    term = Term(EPOCH_NOW, 3, 1, renewed_at=100.0, ttl=2.0, grace=17.0, known_at=100.0)
    for decision in (Decision.CLAIM, Decision.LAUNCH, Decision.RENT, Decision.DELETE):
        assert term.authority().allows(decision, 101.9)
        assert not term.authority().allows(decision, 132.0), (
            "nothing is started, rented or deleted before the lease is renewed"
        )
    harness = SchedulerHarness()
    launch_job(harness, 1)
    harness.scheduler.sweep(33.0)
    txn = harness.ledger.collect(True)
    assert txn is not None and txn.guards[EPOCH] == 3, "a transaction of the old term fails on the epoch guard"
