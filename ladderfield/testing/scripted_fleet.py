"""A whole fleet of scripted machines around one leader at a time, by hand: no network, no tasks, time as told.

Fast enough for thousands of machines. Rules are looked at in every round: no task on two machines, and whatever a test
adds as ``checks``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ladderfield.fleet.cloud import Cloud
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.leader.actor import Leader
from ladderfield.leader.messages import ReportReceived
from ladderfield.settings import Settings
from ladderfield.state import StateClient
from ladderfield.term import Term
from ladderfield.testing.samples import TYPES, accepted, job, settings
from ladderfield.view import Change, View
from ladderfield.workers.report import Report
from ladderfield.zones.options import ZoneOptions

ZONES = ("za", "zb", "zc")
ROUND_S = 1.0  # between two reports of a machine
LEASE_S = 12.0  # as in the settings
STEPS = ("launch", "stop", "reap")


def fleet_settings(machines: int) -> Settings:
    """Settings with three zones, and as many sockets as the workers need."""
    own = settings()
    quota = msgspec.structs.replace(own.cluster.quota, max_connections=max(1200, 2 * machines))
    return msgspec.structs.replace(own, cluster=msgspec.structs.replace(own.cluster, quota=quota, zones=list(ZONES)))


class ScriptedWorker:
    """A machine that carries out what the answers to its reports say."""

    def __init__(self, host: str, zone: str, fetch_s: float = 0.0) -> None:
        self.host, self.zone, self.fetch_s = host, zone, fetch_s
        self.tenure, self.tick, self.epoch, self.cut = 1, 0, 0, False
        self.images: set[str] = set()
        self.rungs: dict[str, dict[str, Any]] = {}
        self.until: dict[str, float] = {}  # when a task's phase ends
        self.answered_at = 0.0
        self.starts: list[tuple[float, str]] = []

    @property
    def running(self) -> list[str]:
        """Tasks that are on the machine: they have their image and have not ended."""
        return [name for name, rung in self.rungs.items() if rung["phase"] == "running"]

    def progress(self, now: float, run_s: float, endless: Callable[[str], bool]) -> None:
        """Fetches and tasks end, and so does a lease."""
        if now - self.answered_at > LEASE_S:
            # It comes back cold: the images are gone as well.
            self.tenure, self.tick, self.rungs, self.images = self.tenure + 1, 0, {}, set()
            self.answered_at = now
        for name, rung in self.rungs.items():
            if rung["phase"] == "fetching" and now >= self.until[name]:
                rung["phase"] = "running"
                self.images.add(rung["image"])
                self.starts.append((now, name))
                self.until[name] = now + run_s
            elif rung["phase"] == "running" and now >= self.until[name] and not endless(name):
                rung |= {"phase": "exited", "cause": "done"}

    def report(self) -> Report:
        """The present report."""
        self.tick += 1
        raw = {
            "host": self.host, "endpoint": "10.9.0.1:90", "flavour": "m4", "yard": self.zone, "loaners": False,
            "tenure": self.tenure, "tick": self.tick, "epoch": self.epoch, "rungs": list(self.rungs.values()),
        }  # fmt: skip
        return msgspec.convert(raw, Report)

    def carry_out(self, verb: str, name: str, attempt: int, image: str, now: float) -> None:
        """Carry one order out."""
        rung = self.rungs.get(name)
        if verb == "launch" and rung is None:
            self.rungs[name] = {"rung": name, "try": attempt, "phase": "fetching", "image": image}
            self.until[name] = now + (0.0 if image in self.images else self.fetch_s)
        elif verb == "stop" and rung is not None and rung["try"] == attempt:
            rung |= {"phase": "exited", "cause": "stopped"}
        elif verb == "reap":
            self.rungs.pop(name, None)


class ScriptedFleet:
    """Scripted workers, and records that outlive any leader."""

    def __init__(self, machines: int, zone_options: ZoneOptions | None = None, fetch_s: float = 0.0) -> None:
        self.settings, self.zone_options, self.fetch_s = fleet_settings(machines), zone_options, fetch_s
        self.workers = [
            ScriptedWorker(f"i-{number:06d}", ZONES[number % len(ZONES)], fetch_s) for number in range(machines)
        ]
        self.records: dict[str, tuple[Any, int]] = {"lf/types": ([TYPES[0] | {"yards": list(ZONES)}], 1)}
        self.specs: dict[str, dict[str, Any]] = {}
        self.stamp, self.epoch, self.now, self.run_s = 10, 0, 0.0, 1e9
        self.checks: list[Callable[[], None]] = []
        self.leader = self.elect()

    def elect(self) -> Leader:
        """A new leader takes over from the records."""
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
        """A job appears on record."""
        self.stamp += 1
        self.specs[uid] = job(uid, **{"owner": "blue", "loaners": False} | changes)
        change = Change(f"lf/j/{uid}", accepted(self.specs[uid], at=1000.0 + self.now), self.stamp)
        self.records[change.key] = (change.value, change.revision)
        self.leader.scheduler.take_changes([change], self.now)

    def cut(self, *zones: str) -> None:
        """These zones are cut off, and no others."""
        for worker in self.workers:
            worker.cut = worker.zone in zones

    def record(self) -> None:
        """Everything due is written."""
        ledger = self.leader.ledger
        while (txn := ledger.collect(True)) is not None:
            self.stamp += 1
            for key, value in txn.puts.items():
                self.records[key] = (value, self.stamp)
            ledger.applied(txn, self.stamp, self.now)

    def report_all(self) -> None:
        """Every worker that is not cut off has a report in the inbox at the same moment; all are answered."""
        messages: list[tuple[ScriptedWorker, ReportReceived]] = []
        for worker in self.workers:
            if not worker.cut:
                message = ReportReceived(worker.report(), False)
                self.leader.send.send_nowait(message)  # WouldBlock would be a refusal
                messages.append((worker, message))
        while (received := self.leader._next_message()) is not None:
            self.leader._handlers[type(received)](received, self.now)
        for worker, message in messages:
            answer = message.answer.value
            assert answer is not None, f"{worker.host} is refused"
            worker.epoch, worker.answered_at = answer.epoch, self.now
            for order in sorted(answer.orders, key=lambda order: STEPS.index(order.verb)):
                image = self.specs[order.task.split("/")[0]]["bundle"]
                worker.carry_out(order.verb, order.task, order.attempt, image, self.now)

    def pass_time(self, seconds: float) -> None:
        """Rounds of reports, passes and records."""
        until = self.now + seconds
        while self.now < until:
            self.now += ROUND_S
            self.leader.term.note_known(self.now)  # the state service proves the view fresh all the time
            for worker in self.workers:
                worker.progress(self.now, self.run_s, self._endless)
            self.report_all()
            self._replace(self.leader.scheduler.sweep(self.now))
            self.leader.scheduler.schedule(self.now)
            self.record()
            self._check()

    def _endless(self, name: str) -> bool:
        return bool(self.specs[name.split("/")[0]]["shape"] == "daemon")

    def _replace(self, doomed: Iterable[str]) -> None:
        """Machines that are given up are deleted; others are rented in their zone."""
        for host in doomed:
            old = next(worker for worker in self.workers if worker.host == host)
            self.workers.remove(old)
            self.leader.scheduler.forget(host, self.now)
            new = ScriptedWorker(f"{host}x", old.zone, self.fetch_s)
            new.cut, new.answered_at = old.cut, self.now
            self.workers.append(new)

    def _check(self) -> None:
        twice = [name for name, count in Counter(self.running()).items() if count > 1]
        assert twice == [], f"on two machines: {twice}"
        for check in self.checks:
            check()

    def running(self, zone: str | None = None) -> list[str]:
        """Tasks that run, in one zone or all."""
        return [name for worker in self.workers if zone in (None, worker.zone) for name in worker.running]
