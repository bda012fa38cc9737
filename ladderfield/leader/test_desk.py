"""The leader's decisions one by one: when a claim may begin, when it ends, what workers are told."""

from __future__ import annotations

from typing import Any

import msgspec

from ladderfield.jobs.chains import Chains
from ladderfield.jobs.model import TYPES as TYPES_KEY
from ladderfield.leader.desk import Desk
from ladderfield.leader.ledger import Ledger
from ladderfield.leader.pages import encoded_size
from ladderfield.leadership import EPOCH, Term
from ladderfield.testing import TYPES, accepted, job, settings
from ladderfield.view import Change
from ladderfield.workers.machine import CLOCKS, Machine
from ladderfield.workers.report import Report

EPOCH_NOW = 7
ABOUT = ["za", "10.9.0.1:90", "m4", False]  # what a page says of a machine


class Stage:
    """A desk, its ledger, and machines that report by hand."""

    def __init__(self, data: dict[str, Any] | None = None) -> None:
        self.pushed: list[str] = []
        self.on_record: dict[str, Any] = {TYPES_KEY: (TYPES, 1)} | (data or {})
        self.chains = Chains(lambda key: self.on_record.get(key, (None, 0))[0])
        self.desk = Desk(settings(), EPOCH_NOW, 0.0, 1000.0, 36.0, self.chains)
        self.desk.push = lambda machine: self.pushed.append(machine.host)
        for key, (value, stamp) in self.on_record.items():
            self.chains.take(Change(key, value, stamp))
        self.desk.load(self.on_record, 0.0)
        self.ledger = Ledger(self.desk, 3, 16)
        self.stamp = 10
        self.ticks: dict[str, int] = {}

    def submit(self, uid: str = "req-000001", **changes: Any) -> None:
        """A job appears in the state service."""
        self.appear(f"lf/j/{uid}", accepted(job(uid, **changes), at=1000.0), 5)

    def appear(self, key: str, value: Any, stamp: int, now: float = 0.0) -> None:
        """A key changes in the state service."""
        self.on_record[key] = (value, stamp)
        self.chains.take(Change(key, value, stamp))
        self.desk.take_changes([Change(key, value, stamp)], now)

    def tell(self, uid: str = "req-000001", phase: str = "done") -> None:
        """The job's final state appears in the state service."""
        self.appear(f"lf/f/{uid}", {"phase": phase, "at": 1000.0}, 9)

    def report(
        self,
        host: str = "m",
        rungs: tuple = (),
        now: float = 1.0,
        tenure: int = 1,
        epoch: int = EPOCH_NOW,
        **about: Any,
    ) -> list[dict[str, Any]]:
        """The machine reports; what it is told."""
        self.ticks[host] = self.ticks.get(host, 0) + 1
        raw = {
            "host": host, "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
            "tenure": tenure, "tick": self.ticks[host], "epoch": epoch, "rungs": list(rungs),
        } | about  # fmt: skip
        machine = self.desk.sessions.report(msgspec.convert(raw, Report), now, answering=True)
        assert machine is not None
        self.desk.schedule(now)
        return self.desk.sessions.orders(machine, now, self.ticks[host])

    def record(self, now: float = 1.0) -> None:
        """Everything due is written and answered."""
        while (txn := self.ledger.collect(True)) is not None:
            self.stamp += 1
            self.ledger.applied(txn, self.stamp, now)

    def machine(self, host: str = "m") -> Machine:
        """The machine's entry in the desk's tables."""
        return self.desk.machines[host]


def rung(
    index: int, attempt: int, phase: str = "running", cause: str | None = None, uid: str = "req-000001"
) -> dict[str, Any]:
    """A task in a report."""
    return {"rung": f"{uid}/{index}", "try": attempt, "phase": phase, "cause": cause}


