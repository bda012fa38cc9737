"""Controllers as separate processes on loopback, with a stand-in state service, cloud and workers, and a record."""

from __future__ import annotations

import copy
import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from ladderfield.http import Client, NoAnswerError, Reply, Request, Server
from ladderfield.testing.loopback import free_ports
from ladderfield.testing.state_service import StateService
from standins_2.worker import Machine

ROOT = Path(__file__).resolve().parents[3]  # of the checkout: this runs from target/review-2/standins_2
Handler = Callable[[Request], Awaitable[Reply]]


class LimitedState(StateService):
    """The project's state service, which refuses larger values and transactions than its present limits with 400."""

    def __init__(self, value_kb: float, txn_ops: int) -> None:
        super().__init__()
        self.value_kb, self.txn_ops = value_kb, txn_ops

    def _apply(self, body: dict[str, Any]) -> Reply:
        sizes = [len(msgspec.json.encode(step["value"])) for step in body["apply"] if "put" in step]
        too_many = len(body["apply"]) > self.txn_ops or len(body["guards"]) > 4 * self.txn_ops
        if too_many or any(size > self.value_kb * 1024 for size in sizes):
            return Reply(400, {"error": "too large"})
        return super()._apply(body)


class Rig:
    """All processes and stand-ins of one case."""

    def __init__(self, folder: Path, nursery: trio.Nursery) -> None:
        self.nursery, self.began_at = nursery, time.monotonic()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-2-"))
        # A loopback address of its own, so that scripts that run at the same time don't take each other's ports.
        self.host = ".".join(["127", *(str(random.randint(10, 250)) for _ in range(3))])
        self.record = (folder / "record.txt").open("w")
        self.jobs: dict[str, dict[str, Any]] = {}  # all that users have submitted
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.settings: dict[int, dict[str, Any]] = {}

    def note(self, *words: Any) -> None:
        """Write a line to the record and to standard output."""
        line = f"{time.monotonic() - self.began_at:7.2f} " + " ".join(str(word) for word in words)
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    async def serve(self, handler: Handler) -> str:
        """Serve HTTP on a free port of loopback; the address."""
        (port,) = free_ports(1, self.host)
        listeners = await trio.open_tcp_listeners(port, host=self.host)
        self.nursery.start_soon(trio.serve_listeners, Server(handler, 300, 5.0, 600.0), listeners)
        return f"{self.host}:{port}"

    def configure(self, members: dict[str, str], cluster: dict[str, Any], state: str, cloud: str) -> None:
        """Make the settings of controllers, by name and zone."""
        ports = free_ports(2 * len(members), self.host)
        bind = [f"{self.host}:{port}" for port in ports[: len(members)]]
        back = [f"{self.host}:{port}" for port in ports[len(members) :]]
        names = list(members)
        for number, member in enumerate(names):
            self.settings[number] = {
                "member": member, "location": members[member], "bind": bind[number], "back": back[number],
                "peers": [
                    {"member": other, "location": members[other], "endpoint": back[index]}
                    for index, other in enumerate(names)
                    if index != number
                ],
                "outside": {"cloud": cloud, "state": state}, "cluster": copy.deepcopy(cluster),
            }  # fmt: skip

    def start(self, number: int) -> None:
        """Start a controller with the command of the deploy file."""
        path = self.temporary / f"{number}.json"
        path.write_text(json.dumps(self.settings[number]))
        log = (self.temporary / f"{number}.log").open("ab")
        command = [sys.executable, "-S", "run.py", "--leadership-by-reach", "--config", str(path)]
        self.processes[number] = subprocess.Popen(
            command, cwd=ROOT, stderr=log, env={**os.environ, "LOG_LEVEL": "info"}
        )
        log.close()

    def kill(self, number: int) -> None:
        """Kill a controller."""
        process = self.processes.pop(number, None)
        if process is not None:
            process.kill()
            process.wait()

    def stop(self) -> None:
        """Kill all controllers, and remove their files."""
        for number in list(self.processes):
            self.kill(number)
        shutil.rmtree(self.temporary, ignore_errors=True)

    def logged(self, word: str) -> list[str]:
        """Lines of all controllers' logs that contain a word."""
        logs = sorted(self.temporary.glob("*.log"))
        return [line for log in logs for line in log.read_text().splitlines() if word in line]

    async def call(self, number: int, method: str, path: str, body: Any, timeout: float) -> tuple[int, dict[str, Any]]:
        """Send a user's request; status 0 if there was no answer."""
        host, _, port = self.settings[number]["bind"].partition(":")
        try:
            status, data = await Client(host, int(port), max_idle=0).call(method, path, body, timeout)
        except NoAnswerError:
            return 0, {}
        return status, msgspec.json.decode(data)

    async def submit(self, spec: dict[str, Any], number: int = 0) -> tuple[int, dict[str, Any]]:
        """Submit as a user does: again after a second, for up to 60 s, unless the answer is final."""
        self.jobs[spec["uid"]] = spec
        ends_at = time.monotonic() + 60
        while True:
            status, answer = await self.call(number, "POST", "/api/jobs", spec, 5.0)
            if status in (200, 201, 400, 422) or time.monotonic() > ends_at:
                return status, answer
            number = (number + 1) % len(self.settings)
            await trio.sleep(1.0)

    async def poll(self, uid: str) -> str:
        """The phase of a job, asked at each controller in turn; '' without an answer."""
        for number in self.settings:
            status, answer = await self.call(number, "GET", f"/api/jobs/{uid}", None, 2.0)
            if status == 200:
                return str(answer["phase"])
        return ""


