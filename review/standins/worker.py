"""The worker of one machine, as the protocol describes it."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.http import Client, NoAnswerError, Reply, Request

ANSWER_S, NEXT_NODE_S, MIN_PAUSE_S = 4.0, 1.0, 0.5


class Worker:
    """Reports, executes commands and runs tasks; ``outcome`` gives the run time and the cause of the end of a task."""

    def __init__(
        self, fields: dict[str, Any], nodes: dict[str, str], report_s: float, lease_s: float,
        outcome: Callable[[str], tuple[float, str]], note: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.fields, self.nodes, self.report_s, self.lease_s = fields, nodes, report_s, lease_s
        self.outcome, self.note = outcome, note
        self.host: str = fields["host"]
        self.tenure, self.tick, self.epoch = 1, 0, 0
        self.renewed_at = trio.current_time()
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.next_at: dict[tuple[str, int], float] = {}  # when the image is there, or when the task ends
        self.causes: dict[tuple[str, int], str] = {}
        self.fetch_s = 1.0
        self.changed = trio.Event()
        self.before_orders: Callable[[dict[str, Any]], float] = lambda body: 0.0  # how long a command is held up
        self.after_orders: Callable[[dict[str, Any]], float] = lambda body: 0.0  # how long its answer is held up

    def report(self) -> dict[str, Any]:
        """The next report."""
        self.progress()
        self.tick += 1
        rungs = [dict(task) for task in self.tasks.values()]
        return self.fields | {
            "tenure": self.tenure, "tick": self.tick, "epoch": self.epoch, "recallS": None, "rungs": rungs,
        }  # fmt: skip

    def signal(self) -> None:
        """Something changed: report soon."""
        self.changed.set()
        self.changed = trio.Event()

    def progress(self) -> None:
        """Let the tasks run on, and end the session if the lease is over."""
        now = trio.current_time()
        if now - self.renewed_at > self.lease_s:
            for (name, attempt), task in self.tasks.items():
                if task["phase"] != "exited":
                    self.note(f"{self.host}: {name} try {attempt} killed, the lease is over")
            self.tasks, self.next_at = {}, {}
            self.tenure, self.renewed_at = self.tenure + 1, now
            self.signal()
        for key, at in list(self.next_at.items()):
            if now < at:
                continue
            if self.tasks[key]["phase"] == "fetching":
                run_s, cause = self.outcome(key[0])
                self.tasks[key]["phase"] = "running"
                self.causes[key], self.next_at[key] = cause, now + run_s
                self.note(f"{self.host}: {key[0]} try {key[1]} runs")
            else:
                self.exit(key, self.causes[key])
            self.signal()

    def exit(self, key: tuple[str, int], cause: str) -> None:
        """End an attempt."""
        self.tasks[key] |= {"phase": "exited", "cause": cause}
        self.next_at.pop(key, None)
        self.note(f"{self.host}: {key[0]} try {key[1]} exited: {cause}")

    def apply(self, orders: list[dict[str, Any]], way: str) -> None:
        """Execute commands in order."""
        for order in orders:
            key = (order["rung"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                here = [
                    other for other, state in self.tasks.items() if other[0] == key[0] and state["phase"] != "exited"
                ]
                self.tasks[key] = {"rung": key[0], "try": key[1], "phase": "fetching"}
                self.note(f"{self.host}: {key[0]} try {key[1]} launched ({way})")
                if here:
                    self.exit(key, "in_use")
                else:
                    self.next_at[key] = trio.current_time() + self.fetch_s
                self.signal()
            elif order["verb"] == "stop" and task is not None and task["phase"] != "exited":
                self.exit(key, "stopped")
                self.signal()
            elif order["verb"] == "reap" and task is not None and task["phase"] == "exited":
                del self.tasks[key]
                self.note(f"{self.host}: {key[0]} try {key[1]} reaped")
                self.signal()

    async def __call__(self, request: Request) -> Reply:
        """Answer /orders and /show."""
        if request.path != "/orders":
            return Reply(200, self.report())
        body = msgspec.json.decode(request.body)
        if "epoch" not in body or "tenure" not in body:
            return Reply(400, {})
        await trio.sleep(self.before_orders(body))
        held_s = self.after_orders(body)
        self.progress()
        executed = body["epoch"] >= self.epoch and body["tenure"] == self.tenure
        if executed:
            self.epoch = body["epoch"]
            self.apply(body["orders"], "direct command")
        report = self.report()
        await trio.sleep(held_s)
        return Reply(200 if executed else 409, report)

    async def run(self) -> None:
        """Report, forever."""
        names = list(self.nodes)
        node = random.choice(names)
        client: Client | None = None
        while True:
            if client is None:
                host, _, port = self.nodes[node].rpartition(":")
                client = Client(host, int(port), max_idle=1)
            self.progress()
            sent_at, tenure = trio.current_time(), self.tenure
            status, answer = 0, {}
            changed = self.changed
            try:
                status, data = await client.call("POST", "/v1/report", self.report(), ANSWER_S)
                answer = msgspec.json.decode(data) if data else {}
            except (NoAnswerError, msgspec.DecodeError):
                pass
            self.progress()
            if status == 200:
                if tenure == self.tenure and isinstance(answer.get("epoch"), int) and answer["epoch"] >= self.epoch:
                    self.renewed_at, self.epoch = sent_at, answer["epoch"]
                    self.apply(answer.get("orders", []), "answer to a report")
                await trio.sleep(MIN_PAUSE_S)
                pause = self.report_s * random.uniform(0.75, 1.25) - MIN_PAUSE_S
                pause = min(pause, self.next_event_s())
                with trio.move_on_after(max(0.0, pause)):
                    await changed.wait()
                continue
            await client.close_idle()
            client = None
            foreman = answer.get("foreman") if status == 421 else None
            if foreman in self.nodes and foreman != node:
                node = foreman
                await trio.sleep(random.uniform(0.0, 0.5))
            else:
                node = names[(names.index(node) + 1) % len(names)]
                await trio.sleep(NEXT_NODE_S)

    def next_event_s(self) -> float:
        """Seconds until something happens to a task."""
        return min(self.next_at.values(), default=math.inf) - trio.current_time()