def launched(stage: Stage, tasks: int = 1, **changes: Any) -> int:
    """A job whose first task was launched on machine m; its attempt."""
    stage.submit(rungs=tasks, **changes)
    stage.report()
    stage.record()
    orders = stage.report()
    assert [order["verb"] for order in orders] == ["launch"] * tasks
    return int(orders[0]["try"])


def test_no_launch_before_the_claim_is_on_record() -> None:
    stage = Stage()
    stage.submit(rungs=1)
    assert stage.report() == []
    assert len(stage.machine().claims) == 1
    stage.record()
    (order,) = stage.report()
    assert order["verb"] == "launch" and order["try"] >> 32 == EPOCH_NOW


def test_every_write_is_guarded_by_the_epoch_and_the_records_versions() -> None:
    stage = Stage()
    stage.submit(rungs=1)
    stage.report()
    txn = stage.ledger.collect(True)
    assert txn is not None and txn.guards == {EPOCH: 3, "lf/p/0": 0}
    stage.ledger.applied(txn, 11, 1.0)
    stage.report(rungs=(rung(0, stage.machine().claims["req-000001", 0].attempt, "exited", "done"),))
    txn = stage.ledger.collect(True)
    assert txn is not None and txn.guards == {EPOCH: 3, "lf/f/req-000001": 0}
    stage.ledger.applied(txn, 12, 1.0)
    assert stage.ledger.collect(True) is None, "a record that names the job may still come"
    stage.tell()
    txn = stage.ledger.collect(True)
    assert txn is not None and txn.guards == {EPOCH: 3, "lf/j/req-000001": 5} and txn.deletes == ["lf/j/req-000001"]


def test_a_job_on_two_records_counts_once_and_both_go_with_the_last_of_their_jobs() -> None:
    stage = Stage()
    one, two = job("req-000001", rungs=1), job("req-000002", rungs=1)
    stage.desk.take_changes(
        [Change("lf/j/req-000001", accepted(one), 5), Change("lf/j/req-000002", accepted(two, one), 6)], 0.0
    )
    assert list(stage.desk.jobs) == ["req-000001", "req-000002"]
    stage.tell("req-000001")
    txn = stage.ledger.collect(True)
    assert txn is not None and txn.deletes == ["lf/j/req-000001"]
    stage.ledger.applied(txn, 12, 1.0)
    # Read anew, a batch is not in the order of time: the end may stand before the record that names the job.
    late = Change("lf/j/req-000003", accepted(job("req-000003", rungs=1)), 13)
    stage.desk.take_changes([Change("lf/f/req-000003", {"phase": "done"}, 14), late], 0.0)
    stage.tell("req-000002")
    assert not stage.desk.jobs
    txn = stage.ledger.collect(True)
    assert txn is not None and set(txn.deletes) == {"lf/j/req-000002", "lf/j/req-000003"}


def test_done_is_reaped_only_after_it_is_on_record() -> None:
    stage = Stage()
    attempt = launched(stage, 2)
    orders = stage.report(rungs=(rung(0, attempt, "exited", "done"),), now=2.0)
    assert not [order for order in orders if order["verb"] == "reap"]
    stage.record()
    orders = stage.report(rungs=(rung(0, attempt, "exited", "done"),), now=3.0)
    assert [(order["verb"], order["try"]) for order in orders if order["verb"] == "reap"] == [("reap", attempt)]


def test_a_launch_by_orders_without_an_answer_is_resent_and_never_reaped() -> None:
    stage = Stage()
    stage.submit(rungs=1)
    stage.report()
    stage.record()
    machine = stage.machine()
    (order,) = stage.desk.sessions.orders(machine, 1.0, None)
    assert stage.report(now=2.0) == [], "absence proves nothing while a copy may come"
    assert len(machine.claims) == 1
    (again,) = stage.report(now=9.0)
    assert again["try"] == order["try"]
    stage.report(rungs=(rung(0, order["try"], "exited", "done"),), now=10.0)
    stage.record()
    assert stage.report(rungs=(rung(0, order["try"], "exited", "done"),), now=11.0) == []
    stage.desk.sessions.answered(machine, [order["try"]], True)
    (reap,) = stage.report(rungs=(rung(0, order["try"], "exited", "done"),), now=12.0)
    assert reap["verb"] == "reap"


