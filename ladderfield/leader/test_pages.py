"""Pages: what a transaction writes, and how a takeover reads pages that are out of date."""

from __future__ import annotations

from typing import Any

from ladderfield.leader.pages import encoded_size
from ladderfield.queues.work import Claim
from ladderfield.testing import accepted, job
from ladderfield.testing.leader import EPOCH_NOW, MACHINE_RECORD, SchedulerHarness, reported_task

ATTEMPT_BASE = EPOCH_NOW << 32


def taken_over(*pages: dict[str, Any], finals: dict[str, Any] | None = None, tasks: int = 2) -> SchedulerHarness:
    """A leader that took over with a job and these pages recorded."""
    data: dict[str, Any] = {"lf/j/req-000001": (accepted(job(rungs=tasks)), 4)}
    hosts = {"m": MACHINE_RECORD, "n": MACHINE_RECORD}
    data |= {f"lf/p/{number}": ({"hosts": hosts, "req-000001": page}, 6 + number) for number, page in enumerate(pages)}
    return SchedulerHarness(data | {f"lf/f/{uid}": (value, 9) for uid, value in (finals or {}).items()})


def binding_claims(harness: SchedulerHarness) -> dict[int, int]:
    """The attempts of binding claims by task index."""
    claims = [claim for machine in harness.scheduler.machines.values() for claim in machine.claims.values()]
    return {claim.index: claim.attempt for claim in claims}


def test_claims_of_many_jobs_are_recorded_with_one_change() -> None:
    """One record per job exceeded the state service's limit of changes per second in large deployments."""
    harness = SchedulerHarness()
    for number in range(1, 31):
        harness.submit(f"req-{number:06}", owner="blue", rungs=3)
    for host in range(45):
        harness.report(f"m{host}")
    while harness.scheduler.changed:
        harness.scheduler.schedule(2.0)
    txn = harness.ledger.collect(False)
    assert txn is not None and txn.ops == 1 and sum(len(claims) for claims, _ in txn.pages.values()) == 90


def test_ends_of_tasks_are_recorded_with_claims_but_cause_no_transaction_of_their_own() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=5, cores=4.0, owner="blue")
    harness.report()
    harness.write_records()
    attempt = harness.report()[0]["try"]
    machine = harness.machine()
    claim = machine.claims["req-000001", 0]
    harness.scheduler.end(claim, True, 2.0)
    assert harness.ledger.collect(False) is None
    harness.scheduler.schedule(2.0)
    txn = harness.ledger.collect(False)
    assert txn is not None and txn.ops == 1
    (page,) = txn.puts.values()
    assert page["req-000001"]["d"] == [[0, 0]] and list(page["req-000001"]["a"]) == ["1"]
    assert attempt not in [value[0] for value in page["req-000001"]["a"].values()]


def test_no_page_exceeds_the_value_size_limit_of_the_state_service() -> None:
    harness = SchedulerHarness()
    uids = [f"req-{10**17 + number}" for number in range(50)]
    for uid in uids:
        harness.submit(uid, owner="blue", rungs=99_999, cores=0.01, memoryGb=0.0)
    for host in range(10):
        harness.report(f"machine-with-a-long-name-{host}", yard="zb")
    while harness.scheduler.changed and len(harness.scheduler.unrecorded_claims) < 4000:
        harness.scheduler.schedule(2.0)
    claims = list(harness.scheduler.unrecorded_claims)
    harness.write_records()
    for claim in claims[::2]:
        harness.scheduler.end(claim, True, 3.0)
    harness.write_records()
    assert len(harness.scheduler.pages.pages) > 5
    assert all(encoded_size(page) <= 16 * 1024 for page in harness.scheduler.pages.pages)
    assert all(encoded_size(page) <= page.size + 2 for page in harness.scheduler.pages.pages)


def test_the_emptiest_page_is_reused() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=400, owner="blue", cores=4.0)
    now = 2.0
    for _ in range(400):
        harness.report(now=now)
        harness.write_records()
        for claim in list(harness.machine().claims.values()):
            harness.scheduler.end(claim, True, now)
        now += 1.0
    harness.write_records()
    assert len(harness.scheduler.pages.pages) <= 2


