"""A worker as the protocol has it: it reports, keeps its lease, and carries out orders."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.http import Client, NoAnswerError, Reply, Request

ANSWER_TIMEOUT_S, MIN_PAUSE_S, NEXT_S = 4.0, 0.5, 1.0


class Machine:
    """One machine and its worker. ``note`` writes to the record."""

    def __init__(
        self,
        listing: dict[str, Any],
        cores: float,
        timing: tuple[float, float],
        controllers: dict[str, str],
        jobs: dict[str, dict[str, Any]],
        note: Callable[..., None],
    ) -> None:
        self.listing, self.cores, self.jobs, self.note = listing, cores, jobs, note
        self.report_s, self.lease_s = timing
        self.addresses, self.names = list(controllers.values()), list(controllers)
        self.node = 0
        self.session, self.tick, self.token = 1, 0, 0
        self.lease_from = time.monotonic()
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.images: set[str] = set()
        self.changed = trio.Event()
        self.dead = self.sick = False
        self.mistaken: set[str] = set()  # jobs whose tasks fail wherever they start
        self.fetch_s, self.run_s = 1.0, 3.0
        self.starts: list[tuple[str, int]] = []

    def report(self) -> dict[str, Any]:
        """The next report."""
        self.progress()
        self.tick += 1
        shown = ("rung", "try", "phase", "cause")
        return {
            "host": self.listing["uid"], "endpoint": self.listing["endpoint"], "flavour": self.listing["flavour"],
            "yard": self.listing["yard"], "loaners": self.listing["loaners"], "tenure": self.session,
            "tick": self.tick, "epoch": self.token, "recallS": None,
            "rungs": [{key: task[key] for key in shown if key in task} for task in self.tasks.values()],
        }  # fmt: skip

    def progress(self) -> None:
        """Apply the lease and the ends of fetches and runs."""
        now = time.monotonic()
        if self.dead:
            return
        if now - self.lease_from > self.lease_s:
            self.note("worker", self.listing["uid"], "its lease is over, it forgets", list(self.tasks))
            self.tasks.clear()
            self.session, self.tick, self.lease_from = self.session + 1, 0, now
            self._change()
        for name, task in self.tasks.items():
            if task["phase"] == "fetching" and now >= task["until"]:
                self._start(name, task, now)
            elif task["phase"] == "running" and now >= task["until"]:
                task |= {"phase": "exited", "cause": "error" if self._fails(name) else "done"}
                self.note("worker", self.listing["uid"], name[0], "exits:", task["cause"])
                self._change()

    def _fails(self, name: tuple[str, int]) -> bool:
        return self.sick or name[0].split("/")[0] in self.mistaken

    def _change(self) -> None:
        self.changed.set()

    def _start(self, name: tuple[str, int], task: dict[str, Any], now: float) -> None:
        spec = self.jobs[name[0].split("/")[0]]
        self.images.add(spec["bundle"])
        runs_s = 0.5 if self._fails(name) else float("inf") if spec["shape"] == "daemon" else self.run_s
        task |= {"phase": "running", "until": now + runs_s}
        self.starts.append(name)
        self.note("worker", self.listing["uid"], self.listing["flavour"], "starts", name[0], "attempt", name[1])
        self._change()

    def active(self) -> list[str]:
        """The tasks that have not exited."""
        return [name for (name, _), task in self.tasks.items() if task["phase"] != "exited"]

    def execute(self, token: Any, orders: list[dict[str, Any]]) -> bool:
        """Carry out orders unless their token is too low."""
        if not isinstance(token, int) or token < self.token:
            return False
        if token > self.token:
            self.token = token
            self._change()
        for order in orders:
            name = (order["rung"], order["try"])
            task = self.tasks.get(name)
            if order["verb"] == "launch" and task is None:
                self._launch(name)
            elif order["verb"] == "stop" and task is not None and task["phase"] != "exited":
                task |= {"phase": "exited", "cause": "stopped"}
                self._change()
            elif order["verb"] == "reap" and task is not None and task["phase"] == "exited":
                del self.tasks[name]
        self.progress()
        return True

    def _launch(self, name: tuple[str, int]) -> None:
        task: dict[str, Any] = {"rung": name[0], "try": name[1], "phase": "exited"}
        spec = self.jobs.get(name[0].split("/")[0])
        active = [key for key, known in self.tasks.items() if known["phase"] != "exited"]
        if spec is None:
            task["cause"] = "unknown"
        elif any(key[0] == name[0] for key in self.tasks):
            task["cause"] = "in_use"
        elif sum(self.jobs[key[0].split("/")[0]]["cores"] for key in active) + spec["cores"] > self.cores:
            task["cause"] = "no_room"
        else:
            fetch_s = 0.0 if spec["bundle"] in self.images else self.fetch_s
            task |= {"phase": "fetching", "until": time.monotonic() + fetch_s}
        self.tasks[name] = task
        self._change()

    async def __call__(self, request: Request) -> Reply:
        """Answer /orders and /show."""
        if self.dead:
            await trio.sleep_forever()
        self.progress()
        if request.path != "/orders":
            return Reply(200, self.report())
        body = msgspec.json.decode(request.body)
        if "epoch" not in body or "tenure" not in body:
            return Reply(400, {})
        executed = body["tenure"] == self.session and self.execute(body["epoch"], body["orders"])
        return Reply(200 if executed else 409, self.report())

    async def tick_on(self) -> None:
        """Let time pass."""
        while not self.dead:
            await trio.sleep(0.05)
            self.progress()

    async def run(self) -> None:
        """Report until the machine is gone."""
        while not self.dead:
            with trio.move_on_after(self.report_s * random.uniform(0.75, 1.25)):
                await self.changed.wait()
            if self.dead:
                return
            self.changed = trio.Event()
            await self._send()

    async def _send(self) -> None:
        sent_at, session = time.monotonic(), self.session
        host, _, port = self.addresses[self.node].partition(":")
        try:
            client = Client(host, int(port), max_idle=0)
            status, data = await client.call("POST", "/v1/report", self.report(), ANSWER_TIMEOUT_S)
            answer = msgspec.json.decode(data)
        except (NoAnswerError, msgspec.DecodeError):
            status, answer = 0, {}
        self.progress()
        if status == 200:
            token = answer.get("epoch")
            if session == self.session and isinstance(token, int) and token >= self.token:
                self.lease_from = sent_at
                self.execute(token, answer.get("orders", []))
            await trio.sleep(max(0.0, sent_at + MIN_PAUSE_S - time.monotonic()))
            return
        named = answer.get("foreman") if status == 421 else None
        if named in self.names and named != self.names[self.node]:
            self.node = self.names.index(named)
            await trio.sleep(random.uniform(0.0, 0.5))
        else:
            self.node = (self.node + 1) % len(self.addresses)
            await trio.sleep(NEXT_S)
        self._change()
