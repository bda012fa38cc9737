"""Scripted peers for the tests: a state service, a cloud and workers that speak the protocol over memory streams.

They follow the protocol's words, not any implementation's; what a test wants to go wrong (silence, outages, late
copies) is a switch on them. With ``trio.testing.MockClock`` a day passes in the time its code takes.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
import trio.testing

from ladderfield.http import Client, Reply, Request, Server
from ladderfield.settings import Settings

Handler = Callable[[Request], Awaitable[Reply]]

SETTINGS: dict[str, Any] = {
    "member": "n0",
    "location": "za",
    "bind": "10.0.0.1:80",
    "back": "10.0.0.1:81",
    "peers": [
        {"member": "n1", "location": "zb", "endpoint": "10.0.0.2:81"},
        {"member": "n2", "location": "za", "endpoint": "10.0.0.3:81"},
    ],
    "outside": {"cloud": "10.2.0.2:84", "state": "10.2.0.1:23"},
    "cluster": {
        "size": 3,
        "zones": ["za", "zb"],
        "teams": [{"name": "red", "cpus": 8, "cpus_max": 16}, {"name": "blue"}],
        "objectives": [],
        "workers": {"report_s": 2.0, "lease_s": 12.0, "cancel_s": 30.0},
        "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 5.0, "list_lag_s": 4.0},
        "quota": {"cores": 0.5, "ram_mb": 146.0, "max_connections": 1200},
    },
}
TYPES = [
    {"name": "m4", "cores": 4, "cards": 0, "memoryGb": 16, "cacheGb": 50, "pullGbPerS": 1.0, "price": 0.2,
     "lowPrice": 0.1, "readyS": 10, "yards": ["za", "zb"]},
]  # fmt: skip


def settings(member: int = 0) -> Settings:
    """Settings of one of three controllers."""
    everyone = {f"n{n}": f"10.0.0.{n + 1}" for n in range(3)}
    mine = everyone.pop(f"n{member}")
    raw = SETTINGS | {"member": f"n{member}", "bind": f"{mine}:80", "back": f"{mine}:81"}
    zones = {"n0": "za", "n1": "zb", "n2": "za"}
    raw["peers"] = [{"member": name, "location": zones[name], "endpoint": f"{at}:81"} for name, at in everyone.items()]
    return msgspec.convert(raw, Settings)


def job(uid: str = "req-000001", **changes: Any) -> dict[str, Any]:
    """A submission."""
    base = {
        "uid": uid, "jobclass": "batch", "owner": "red", "shape": "array", "rank": "standard", "rungs": 2,
        "cores": 2.0, "cards": 0.0, "memoryGb": 4.0, "bundle": "img-1", "sizeGb": 1.0, "flavours": None,
        "yard": None, "oneZone": False, "spread": False, "loaners": True, "expectS": 5.0, "markEveryS": 0.0,
        "markCostS": 0.0, "dueS": None,
    }  # fmt: skip
    return base | changes


def accepted(*specs: dict[str, Any], at: float = 990.0) -> dict[str, Any]:
    """The record on which these submissions stand."""
    return {"jobs": {spec["uid"]: {"spec": spec, "at": at, "block": 256} for spec in specs}}


class Net:
    """Addresses and who answers there; ``cut`` addresses are silent."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.serving: dict[tuple[str, int], Callable[[Any], Awaitable[None]]] = {}
        self.cut: set[str] = set()
        self.cut_ports: set[tuple[str, int]] = set()  # the same for single ports
        self._open: dict[tuple[str, int], list[trio.CancelScope]] = {}  # connections, by whom they lead to

    def listen(self, text: str, serve: Callable[[Any], Awaitable[None]]) -> None:
        """Somebody answers at an address."""
        host, _, port = text.partition(":")
        self.serving[host, int(port)] = serve

    def http(self, text: str, handler: Handler) -> None:
        """Somebody answers HTTP at an address."""
        self.listen(text, Server(handler, 100, 5.0, 60.0))

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Stands for ``ladderfield.http.connect``."""
        if host in self.cut or (host, port) in self.cut_ports:
            await trio.sleep_forever()
        if (host, port) not in self.serving:
            raise OSError("refused")
        ours, theirs = trio.testing.memory_stream_pair()
        scope = trio.CancelScope()
        self._open.setdefault((host, port), []).append(scope)
        self.nursery.start_soon(self._serve, self.serving[host, port], theirs, scope)
        return ours

    async def _serve(self, serve: Callable[[Any], Awaitable[None]], stream: Any, scope: trio.CancelScope) -> None:
        with scope:
            await serve(stream)
        await trio.aclose_forcefully(stream)

    def close(self, text: str) -> None:
        """Who answered at an address is gone, and with it its connections."""
        host, _, port = text.partition(":")
        self.serving.pop((host, int(port)), None)
        for scope in self._open.pop((host, int(port)), ()):
            scope.cancel()


class StateService:
    """The state service in memory."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[tuple[str, Any, int]] = []
        self.ledger = 0
        self.holds: dict[int, tuple[float, float]] = {}  # hold -> (ttl, ends)
        self.down = False
        self.lose_answers = 0  # so many transactions are applied, but never answered
        self.keeps: Callable[[list[str]], bool] = lambda keys: False  # transactions on such keys are kept back, with
        self.kept: list[dict[str, Any]] = []  # no answer, until ``carry_out``: after newer ones
        self.answer_s: Callable[[list[str]], float] = lambda keys: 0.0  # carried out at once, answered so much later
        self.slow_s = 0.0  # every answer takes so long
        self.page_most = 1000
        self.late_every = 0  # of so many transactions one is not answered, and is carried out
        self.late_s = 5.0  # so much later
        self.transactions = 0
        self.calls = 0
        self.watch_lag = 0.0
        self.moved = trio.Event()

    def _change(self, key: str, value: Any, hold: int | None) -> None:
        if value is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = (value, self.ledger, hold)
        self.changes.append((key, value, self.ledger))

    def _announce(self) -> None:
        self.moved.set()
        self.moved = trio.Event()

    def _expire(self) -> None:
        now = trio.current_time()
        for hold, (ttl, ends) in list(self.holds.items()):
            if self.down:
                self.holds[hold] = (ttl, now + ttl)
            elif now >= ends:
                del self.holds[hold]
                for key in [key for key, (_, _, by) in self.keys.items() if by == hold]:
                    self.ledger += 1
                    self._change(key, None, None)
                    self._announce()

    async def run(self) -> None:
        """Let leases end."""
        while True:
            await trio.sleep(0.05)
            self._expire()

    async def __call__(self, request: Request) -> Reply:
        """Any request."""
        path, _, query = request.path.partition("?")
        params = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/watch":
            return await self._watch(params)
        self.calls += 1
        await trio.sleep(0.002 + self.slow_s)
        if self.down:
            return Reply(503, {"error": "trouble"})
        body = msgspec.json.decode(request.body) if request.body else {}
        if path == "/multi":
            return await self._multi(body)
        if path == "/grants":
            hold, ttl = len(self.changes) + len(self.holds) + 1000 + self.calls, body["ttlMs"] / 1000
            self.holds[hold] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"hold": hold})
        if path.startswith("/grants/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return Reply(404, {})
            self.holds[hold] = (self.holds[hold][0], trio.current_time() + self.holds[hold][0])
            return Reply(200, {"hold": hold})
        if path == "/keys":
            found = sorted(
                key for key in self.keys if key.startswith(params["starts"]) and key > params.get("after", "")
            )
            most = min(int(params["limit"]), self.page_most)
            pairs = [{"key": key, "value": self.keys[key][0], "stamp": self.keys[key][1]} for key in found[:most]]
            return Reply(200, {"pairs": pairs, "hasNext": len(found) > most, "ledger": self.ledger})
        key = path.removeprefix("/keys/")
        if key not in self.keys:
            return Reply(404, {"ledger": self.ledger})
        return Reply(200, {"key": key, "value": self.keys[key][0], "stamp": self.keys[key][1]})

    async def _multi(self, body: dict[str, Any]) -> Reply:
        keys = [step["put"] if "put" in step else step["delete"] for step in body["apply"]]
        self.transactions += 1
        late = bool(self.late_every) and self.transactions % self.late_every == 0
        if self.keeps(keys):
            self.kept.append(body)
            await trio.sleep_forever()
        if late:
            await trio.sleep(self.late_s)
        reply = self._apply(body)
        if late:
            await trio.sleep_forever()
        if reply.status == 200:
            if self.lose_answers:
                self.lose_answers -= 1
                await trio.sleep_forever()
            await trio.sleep(self.answer_s(keys))
        return reply

    def carry_out(self) -> list[int]:
        """Carry out what was kept back, in the order of its coming; the statuses, of which nobody else hears."""
        kept, self.kept = self.kept, []
        return [self._apply(body).status for body in kept]

    def _apply(self, body: dict[str, Any]) -> Reply:
        if any(step.get("hold") is not None and step["hold"] not in self.holds for step in body["apply"]):
            return Reply(400, {"error": "no such lease"})
        failed = [guard["key"] for guard in body["guards"] if self.keys.get(guard["key"], (0, 0))[1] != guard["stamp"]]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.ledger})
        if body["apply"]:
            self.ledger += 1
            for step in body["apply"]:
                if "put" in step:
                    self._change(step["put"], step["value"], step.get("hold"))
                else:
                    self._change(step["delete"], None, None)
            self._announce()
        return Reply(200, {"ledger": self.ledger})

    async def _watch(self, params: dict[str, str]) -> Reply:
        after = int(params["after"])
        with trio.move_on_after(int(params["waitMs"]) / 1000):
            while self.down or not any(stamp > after for _, _, stamp in self.changes):
                if self.down:
                    await trio.sleep(0.1)
                else:
                    await self.moved.wait()
        await trio.sleep(self.watch_lag)
        events: list[dict[str, Any]] = []
        for key, value, stamp in self.changes:
            if stamp > after and key.startswith(params["starts"]):
                events.append(
                    {"delete": key, "stamp": stamp} if value is None else {"put": key, "value": value, "stamp": stamp}
                )
        return Reply(200, {"ledger": self.ledger, "events": events})


