"""A fleet of scripted machines driven directly around one leader: no network, no trio tasks, a simulated clock.

Fast enough for thousands of machines. Invariants are checked in every round: no task runs on two machines, and whatever
a test adds to ``checks``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ladderfield.changes import Change
from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.leader.messages import ReportReceived
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing.samples import TYPES, accepted, job, settings
from ladderfield.view import View
from ladderfield.workers.report import Report
from ladderfield.zones.options import ZoneOptions

ZONES = ("za", "zb", "zc")
ROUND_S = 1.0  # report interval of a machine
LEASE_S = 12.0  # as in the settings
VERB_ORDER = ("launch", "stop", "reap")


def fleet_settings(machines: int) -> Settings:
    """Settings with three zones, and as many sockets as the workers need."""
    own = settings()
    quota = msgspec.structs.replace(own.cluster.quota, max_connections=max(1200, 2 * machines))
    return msgspec.structs.replace(own, cluster=msgspec.structs.replace(own.cluster, quota=quota, zones=list(ZONES)))


class ScriptedWorker:
    """A machine that executes the orders in the answers to its reports."""

    def __init__(self, host: str, zone: str, fetch_s: float = 0.0) -> None:
        self.host, self.zone, self.fetch_s = host, zone, fetch_s
        self.session, self.sequence, self.epoch, self.cut = 1, 0, 0, False
        self.images: set[str] = set()
        self.tasks: dict[str, dict[str, Any]] = {}
        self.phase_ends: dict[str, float] = {}  # when a task's phase ends
        self.answered_at = 0.0
        self.starts: list[tuple[float, str]] = []

    @property
    def running(self) -> list[str]:
        """Tasks that run: their image is fetched and they have not ended."""
        return [name for name, task in self.tasks.items() if task["phase"] == "running"]

    def progress(self, now: float, run_s: float, is_service: Callable[[str], bool]) -> None:
        """End the fetches, tasks and lease whose time has come."""
        if now - self.answered_at > LEASE_S:
            # A machine whose lease has expired returns without its images.
            self.session, self.sequence, self.tasks, self.images = self.session + 1, 0, {}, set()
            self.answered_at = now
        for name, task in self.tasks.items():
            if task["phase"] == "fetching" and now >= self.phase_ends[name]:
                task["phase"] = "running"
                self.images.add(task["image"])
                self.starts.append((now, name))
                self.phase_ends[name] = now + run_s
            elif task["phase"] == "running" and now >= self.phase_ends[name] and not is_service(name):
                task |= {"phase": "exited", "cause": "done"}

    def report(self) -> Report:
        """The next report."""
        self.sequence += 1
        raw = {
            "host": self.host, "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": self.zone, "loaners": False,
            "tenure": self.session, "tick": self.sequence, "epoch": self.epoch, "rungs": list(self.tasks.values()),
        }  # fmt: skip
        return msgspec.convert(raw, Report)

    def execute_order(self, verb: str, name: str, attempt: int, image: str, now: float) -> None:
        """Execute one order."""
        task = self.tasks.get(name)
        if verb == "launch" and task is None:
            self.tasks[name] = {"rung": name, "try": attempt, "phase": "fetching", "image": image}
            self.phase_ends[name] = now + (0.0 if image in self.images else self.fetch_s)
        elif verb == "stop" and task is not None and task["try"] == attempt:
            task |= {"phase": "exited", "cause": "stopped"}
        elif verb == "reap":
            self.tasks.pop(name, None)


class ScriptedFleet:
    """Scripted workers, one leader, and records that persist across leaders."""

    def __init__(self, machines: int, zone_options: ZoneOptions | None = None, fetch_s: float = 0.0) -> None:
        self.settings, self.zone_options, self.fetch_s = fleet_settings(machines), zone_options, fetch_s
        self.workers = [
            ScriptedWorker(f"i-{number:06d}", ZONES[number % len(ZONES)], fetch_s) for number in range(machines)
        ]
        self.records: dict[str, tuple[Any, int]] = {"lf/types": ([TYPES[0] | {"yards": list(ZONES)}], 1)}
        self.specs: dict[str, dict[str, Any]] = {}
        self.revision, self.epoch, self.now, self.run_s = 10, 0, 0.0, 1e9
        self.checks: list[Callable[[], None]] = []
        self.leader = self.elect()

    def elect(self) -> Leader:
        """Start a new leader from the records."""
        self.epoch += 1
        client = StateClient(self.settings)
        term = Term(self.epoch, 3, 1, self.now, 1e6, 17.0, self.now)
        dependencies = DependencyGraph(lambda key: self.records.get(key, (None, 0))[0])
        view, cloud = View(client, self.settings), Cloud(self.settings)
        self.leader = Leader(self.settings, term, client, view, cloud, dependencies, self.zone_options)
        scheduler = self.leader.scheduler
        scheduler.wall_offset = scheduler.estimates.wall_offset = 1000.0
        if scheduler.zones.record is not None:
            scheduler.zones.record.wall_offset = 1000.0
        scheduler.load(dict(self.records), self.now)
        scheduler.term_from = self.now
        scheduler.earlier.confirm_none_left(self.epoch, self.now)
        return self.leader

    def submit(self, uid: str, **changes: Any) -> None:
        """Add a job's record."""
        self.revision += 1
        self.specs[uid] = job(uid, **{"owner": "blue", "loaners": False} | changes)
        change = Change(f"lf/j/{uid}", accepted(self.specs[uid], at=1000.0 + self.now), self.revision)
        self.records[change.key] = (change.value, change.revision)
        self.leader.scheduler.take_changes([change], self.now)

    def cut(self, *zones: str) -> None:
        """Cut off these zones and reconnect all others."""
        for worker in self.workers:
            worker.cut = worker.zone in zones

    def record(self) -> None:
        """Write all records that are due."""
        ledger = self.leader.ledger
        while (txn := ledger.collect(True)) is not None:
            self.revision += 1
            for key, value in txn.puts.items():
                self.records[key] = (value, self.revision)
            ledger.applied(txn, self.revision, self.now)

    def report_all(self) -> None:
        """Put the reports of all connected workers into the inbox at once, then let the leader answer them."""
        messages: list[tuple[ScriptedWorker, ReportReceived]] = []
        for worker in self.workers:
            if not worker.cut:
                message = ReportReceived(worker.report(), False)
                self.leader.send.send_nowait(message)  # raises WouldBlock if the leader refuses the report
                messages.append((worker, message))
        while (received := self.leader._next_message()) is not None:
            self.leader._handlers[type(received)](received, self.now)
        for worker, message in messages:
            answer = message.answer.value
            assert answer is not None, f"the report of {worker.host} was refused"
            worker.epoch, worker.answered_at = answer.token, self.now
            for order in sorted(answer.orders, key=lambda order: VERB_ORDER.index(order.verb)):
                image = self.specs[order.task.split("/")[0]]["bundle"]
                worker.execute_order(order.verb, order.task, order.attempt, image, self.now)

    def advance(self, seconds: float) -> None:
        """Run rounds of reports, scheduling and record writes for this long."""
        until = self.now + seconds
        while self.now < until:
            self.now += ROUND_S
            self.leader.term.note_known(self.now)  # the view is always confirmed as current
            for worker in self.workers:
                worker.progress(self.now, self.run_s, self._is_service)
            self.report_all()
            self._replace(self.leader.scheduler.sweep(self.now))
            self.leader.scheduler.schedule(self.now)
            self.record()
            self._check()

    def _is_service(self, name: str) -> bool:
        return bool(self.specs[name.split("/")[0]]["shape"] == "daemon")

    def _replace(self, lost_hosts: Iterable[str]) -> None:
        """Delete machines that are declared lost and rent replacements in their zones."""
        for host in lost_hosts:
            lost = next(worker for worker in self.workers if worker.host == host)
            self.workers.remove(lost)
            self.leader.scheduler.forget(host, self.now)
            replacement = ScriptedWorker(f"{host}x", lost.zone, self.fetch_s)
            replacement.cut, replacement.answered_at = lost.cut, self.now
            self.workers.append(replacement)

    def _check(self) -> None:
        duplicates = [name for name, count in Counter(self.running()).items() if count > 1]
        assert duplicates == [], f"running on two machines: {duplicates}"
        for check in self.checks:
            check()

    def running(self, zone: str | None = None) -> list[str]:
        """Running tasks, in one zone or in all."""
        return [name for worker in self.workers if zone in (None, worker.zone) for name in worker.running]
