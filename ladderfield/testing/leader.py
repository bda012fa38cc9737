"""A leader's scheduler for unit tests; the test sends the machines' reports itself."""

from __future__ import annotations

from typing import Any

import msgspec

from ladderfield.changes import Change
from ladderfield.fleet.catalog import LEGACY_TYPES_KEY
from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.leader.ledger import Ledger
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leadership import EPOCH
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing.samples import TYPES, accepted, job, settings
from ladderfield.tokens import first_token, next_epoch
from ladderfield.view import View
from ladderfield.workers.machine import Machine
from ladderfield.workers.orders import Order
from ladderfield.workers.report import Report

EPOCH_NOW = next_epoch(6)
TOKEN_NOW = first_token(EPOCH_NOW)  # the first token of the term
MACHINE_RECORD = [
    "za",
    "10.9.0.1:90",
    "m4",
    False,
]  # a machine's entry in a claims page: zone, endpoint, machine type, spot


class SchedulerHarness:
    """A scheduler and its ledger, with methods that feed it reports and state changes."""

    def __init__(self, data: dict[str, Any] | None = None) -> None:
        self.pushed: list[str] = []
        self.records: dict[str, Any] = {LEGACY_TYPES_KEY: (TYPES, 1)} | (data or {})
        self.dependencies = DependencyGraph(lambda key: self.records.get(key, (None, 0))[0])
        self.scheduler = Scheduler(settings(), EPOCH_NOW, 0.0, 1000.0, 36.0, self.dependencies)
        self.scheduler.push = lambda machine: self.pushed.append(machine.host)
        for key, (value, revision) in self.records.items():
            self.dependencies.apply_change(Change(key, value, revision))
        self.scheduler.load(self.records, 0.0)
        self.ledger = Ledger(self.scheduler, 3, 16)
        self.revision = 10
        self.sequences: dict[str, int] = {}

    def submit(self, uid: str = "req-000001", **changes: Any) -> None:
        """Add a job's record to the state service."""
        self.set_key(f"lf/j/{uid}", accepted(job(uid, **changes), at=1000.0), 5)

    def set_key(self, key: str, value: Any, revision: int, now: float = 0.0) -> None:
        """Change a key in the state service."""
        self.records[key] = (value, revision)
        self.dependencies.apply_change(Change(key, value, revision))
        self.scheduler.take_changes([Change(key, value, revision)], now)

    def record_final_state(self, uid: str = "req-000001", phase: str = "done") -> None:
        """Add the job's final state to the state service."""
        self.set_key(f"lf/f/{uid}", {"phase": phase, "at": 1000.0}, 9)

    def report(
        self,
        host: str = "m",
        tasks: tuple[dict[str, Any], ...] = (),
        now: float = 1.0,
        session: int = 1,
        epoch: int = TOKEN_NOW,
        **fields: Any,
    ) -> list[dict[str, Any]]:
        """Send a machine's report and run the scheduler; returns the orders in the answer."""
        self.sequences[host] = self.sequences.get(host, 0) + 1
        raw = {
            "host": host, "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": "za", "loaners": False,
            "tenure": session, "tick": self.sequences[host], "epoch": epoch, "rungs": list(tasks),
        } | fields  # fmt: skip
        machine = self.scheduler.sessions.report(msgspec.convert(raw, Report), now, answering=True)
        assert machine is not None
        self.scheduler.schedule(now)
        return wire_orders(self.scheduler.sessions.orders(machine, now, self.sequences[host]))

    def write_records(self, now: float = 1.0) -> None:
        """Write all records that are due and apply the answers."""
        while (txn := self.ledger.collect(True)) is not None:
            self.revision += 1
            self.ledger.applied(txn, self.revision, now)

    def machine(self, host: str = "m") -> Machine:
        """The machine's entry in the scheduler's tables."""
        return self.scheduler.machines[host]


def wire_orders(orders: list[Order]) -> list[dict[str, Any]]:
    """Orders as a worker decodes them."""
    return [msgspec.json.decode(msgspec.json.encode(order)) for order in orders]


def reported_task(
    index: int, attempt: int, phase: str = "running", cause: str | None = None, uid: str = "req-000001"
) -> dict[str, Any]:
    """An entry of a report's task list."""
    return {"rung": f"{uid}/{index}", "try": attempt, "phase": phase, "cause": cause}


def launch_job(harness: SchedulerHarness, tasks: int = 1, **changes: Any) -> int:
    """Submit a job and launch its tasks on machine m; returns the first task's attempt."""
    harness.submit(rungs=tasks, **changes)
    harness.report()
    harness.write_records()
    orders = harness.report()
    assert [order["verb"] for order in orders] == ["launch"] * tasks
    return int(orders[0]["try"])


def launch_by_push(harness: SchedulerHarness) -> tuple[Machine, dict[str, Any]]:
    """Launch a single-task job on machine m over /orders, not answered yet; returns the machine and the order."""
    harness.submit(rungs=1)
    harness.report()
    harness.write_records()
    machine = harness.machine()
    (order,) = wire_orders(harness.scheduler.sessions.orders(machine, 1.0, None))
    return machine, order


def inherited_records(attempt: int = 99) -> dict[str, Any]:
    """Records that an earlier leader wrote: one job with a claim on machine m."""
    return {
        "lf/j/req-000001": (accepted(job(rungs=1, cores=4.0)), 4),
        "lf/p/0": ({"hosts": {"m": MACHINE_RECORD}, "req-000001": {"a": {"0": [attempt, "m"]}}}, 6),
    }


def leader_with_claim() -> Leader:
    """A leader of epoch ``EPOCH_NOW`` with one recorded claim, not launched yet, on machine m."""
    client = StateClient(settings())
    term = Term(EPOCH_NOW, 3, 1, 0.0, 2.0, 17.0, 0.0)
    leader = Leader(
        settings(), term, client, View(client, settings()), Cloud(settings()), DependencyGraph(lambda key: None)
    )
    leader.scheduler.load({"lf/types": (TYPES, 1), EPOCH: ({"epoch": EPOCH_NOW}, 3)}, 0.0)
    leader.scheduler.take_changes([Change("lf/j/req-000001", accepted(job(rungs=1)), 5)], 0.0)
    leader.scheduler.sessions.report(session_report(1, 1), 0.1, answering=True)
    leader.scheduler.schedule(0.1)
    txn = leader.ledger.collect(True)
    assert txn is not None
    leader.ledger.applied(txn, 9, 0.1)
    return leader


def session_report(session: int, sequence: int) -> Report:
    """An empty report of machine m, with the first token of ``leader_with_claim``."""
    return Report("m", "10.9.0.1:90", "m4", "za", False, session, sequence, TOKEN_NOW, None, [])