def test_two_unanswered_copies_need_two_answers() -> None:
    stage = Stage()
    stage.submit(rungs=1)
    stage.report()
    stage.record()
    machine = stage.machine()
    (order,) = stage.desk.sessions.orders(machine, 1.0, None)
    stage.desk.sessions.orders(machine, 9.0, None)
    stage.desk.sessions.answered(machine, [order["try"]], True)
    assert machine.doubts == {order["try"]: 1}


def test_a_new_session_ends_claims_of_the_old_one_but_not_unsent_ones() -> None:
    stage = Stage()
    launched(stage, 1)
    stage.submit("req-000002", rungs=1)
    stage.desk.schedule(2.0)
    assert len(stage.machine().claims) == 2
    stage.report(tenure=2, now=15.0)
    held = stage.machine().claims
    assert ("req-000002", 0) in held
    assert held["req-000001", 0].sent_tenure is None, "ended, and claimed anew under another attempt"


def inherited(attempt: int = 99) -> dict[str, Any]:
    """What an earlier leader left on record."""
    return {
        "lf/j/req-000001": (accepted(job(rungs=1, cores=4.0)), 4),
        "lf/p/0": ({"hosts": {"m": ABOUT}, "req-000001": {"a": {"0": [attempt, "m"]}}}, 6),
    }


def test_an_inherited_claim_binds_until_the_machine_has_taken_our_epoch() -> None:
    stage = Stage(inherited())
    assert stage.report(epoch=6) == []
    assert next(iter(stage.machine().claims.values())).attempt == 99, "an old order may still come"
    stage.report("other")
    assert not stage.machine("other").claims
    stage.report(epoch=EPOCH_NOW, now=2.0)
    attempts = [claim.attempt for machine in stage.desk.machines.values() for claim in machine.claims.values()]
    assert len(attempts) == 1 and attempts[0] >> 32 == EPOCH_NOW


def test_a_claim_that_ends_before_its_block_is_open_is_queued_once() -> None:
    """daftar-niaga, troubles: released by the first report after a takeover, the task was dealt twice and ran twice."""
    stage = Stage(inherited())
    report = {
        "host": "m", "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
        "tenure": 1, "tick": 1, "epoch": EPOCH_NOW, "rungs": [],
    }  # fmt: skip
    stage.desk.sessions.report(msgspec.convert(report, Report), 1.0, answering=True)
    assert not stage.machine().claims
    stage.report("other")
    stage.report("another")
    assert sum(len(machine.claims) for machine in stage.desk.machines.values()) == 1
    assert stage.desk.jobs["req-000001"].queued == 0


def test_a_queued_task_with_a_claim_is_not_claimed_again() -> None:
    stage = Stage()
    launched(stage, 1, cores=4.0)
    stage.desk.jobs["req-000001"].undealt.append(0)
    stage.report("other")
    assert not stage.machine("other").claims and len(stage.machine("m").claims) == 1


def test_a_silent_machines_claims_outlast_any_earlier_leaders_answers() -> None:
    stage = Stage(inherited())
    over = (36.0 + 12.0) * CLOCKS
    stage.desk.sweep(over - 0.1)
    assert stage.machine().claims
    stage.desk.sweep(over + 0.1)
    assert not stage.machine().claims


def test_the_wait_for_earlier_leaders_ends_when_all_others_say_they_follow() -> None:
    stage = Stage(inherited())
    stage.desk.detector.no_other_leader(3.0)
    stage.desk.sweep(3.0 + 12.0)
    assert stage.machine().claims, "but the lease itself may have been renewed until then"
    stage.desk.sweep(3.0 + 12.0 * CLOCKS + 0.01)
    assert not stage.machine().claims


