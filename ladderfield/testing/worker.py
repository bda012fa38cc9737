"""A machine's worker: reports, carries orders out, and fails as a test wants it to."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.http import Client, Reply, Request
from ladderfield.testing.network import Network, origin


class Worker:
    """A machine's worker; ``log`` has every start as (time, task, attempt)."""

    def __init__(self, host: str, at: str, net: Network, controllers: list[str], **about: Any) -> None:
        self.about = {"host": host, "endpoint": f"{at}:90", "flavour": "m4", "yard": "za", "loaners": False} | about
        self.net, self.controllers, self.address = net, controllers, at
        self.run_s = 5.0
        self.lease_s, self.pace_s, self.fetch_s = 12.0, 0.5, 0.0
        self.endless: Callable[[str], bool] = lambda uid: False  # which jobs are services
        self.fail: set[str] = set()  # jobs whose tasks fail here
        self.tenure, self.tick, self.epoch = 1, 0, 0
        self.answered = trio.current_time()  # when the last answered report was sent
        self.rungs: dict[str, dict[str, Any]] = {}
        self.ends: dict[str, float] = {}
        self.log: list[tuple[float, str, int]] = []
        self.ended: list[tuple[float, str, int]] = []  # when each attempt left the machine
        self.held: list[dict[str, Any]] = []  # /orders kept back while ``hold`` is set
        self.hold = False
        self.hung_until = -math.inf  # it does nothing until then; what reached it meanwhile is carried out late
        self.loses_answers = False  # carries /orders out, but its answers are lost
        self.deaf = False  # its reports go out, but no answer and no command comes in
        self.sent: list[dict[str, Any]] = []  # its reports, so that copies may come late
        self.mute = False  # it opens no connection to any controller; direct commands reach it
        self.dead = False

    def body(self) -> dict[str, Any]:
        """The present report."""
        self._progress()
        self.tick += 1
        return self.about | {
            "tenure": self.tenure, "tick": self.tick, "epoch": self.epoch, "recallS": None,
            "rungs": [dict(rung) for rung in self.rungs.values()],
        }  # fmt: skip

    def _progress(self) -> None:
        if trio.current_time() < self.hung_until:
            return
        if trio.current_time() - self.answered > self.lease_s:
            self.lose_all()
            self.tenure, self.tick = self.tenure + 1, 0
            self.answered = trio.current_time()
        for name, rung in self.rungs.items():
            if rung["phase"] == "fetching" and trio.current_time() >= self.ends[name]:
                rung["phase"] = "running"
                self.ends[name] = self._end_of(name)
            if rung["phase"] == "running" and trio.current_time() >= self.ends[name]:
                rung |= {"phase": "exited", "cause": "error" if name.split("/")[0] in self.fail else "done"}
                self._leaves(name)

    def _leaves(self, name: str) -> None:
        """An attempt is no longer on the machine."""
        self.ended.append((trio.current_time(), name, self.rungs[name]["try"]))

    def lose_all(self) -> None:
        """The lease has run out, or the machine is gone."""
        for name, rung in self.rungs.items():
            if rung["phase"] != "exited":
                self._leaves(name)
        self.rungs = {}

    def _end_of(self, name: str) -> float:
        """When a task that begins to run now ends."""
        return math.inf if self.endless(name.split("/")[0]) else trio.current_time() + self.run_s

    def on(self) -> dict[str, int]:
        """Tasks on the machine: name to attempt."""
        self._progress()
        return {name: rung["try"] for name, rung in self.rungs.items() if rung["phase"] != "exited"}

    def obey(self, epoch: Any, orders: list[dict[str, Any]]) -> bool:
        """Carry orders out if the token allows it."""
        if not isinstance(epoch, int) or epoch < self.epoch:
            return False
        self.epoch = epoch
        for order in orders:
            name, attempt = order["rung"], order["try"]
            rung = self.rungs.get(name)
            if order["verb"] == "launch":
                if rung is None:
                    phase = "fetching" if self.fetch_s else "running"
                    self.rungs[name] = {"rung": name, "try": attempt, "phase": phase}
                    self.ends[name] = trio.current_time() + self.fetch_s if self.fetch_s else self._end_of(name)
                    self.log.append((trio.current_time(), name, attempt))
            elif rung is not None and rung["try"] == attempt:
                if order["verb"] == "stop" and rung["phase"] != "exited":
                    rung |= {"phase": "exited", "cause": "stopped"}
                    self._leaves(name)
                elif order["verb"] == "reap" and rung["phase"] == "exited":
                    del self.rungs[name]
        return True

    def hang(self, for_s: float) -> None:
        """Do nothing for a while."""
        self._progress()
        self.hung_until = trio.current_time() + for_s
        for name in self.ends:
            self.ends[name] += for_s

    async def __call__(self, request: Request) -> Reply:
        """/orders and /show."""
        await trio.sleep_until(self.hung_until)
        if self.dead or self.deaf or self.address in self.net.cut:
            await trio.sleep_forever()
        if request.path == "/orders":
            body = msgspec.json.decode(request.body)
            if self.hold:
                self.held.append(body)
                await trio.sleep_forever()
            status = 200 if self.late(body) else 409
            if self.loses_answers:
                await trio.sleep_forever()
            return Reply(status, self.body())
        return Reply(200, self.body())

    def late(self, body: dict[str, Any]) -> bool:
        """Carry a copy of /orders out, whenever it arrives."""
        return body["tenure"] == self.tenure and self.obey(body["epoch"], body["orders"])

    async def run(self) -> None:
        """Report for ever."""
        origin.set(self.address)
        node = 0
        while True:
            await trio.sleep(self.pace_s)
            await trio.sleep_until(self.hung_until)
            self._progress()
            if self.dead or self.mute or self.address in self.net.cut:
                continue
            host, _, port = self.controllers[node].partition(":")
            sent, tenure = trio.current_time(), self.tenure
            client = Client(host, int(port), max_idle=0)
            self.sent.append(self.body())
            try:
                status, data = await client.call("POST", "/v1/report", self.sent[-1], 4.0)
                answer = msgspec.json.decode(data)
            except Exception:
                status, answer = 0, {}
            if self.deaf:
                status = 0
                await trio.sleep_until(sent + 4.0)
            if status == 200 and tenure == self.tenure and self.obey(answer.get("epoch"), answer.get("orders", [])):
                self.answered = sent
            elif status == 421 and answer.get("foreman"):
                node = int(answer["foreman"][1:])
            else:
                node = (node + 1) % len(self.controllers)
                await trio.sleep(self.pace_s)
            await trio.sleep(self.pace_s)
