"""The leader's decisions one by one: what is claimed, and which machines get it."""

from __future__ import annotations

import msgspec

from ladderfield.connectivity.authority import Decision
from ladderfield.leader.pages import encoded_size
from ladderfield.leadership import EPOCH
from ladderfield.term import Term
from ladderfield.testing.leader import EPOCH_NOW, SchedulerHarness, inherited, launched, rung
from ladderfield.workers.report import Report


def test_a_claim_that_ends_before_its_block_is_open_is_queued_once() -> None:
    """daftar-niaga, troubles: released by the first report after a takeover, the task was dealt twice and ran twice."""
    harness = SchedulerHarness(inherited())
    report = {
        "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
        "tenure": 1, "tick": 1, "epoch": EPOCH_NOW, "rungs": [],
    }  # fmt: skip
    harness.scheduler.sessions.report(msgspec.convert(report, Report), 1.0, answering=True)
    assert not harness.machine().claims
    harness.report("other")
    harness.report("another")
    assert sum(len(machine.claims) for machine in harness.scheduler.machines.values()) == 1
    assert harness.scheduler.jobs["req-000001"].queued == 0


def test_a_queued_task_with_a_claim_is_not_claimed_again() -> None:
    harness = SchedulerHarness()
    launched(harness, 1, cores=4.0)
    harness.scheduler.jobs["req-000001"].undealt.append(0)
    harness.report("other")
    assert not harness.machine("other").claims and len(harness.machine("m").claims) == 1


def test_quota_counts_claims_and_holds_within_one_pass() -> None:
    harness = SchedulerHarness()
    for host in range(12):
        harness.report(f"m{host}")
    for number in range(1, 5):
        harness.submit(f"req-{number:06d}", rungs=4)
    while harness.scheduler.changed:
        harness.scheduler.schedule(2.0)
    assert harness.scheduler.teams.cpus["red"] == 16.0


def test_a_machine_of_unknown_type_gets_nothing_and_harms_nothing() -> None:
    harness = SchedulerHarness()
    harness.submit(cores=0.0, memoryGb=0.0, rank="production", shape="daemon", rungs=1)
    harness.report(flavour="m99")
    assert not harness.machine().claims


def test_replicas_get_room_from_lower_ranks_only() -> None:
    harness = SchedulerHarness()
    attempt = launched(harness, 2)
    harness.report(rungs=(rung(0, attempt), rung(1, attempt + 1)), now=2.0)
    harness.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    harness.scheduler.schedule(3.0)
    assert {claim.stopping for claim in harness.machine().claims.values()} == {"preempted"}
    calm = SchedulerHarness()
    attempt = launched(calm, 2, rank="production")
    calm.report(rungs=(rung(0, attempt), rung(1, attempt + 1)), now=2.0)
    calm.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    calm.scheduler.schedule(3.0)
    assert {claim.stopping for claim in calm.machine().claims.values()} == {None}


def test_a_replica_is_not_kept_out_by_its_own_teams_batch_work() -> None:
    """Incident inc-a991: a team's array tasks filled its limit, and its lookup service waited for 100 s."""
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


def test_no_replica_goes_where_a_report_is_missing() -> None:
    """Hunt day 937d-5: room was cleared on machines that were just being cut off."""
    harness = SchedulerHarness()
    harness.report("late", now=10.0)
    harness.report("prompt", now=13.0)
    harness.submit(rank="production", shape="daemon", cores=4.0, rungs=2)
    harness.scheduler.schedule(13.5)
    assert not harness.machine("late").claims and len(harness.machine("prompt").claims) == 1


def test_a_guarantee_takes_back_what_was_borrowed_after_a_wait() -> None:
    harness = SchedulerHarness()
    harness.submit("req-000002", owner="blue", rungs=2)
    harness.report()
    harness.record()
    harness.report()
    harness.submit("req-000003", owner="red", rungs=1, rank="best_effort")
    harness.scheduler.schedule(2.0)
    assert not any(claim.stopping for claim in harness.machine().claims.values())
    harness.scheduler.machines["m"].fresh_at = 20.0
    harness.scheduler.schedule(20.0)
    assert [claim.job.spec.team for claim in harness.machine().claims.values() if claim.stopping] == ["blue"]


def test_a_large_job_is_opened_block_by_block_and_fits_the_limits() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=100_000, owner="blue")
    for host in range(40):
        harness.report(f"m{host}")
    harness.scheduler.schedule(2.0)
    assert harness.scheduler.jobs["req-000001"].next_block <= 2, "no more than there is use for"
    harness.record()
    assert len(harness.scheduler.pages.pages) == 1
    for page in harness.scheduler.pages.pages:
        assert encoded_size(page) < 16 * 1024


def test_a_leader_that_stood_still_does_no_harm() -> None:
    """Incident inc-5681: a process woke up after its successor's term had begun, and saw all leases over."""
    term = Term(EPOCH_NOW, 3, 1, renewed_at=100.0, ttl=2.0, grace=17.0, known_at=100.0)
    for decision in (Decision.CLAIM, Decision.LAUNCH, Decision.RENT, Decision.DELETE):
        assert term.authority().allows(decision, 101.9)
        assert not term.authority().allows(decision, 132.0), (
            "it starts, rents and deletes nothing before it has renewed its lease"
        )
    harness = SchedulerHarness()
    launched(harness, 1)
    harness.scheduler.sweep(33.0)
    txn = harness.ledger.collect(True)
    assert txn is not None and txn.guards[EPOCH] == 3, "and what it would record fails on the epoch"