def test_a_lease_is_counted_from_our_last_answer() -> None:
    stage = Stage()
    launched(stage, 1)
    stage.report(now=5.0, rungs=(rung(0, stage.machine().claims["req-000001", 0].attempt),))
    stage.desk.sweep(5.0 + 12.0)
    assert stage.machine().claims
    stage.desk.sweep(5.0 + 12.0 * CLOCKS + 0.01)
    assert not stage.machine().claims


def test_quota_counts_claims_and_holds_within_one_pass() -> None:
    stage = Stage()
    for host in range(12):
        stage.report(f"m{host}")
    for number in range(1, 5):
        stage.submit(f"req-{number:06d}", rungs=4)
    while stage.desk.changed:
        stage.desk.schedule(2.0)
    assert stage.desk.teams.cpus["red"] == 16.0


def test_a_late_report_is_not_believed() -> None:
    stage = Stage()
    attempt = launched(stage, 1)
    stage.report(rungs=(rung(0, attempt),), now=2.0)
    stage.ticks["m"] -= 2
    stage.report(rungs=(), now=3.0)
    assert stage.machine().seen == {("req-000001", 0): (attempt, "running")}


def test_cancelled_tasks_are_stopped_and_none_starts() -> None:
    stage = Stage()
    attempt = launched(stage, 1)
    stage.submit("req-000002", rungs=1)
    for uid in ("req-000001", "req-000002"):
        stage.desk.take_changes([Change(f"lf/f/{uid}", {"phase": "cancelled", "at": 1002.0}, 20)], 2.0)
    (order,) = stage.report(rungs=(rung(0, attempt),), now=2.5)
    assert order == {"verb": "stop", "rung": "req-000001/0", "try": attempt, "windDownS": 0.0}
    stage.report(rungs=(rung(0, attempt, "exited", "stopped"),), now=3.0)
    stage.record()
    assert not stage.desk.jobs


def test_a_checkpointing_task_gets_time_to_save_but_not_when_cancelled() -> None:
    stage = Stage()
    attempt = launched(stage, 1, markEveryS=10.0, markCostS=3.0)
    stage.report(rungs=(rung(0, attempt),), now=2.0)
    (order,) = stage.report(rungs=(rung(0, attempt),), now=3.0, recallS=10.0)
    assert order["verb"] == "stop" and order["windDownS"] >= 3.0


def test_a_machine_of_unknown_type_gets_nothing_and_harms_nothing() -> None:
    stage = Stage()
    stage.submit(cores=0.0, memoryGb=0.0, rank="production", shape="daemon", rungs=1)
    stage.report(flavour="m99")
    assert not stage.machine().claims


def test_a_task_nobody_claims_is_stopped() -> None:
    stage = Stage()
    (order,) = stage.report(rungs=(rung(0, 5),))
    assert (order["verb"], order["try"]) == ("stop", 5)


def test_a_stale_record_is_written_again_under_its_present_version() -> None:
    stage = Stage()
    stage.submit(rungs=1)
    stage.report()
    txn = stage.ledger.collect(True)
    assert txn is not None
    stage.ledger.restamp(txn, {"lf/p/0": 15})
    txn = stage.ledger.collect(True)
    assert txn is not None and txn.guards["lf/p/0"] == 15 and "req-000001" in txn.puts["lf/p/0"]


def test_replicas_get_room_from_lower_ranks_only() -> None:
    stage = Stage()
    attempt = launched(stage, 2)
    stage.report(rungs=(rung(0, attempt), rung(1, attempt + 1)), now=2.0)
    stage.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    stage.desk.schedule(3.0)
    assert {claim.stopping for claim in stage.machine().claims.values()} == {"preempted"}
    calm = Stage()
    attempt = launched(calm, 2, rank="production")
    calm.report(rungs=(rung(0, attempt), rung(1, attempt + 1)), now=2.0)
    calm.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    calm.desk.schedule(3.0)
    assert {claim.stopping for claim in calm.machine().claims.values()} == {None}