def test_of_two_recorded_claims_of_a_task_the_later_attempt_counts() -> None:
    harness = taken_over({"a": {"0": [99, "m"]}}, {"a": {"0": [100, "n"]}})
    assert binding_claims(harness) == {0: 100}
    assert harness.scheduler.teams.cpus["red"] == 2.0
    harness.report("m", (reported_task(0, 99),))
    assert harness.scheduler.machines["m"].reported_tasks, (
        "the machine lists attempt 99, which has no claim and would be stopped"
    )


def test_a_recorded_claim_of_a_finished_task_is_ignored() -> None:
    harness = taken_over({"a": {"0": [99, "m"]}}, {"d": [[0, 0]]})
    assert binding_claims(harness) == {} and harness.scheduler.jobs["req-000001"].finished == {0}


def test_page_entries_of_a_job_that_is_done_are_ignored_and_removed() -> None:
    harness = taken_over({"a": {"1": [99, "m"]}, "d": [[0, 0]]}, finals={"req-000001": {"phase": "done"}})
    assert binding_claims(harness) == {}
    harness.write_records()
    assert not harness.scheduler.jobs and harness.scheduler.pages.pages[0].value() == {}


def test_claims_of_a_cancelled_job_bind_until_its_attempts_have_exited() -> None:
    harness = taken_over({"a": {"1": [99, "m"]}}, finals={"req-000001": {"phase": "cancelled", "at": 995.0}})
    assert binding_claims(harness) == {1: 99}
    harness.write_records()
    assert "req-000001" in harness.scheduler.jobs, (
        "the job must not be removed while its task may still run (ran_cancelled in a simulated day)"
    )
    assert harness.scheduler.sweep(11.0) == ["m"], (
        "half of cancel_s after the cancellation was confirmed, the machine is to be deleted"
    )
    (order,) = harness.report("m", (reported_task(1, 99),))
    assert order["verb"] == "stop"
    harness.report("m", (reported_task(1, 99, "exited", "stopped"),))
    harness.write_records()
    assert not harness.scheduler.jobs


def test_finished_tasks_are_read_from_all_pages_and_stay_recorded() -> None:
    harness = taken_over({"d": [[0, 2]]}, {"d": [[4, 4]], "a": {"3": [99, "m"]}}, tasks=6)
    found = harness.scheduler.jobs["req-000001"]
    assert found.finished == {0, 1, 2, 4}
    claim: Claim = found.claims[3]
    harness.scheduler.end(claim, True, 1.0)
    harness.write_records()
    assert (
        not found.unrecorded_done and sum(len(page.done.get(found, ())) for page in harness.scheduler.pages.pages) == 5
    )


def test_a_transaction_with_failed_guards_is_written_again_with_all_its_claims() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=2)
    harness.report()
    first = harness.ledger.collect(True)
    assert first is not None
    harness.ledger.retry_with_revisions(first, {"lf/p/0": 15})
    assert all(not claim.recorded for claim in harness.machine().claims.values())
    second = harness.ledger.collect(True)
    assert second is not None and second.guards["lf/p/0"] == 15
    harness.ledger.applied(second, 16, 1.0)
    assert all(claim.recorded for claim in harness.machine().claims.values())


def test_a_small_transaction_holds_both_final_states_and_claims() -> None:
    harness = SchedulerHarness()
    for number in range(1, 9):
        harness.submit(f"req-{number:06}", rungs=1, owner="blue", cores=4.0)
    for host in range(4):
        harness.report(f"m{host}")
    harness.write_records()
    for machine in harness.scheduler.machines.values():
        for claim in list(machine.claims.values()):
            harness.scheduler.end(claim, True, 2.0)
    harness.scheduler.schedule(2.0)
    txn = harness.ledger.collect(True, 4)
    assert txn is not None and txn.ops <= 4 and txn.finals and txn.pages