class Worker:
    """A machine's worker; ``log`` has every start as (time, task, attempt)."""

    def __init__(self, host: str, at: str, net: Net, controllers: list[str], **about: Any) -> None:
        self.about = {"host": host, "endpoint": f"{at}:90", "flavour": "m4", "yard": "za", "loaners": False} | about
        self.net, self.controllers, self.address = net, controllers, at
        self.run_s = 5.0
        self.endless: Callable[[str], bool] = lambda uid: False  # which jobs are services
        self.fail: set[str] = set()  # jobs whose tasks fail here
        self.tenure, self.tick, self.epoch = 1, 0, 0
        self.answered = trio.current_time()  # when the last answered report was sent
        self.rungs: dict[str, dict[str, Any]] = {}
        self.ends: dict[str, float] = {}
        self.log: list[tuple[float, str, int]] = []
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
        if trio.current_time() - self.answered > 12.0:
            self.tenure, self.tick, self.rungs = self.tenure + 1, 0, {}
            self.answered = trio.current_time()
        for name, rung in self.rungs.items():
            if rung["phase"] == "running" and trio.current_time() >= self.ends[name]:
                rung |= {"phase": "exited", "cause": "error" if name.split("/")[0] in self.fail else "done"}

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
                    self.rungs[name] = {"rung": name, "try": attempt, "phase": "running"}
                    forever = self.endless(name.split("/")[0])
                    self.ends[name] = math.inf if forever else trio.current_time() + self.run_s
                    self.log.append((trio.current_time(), name, attempt))
            elif rung is not None and rung["try"] == attempt:
                if order["verb"] == "stop" and rung["phase"] != "exited":
                    rung |= {"phase": "exited", "cause": "stopped"}
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
        node = 0
        while True:
            await trio.sleep(0.5)
            await trio.sleep_until(self.hung_until)
            self._progress()
            if self.dead or self.mute or self.address in self.net.cut:
                continue
            host, _, port = self.controllers[node].partition(":")
            sent, tenure = trio.current_time(), self.tenure
            client = Client(host, int(port), keep=0)
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
                await trio.sleep(0.5)
            await trio.sleep(0.5)


