"""A scripted worker: it reports, executes orders, and fails in the ways that a test sets."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.http import Client, Reply, Request
from ladderfield.testing.network import Network, origin


class Worker:
    """The worker of one machine; ``started`` lists every start as (time, task, attempt)."""

    def __init__(self, host: str, address: str, net: Network, controllers: list[str], **fields: Any) -> None:
        self.report_fields = {
            "host": host,
            "endpoint": f"{address}:90",
            "flavour": "m4",
            "yard": "za",
            "loaners": False,
        } | fields
        self.net, self.controllers, self.address = net, controllers, address
        self.run_s = 5.0
        self.lease_s, self.report_pause_s, self.fetch_s = 12.0, 0.5, 0.0
        self.is_service: Callable[[str], bool] = lambda uid: False  # whether a job's tasks run until stopped
        self.failing_jobs: set[str] = set()  # jobs whose tasks fail on this machine
        self.session, self.sequence, self.epoch = 1, 0, 0
        self.lease_renewed_at = trio.current_time()  # send time of the last answered report
        self.tasks: dict[str, dict[str, Any]] = {}
        self.phase_ends: dict[str, float] = {}
        self.started: list[tuple[float, str, int]] = []
        self.on_start: Callable[[], None] = lambda: None  # called after each start
        self.ended: list[tuple[float, str, int]] = []  # end of every attempt as (time, task, attempt)
        self.executed_orders: list[dict[str, Any]] = []  # every /orders request that was carried out
        self.withheld_orders: list[dict[str, Any]] = []  # /orders received while ``withhold_orders`` is set
        self.withhold_orders = False
        self.hung_until = -math.inf  # it does nothing until then, and handles requests received meanwhile afterwards
        self.drop_answers = False  # executes /orders, but its answers are lost
        self.drop_incoming = False  # its reports arrive, but it receives no answers and no commands
        self.sent_reports: list[dict[str, Any]] = []  # all reports, so that a test can deliver copies late
        self.reporting_disabled = False  # it connects to no controller, but receives direct commands
        self.dead = False

    def report(self) -> dict[str, Any]:
        """The next report."""
        self._progress()
        self.sequence += 1
        return self.report_fields | {
            "tenure": self.session, "tick": self.sequence, "epoch": self.epoch, "recallS": None,
            "rungs": [dict(task) for task in self.tasks.values()],
        }  # fmt: skip

    def _progress(self) -> None:
        if trio.current_time() < self.hung_until:
            return
        if trio.current_time() - self.lease_renewed_at > self.lease_s:
            self.discard_tasks()
            self.session, self.sequence = self.session + 1, 0
            self.lease_renewed_at = trio.current_time()
        for name, task in self.tasks.items():
            if task["phase"] == "fetching" and trio.current_time() >= self.phase_ends[name]:
                task["phase"] = "running"
                self.phase_ends[name] = self._run_end(name)
            if task["phase"] == "running" and trio.current_time() >= self.phase_ends[name]:
                task |= {"phase": "exited", "cause": "error" if name.split("/")[0] in self.failing_jobs else "done"}
                self._record_end(name)

    def _record_end(self, name: str) -> None:
        """Record the end of an attempt."""
        self.ended.append((trio.current_time(), name, self.tasks[name]["try"]))

    def discard_tasks(self) -> None:
        """Drop all tasks, because the lease expired or the machine was deleted."""
        for name, task in self.tasks.items():
            if task["phase"] != "exited":
                self._record_end(name)
        self.tasks = {}

    def _run_end(self, name: str) -> float:
        """End of a task that starts to run now."""
        return math.inf if self.is_service(name.split("/")[0]) else trio.current_time() + self.run_s

    def active_tasks(self) -> dict[str, int]:
        """Tasks that have not exited, with their attempts."""
        self._progress()
        return {name: task["try"] for name, task in self.tasks.items() if task["phase"] != "exited"}

    def apply_orders(self, epoch: Any, orders: list[dict[str, Any]]) -> bool:
        """Execute orders, unless their epoch is older than the last one seen."""
        if not isinstance(epoch, int) or epoch < self.epoch:
            return False
        self.epoch = epoch
        for order in orders:
            name, attempt = order["rung"], order["try"]
            task = self.tasks.get(name)
            if order["verb"] == "launch":
                if task is None:
                    phase = "fetching" if self.fetch_s else "running"
                    self.tasks[name] = {"rung": name, "try": attempt, "phase": phase}
                    self.phase_ends[name] = trio.current_time() + self.fetch_s if self.fetch_s else self._run_end(name)
                    self.started.append((trio.current_time(), name, attempt))
                    self.on_start()
            elif task is not None and task["try"] == attempt:
                if order["verb"] == "stop" and task["phase"] != "exited":
                    task |= {"phase": "exited", "cause": "stopped"}
                    self._record_end(name)
                elif order["verb"] == "reap" and task["phase"] == "exited":
                    del self.tasks[name]
        return True

    def hang(self, duration_s: float) -> None:
        """Suspend the worker and its tasks for a time."""
        self._progress()
        self.hung_until = trio.current_time() + duration_s
        for name in self.phase_ends:
            self.phase_ends[name] += duration_s

    async def __call__(self, request: Request) -> Reply:
        """Answer /orders and /show."""
        await trio.sleep_until(self.hung_until)
        if self.dead or self.drop_incoming or self.address in self.net.cut:
            await trio.sleep_forever()
        if request.path == "/orders":
            body = msgspec.json.decode(request.body)
            if self.withhold_orders:
                self.withheld_orders.append(body)
                await trio.sleep_forever()
            status = 200 if self.handle_orders(body) else 409
            if status == 200:
                self.executed_orders.append(body)
            if self.drop_answers:
                await trio.sleep_forever()
            return Reply(status, self.report())
        return Reply(200, self.report())

    def handle_orders(self, body: dict[str, Any]) -> bool:
        """Execute the body of an /orders request, possibly a late copy, if it is for the current session."""
        return body["tenure"] == self.session and self.apply_orders(body["epoch"], body["orders"])

    async def run(self) -> None:
        """Report to the leader, forever."""
        origin.set(self.address)
        node = 0
        while True:
            await trio.sleep(self.report_pause_s)
            await trio.sleep_until(self.hung_until)
            self._progress()
            if self.dead or self.reporting_disabled or self.address in self.net.cut:
                continue
            host, _, port = self.controllers[node].partition(":")
            sent_at, session = trio.current_time(), self.session
            client = Client(host, int(port), max_idle=0)
            self.sent_reports.append(self.report())
            try:
                status, data = await client.call("POST", "/v1/report", self.sent_reports[-1], 4.0)
                answer = msgspec.json.decode(data)
            except Exception:
                status, answer = 0, {}
            if self.drop_incoming:
                status = 0
                await trio.sleep_until(sent_at + 4.0)
            if (
                status == 200
                and session == self.session
                and self.apply_orders(answer.get("epoch"), answer.get("orders", []))
            ):
                self.lease_renewed_at = sent_at
            elif status == 421 and answer.get("foreman"):
                node = int(answer["foreman"][1:])
            else:
                node = (node + 1) % len(self.controllers)
                await trio.sleep(self.report_pause_s)
            await trio.sleep(self.report_pause_s)