def test_a_replica_is_not_kept_out_by_its_own_teams_batch_work() -> None:
    """Incident inc-a991: a team's array tasks filled its limit, and its lookup service waited for 100 s."""
    stage = Stage()
    for host in range(6):
        stage.report(f"m{host}")
    stage.submit(rungs=8)
    while stage.desk.changed:
        stage.desk.schedule(2.0)
    assert stage.desk.teams.cpus["red"] == 16.0
    stage.submit("req-000002", rank="production", shape="daemon", cores=4.0, rungs=1)
    while stage.desk.changed:
        stage.desk.schedule(3.0)
    held = [claim.job.uid for machine in stage.desk.machines.values() for claim in machine.claims.values()]
    assert held.count("req-000002") == 1 and held.count("req-000001") == 6
    assert stage.desk.teams.cpus["red"] == 16.0


def test_no_replica_goes_where_a_report_is_missing() -> None:
    """Hunt day 937d-5: room was cleared on machines that were just being cut off."""
    stage = Stage()
    stage.report("late", now=10.0)
    stage.report("prompt", now=13.0)
    stage.submit(rank="production", shape="daemon", cores=4.0, rungs=2)
    stage.desk.schedule(13.5)
    assert not stage.machine("late").claims and len(stage.machine("prompt").claims) == 1


def test_a_guarantee_takes_back_what_was_borrowed_after_a_wait() -> None:
    stage = Stage()
    stage.submit("req-000002", owner="blue", rungs=2)
    stage.report()
    stage.record()
    stage.report()
    stage.submit("req-000003", owner="red", rungs=1, rank="best_effort")
    stage.desk.schedule(2.0)
    assert not any(claim.stopping for claim in stage.machine().claims.values())
    stage.desk.machines["m"].fresh_at = 20.0
    stage.desk.schedule(20.0)
    assert [claim.job.spec.team for claim in stage.machine().claims.values() if claim.stopping] == ["blue"]


def test_machines_that_fall_silent_together_get_longer() -> None:
    stage = Stage()
    for host in ("a", "b", "c"):
        stage.report(host, now=1.0)
    stage.report("c", now=7.0)
    assert stage.desk.sweep(7.5) == [], "two of three: a cut"
    alone = Stage()
    for host in ("a", "b", "c"):
        alone.report(host, now=1.0)
    for host in ("b", "c"):
        alone.report(host, now=7.0)
    assert alone.desk.sweep(7.5) == ["a"]


def test_a_large_job_is_opened_block_by_block_and_fits_the_limits() -> None:
    stage = Stage()
    stage.submit(rungs=100_000, owner="blue")
    for host in range(40):
        stage.report(f"m{host}")
    stage.desk.schedule(2.0)
    assert stage.desk.jobs["req-000001"].next_block <= 2, "no more than there is use for"
    stage.record()
    assert len(stage.desk.pages.pages) == 1
    for page in stage.desk.pages.pages:
        assert encoded_size(page) < 16 * 1024


def test_a_leader_that_stood_still_does_no_harm() -> None:
    """Incident inc-5681: a process woke up after its successor's term had begun, and saw all leases over."""
    term = Term(EPOCH_NOW, 3, 1, renewed_at=100.0, ttl=2.0, grace=17.0, known_at=100.0)
    assert term.may_start(101.9)
    assert not term.may_start(132.0), "it starts, rents and deletes nothing before it has renewed its lease"
    stage = Stage()
    launched(stage, 1)
    stage.desk.sweep(33.0)
    txn = stage.ledger.collect(True)
    assert txn is not None and txn.guards[EPOCH] == 3, "and what it would record fails on the epoch"