class CloudService:
    """The cloud; ``boot`` makes the worker of a rented machine."""

    def __init__(self, boot: Callable[[str, dict[str, Any]], Worker]) -> None:
        self.boot = boot
        self.hosts: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.capacity = 20
        self.down = False
        self.boots = True

    async def __call__(self, request: Request) -> Reply:
        """Any request."""
        await trio.sleep(0.05)
        if self.down:
            return Reply(503, {"error": "trouble"})
        path = request.path.partition("?")[0]
        if path == "/machine_types":
            return Reply(200, {"flavours": TYPES})
        if path == "/machines" and request.method == "GET":
            return Reply(200, {"hosts": list(self.hosts.values()), "hasNext": False})
        body = msgspec.json.decode(request.body)
        if path == "/machines/delete":
            for host in body["hosts"]:
                self.hosts.pop(host, None)
                if host in self.workers:
                    self.workers[host].dead = True
                    self.workers[host].rungs.clear()
            return Reply(200, {})
        if body["hire"] not in self.hires:
            count = min(body["howMany"], self.capacity - len(self.hosts))
            if count <= 0:
                return Reply(503, {"error": "no capacity"})
            names = []
            for _ in range(count):
                host = f"i-{len(self.workers):06d}"
                names.append(host)
                worker = self.workers[host] = self.boot(host, body)
                self.hosts[host] = {
                    "uid": host, "endpoint": worker.about["endpoint"], "flavour": body["flavour"],
                    "yard": body["yard"], "loaners": body["loaners"], "phase": "running", "heldS": 1.0,
                }  # fmt: skip
            self.hires[body["hire"]] = names
        return Reply(200, {"hosts": self.hires[body["hire"]]})