def job(uid: str, **changes: Any) -> dict[str, Any]:
    """An array of one task, as a user submits it."""
    spec = {
        "uid": uid, "jobclass": "tariff-recalc", "owner": "grid-desk", "shape": "array", "rank": "standard", "rungs": 1,
        "cores": 2.0, "cards": 0.0, "memoryGb": 3.1, "bundle": "img-1", "sizeGb": 0.9, "flavours": None, "yard": None,
        "oneZone": False, "spread": False, "loaners": True, "expectS": 5.0, "markEveryS": 0.0, "markCostS": 0.0,
        "dueS": None,
    }  # fmt: skip
    return spec | changes


class Cloud:
    """A cloud as the protocol has it: rents, lists and deletes machines; types in ``short`` have none to give."""

    def __init__(self, rig: Rig, types: list[dict[str, Any]], report_s: float, lease_s: float) -> None:
        self.rig, self.types, self.timing = rig, types, (report_s, lease_s)
        self.short: set[str] = set()
        self.boot_s = 2.0
        self.counts: dict[tuple[str, str, bool], int] = {}  # type, zone, spot -> machines there are; else many
        self.prepare: Callable[[Machine], None] = lambda machine: None  # called with each machine before it boots
        self.hires: dict[str, list[str]] = {}
        self.machines: dict[str, Machine] = {}
        self.asked: list[str] = []  # machine types of all rental requests

    async def __call__(self, request: Request) -> Reply:
        """Answer one request."""
        await trio.sleep(0.1)
        path = request.path.partition("?")[0]
        if path == "/machine_types":
            return Reply(200, {"flavours": self.types})
        if path == "/machines" and request.method == "GET":
            listed = [machine.listing for machine in self.machines.values() if not machine.dead]
            return Reply(200, {"hosts": listed, "hasNext": False})
        body = msgspec.json.decode(request.body)
        if path == "/machines/delete":
            for host in body["hosts"]:
                self._delete(host)
            return Reply(200, {})
        return await self._rent(body)

    def _delete(self, host: str) -> None:
        machine = self.machines.get(host)
        if machine is not None and not machine.dead:
            self.rig.note("cloud: deletes", host)
            machine.tasks.clear()
            machine.dead = True

    async def _rent(self, body: dict[str, Any]) -> Reply:
        if body["hire"] not in self.hires:
            self.asked.append(body["flavour"])
            self.rig.note("cloud: asked for", body["howMany"], body["flavour"], "in", body["yard"])
            count = min(body["howMany"], self._free(body["flavour"], body["yard"], body["loaners"]))
            if body["flavour"] in self.short or count <= 0:
                return Reply(503, {"error": "no capacity"})
            self.hires[body["hire"]] = [await self._boot(body) for _ in range(count)]
        return Reply(200, {"hosts": self.hires[body["hire"]]})

    def _free(self, flavour: str, yard: str, spot: bool) -> int:
        kind = (flavour, yard, spot)
        listings = [machine.listing for machine in self.machines.values() if not machine.dead]
        used = sum((listing["flavour"], listing["yard"], listing["loaners"]) == kind for listing in listings)
        return self.counts.get(kind, 50) - used

    async def _boot(self, body: dict[str, Any]) -> str:
        host = f"i-{len(self.machines):06d}"
        listing = {
            "uid": host, "endpoint": "", "flavour": body["flavour"], "yard": body["yard"], "loaners": body["loaners"],
            "phase": "booting", "heldS": 0.1,
        }  # fmt: skip
        cores = next(kind["cores"] for kind in self.types if kind["name"] == body["flavour"])
        controllers = {settings["member"]: settings["bind"] for settings in self.rig.settings.values()}
        machine = Machine(listing, cores, self.timing, controllers, self.rig.jobs, self.rig.note)
        self.machines[host] = machine
        self.prepare(machine)
        listing["endpoint"] = await self.rig.serve(machine)
        self.rig.nursery.start_soon(self._up, machine)
        return host

    async def _up(self, machine: Machine) -> None:
        await trio.sleep(self.boot_s)
        machine.listing["phase"] = "running"
        machine.lease_from = time.monotonic()
        self.rig.nursery.start_soon(machine.tick_on)
        await machine.run()

    def started(self, uid: str) -> bool:
        """Whether any task of a job was started anywhere."""
        return any(name.startswith(f"{uid}/") for machine in self.machines.values() for name, _ in machine.starts)
