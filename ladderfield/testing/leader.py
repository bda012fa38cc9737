"""A leader's tables for the tests, with machines that report by hand."""

from __future__ import annotations

from typing import Any

import msgspec

from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.jobs.model import TYPES_KEY
from ladderfield.leader.actor import Leader
from ladderfield.leader.ledger import Ledger
from ladderfield.leader.scheduler import Scheduler
from ladderfield.leadership import EPOCH
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing.samples import TYPES, accepted, job, settings
from ladderfield.view import Change, View
from ladderfield.workers.machine import Machine
from ladderfield.workers.orders import Order
from ladderfield.workers.report import Report

EPOCH_NOW = 7
ABOUT = ["za", "10.9.0.1:90", "m4", False]  # what a page says of a machine


class SchedulerHarness:
    """A scheduler, its ledger, and machines that report by hand."""

    def __init__(self, data: dict[str, Any] | None = None) -> None:
        self.pushed: list[str] = []
        self.on_record: dict[str, Any] = {TYPES_KEY: (TYPES, 1)} | (data or {})
        self.dependencies = DependencyGraph(lambda key: self.on_record.get(key, (None, 0))[0])
        self.scheduler = Scheduler(settings(), EPOCH_NOW, 0.0, 1000.0, 36.0, self.dependencies)
        self.scheduler.push = lambda machine: self.pushed.append(machine.host)
        for key, (value, stamp) in self.on_record.items():
            self.dependencies.apply_change(Change(key, value, stamp))
        self.scheduler.load(self.on_record, 0.0)
        self.ledger = Ledger(self.scheduler, 3, 16)
        self.stamp = 10
        self.ticks: dict[str, int] = {}

    def submit(self, uid: str = "req-000001", **changes: Any) -> None:
        """A job appears in the state service."""
        self.appear(f"lf/j/{uid}", accepted(job(uid, **changes), at=1000.0), 5)

    def appear(self, key: str, value: Any, stamp: int, now: float = 0.0) -> None:
        """A key changes in the state service."""
        self.on_record[key] = (value, stamp)
        self.dependencies.apply_change(Change(key, value, stamp))
        self.scheduler.take_changes([Change(key, value, stamp)], now)

    def tell(self, uid: str = "req-000001", phase: str = "done") -> None:
        """The job's final state appears in the state service."""
        self.appear(f"lf/f/{uid}", {"phase": phase, "at": 1000.0}, 9)

    def report(
        self,
        host: str = "m",
        rungs: tuple[dict[str, Any], ...] = (),
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
        machine = self.scheduler.sessions.report(msgspec.convert(raw, Report), now, answering=True)
        assert machine is not None
        self.scheduler.schedule(now)
        return wire_orders(self.scheduler.sessions.orders(machine, now, self.ticks[host]))

    def record(self, now: float = 1.0) -> None:
        """Everything due is written and answered."""
        while (txn := self.ledger.collect(True)) is not None:
            self.stamp += 1
            self.ledger.applied(txn, self.stamp, now)

    def machine(self, host: str = "m") -> Machine:
        """The machine's entry in the scheduler's tables."""
        return self.scheduler.machines[host]


def wire_orders(orders: list[Order]) -> list[dict[str, Any]]:
    """Orders as a worker reads them."""
    return [msgspec.json.decode(msgspec.json.encode(order)) for order in orders]


def rung(
    index: int, attempt: int, phase: str = "running", cause: str | None = None, uid: str = "req-000001"
) -> dict[str, Any]:
    """A task in a report."""
    return {"rung": f"{uid}/{index}", "try": attempt, "phase": phase, "cause": cause}


def launched(harness: SchedulerHarness, tasks: int = 1, **changes: Any) -> int:
    """A job whose first task was launched on machine m; its attempt."""
    harness.submit(rungs=tasks, **changes)
    harness.report()
    harness.record()
    orders = harness.report()
    assert [order["verb"] for order in orders] == ["launch"] * tasks
    return int(orders[0]["try"])


def launched_by_push(harness: SchedulerHarness) -> tuple[Machine, dict[str, Any]]:
    """A job whose one task was launched on machine m over /orders, without an answer yet; the machine and the order."""
    harness.submit(rungs=1)
    harness.report()
    harness.record()
    machine = harness.machine()
    (order,) = wire_orders(harness.scheduler.sessions.orders(machine, 1.0, None))
    return machine, order


def inherited(attempt: int = 99) -> dict[str, Any]:
    """What an earlier leader left on record."""
    return {
        "lf/j/req-000001": (accepted(job(rungs=1, cores=4.0)), 4),
        "lf/p/0": ({"hosts": {"m": ABOUT}, "req-000001": {"a": {"0": [attempt, "m"]}}}, 6),
    }


def claimed_leader() -> Leader:
    """A leader of epoch 7 with one recorded claim, not launched yet, on machine m."""
    client = StateClient(settings())
    term = Term(7, 3, 1, 0.0, 2.0, 17.0, 0.0)
    leader = Leader(
        settings(), term, client, View(client, settings()), Cloud(settings()), DependencyGraph(lambda key: None)
    )
    leader.scheduler.load({"lf/types": (TYPES, 1), EPOCH: ({"epoch": 7}, 3)}, 0.0)
    leader.scheduler.take_changes([Change("lf/j/req-000001", accepted(job(rungs=1)), 5)], 0.0)
    leader.scheduler.sessions.report(session_report(1, 1), 0.1, answering=True)
    leader.scheduler.schedule(0.1)
    txn = leader.ledger.collect(True)
    assert txn is not None
    leader.ledger.applied(txn, 9, 0.1)
    return leader


def session_report(tenure: int, tick: int) -> Report:
    """An empty report of machine m, with the epoch of ``claimed_leader``."""
    return Report("m", "10.9.0.1:90", "m4", "za", False, tenure, tick, 7, None, [])
