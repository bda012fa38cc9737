"""Starts the controllers by the deploy file, with all stand-ins around them, on loopback."""

from __future__ import annotations

import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

import msgspec
import trio

from ladderfield.http import Client, NoAnswerError, Server
from standins.cloud import Cloud
from standins.state import State
from standins.worker import Worker

ROOT = Path(__file__).resolve().parents[2]
MAX_CASE_S = 118.0
Outcome = Callable[[str], tuple[float, str]]  # run time and cause of the end of a task


def free_ports(count: int) -> list[int]:
    """Unused ports of the loopback address, below those that the system gives to outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Cluster:
    """The controllers, a state service, a cloud and its machines."""

    def __init__(
        self, nursery: trio.Nursery, site: dict[str, Any], record: TextIO, folder: Path,
        outcome: Callable[[str], tuple[float, str]], capacity: int,
    ) -> None:  # fmt: skip
        self.nursery, self.site, self.folder, self.outcome, self._record = nursery, site, folder, outcome, record
        self.began, cluster = time.monotonic(), site["cluster"]
        self.names = site["names"]
        ports = free_ports(2 * len(self.names) + 2)
        self.bind = {name: f"127.0.0.1:{ports.pop()}" for name in self.names}
        self.back = {name: f"127.0.0.1:{ports.pop()}" for name in self.names}
        self.state_at, self.cloud_at = (f"127.0.0.1:{ports.pop()}" for _ in range(2))
        self.state = State(cluster["state"]["rps"], cluster["state"]["write_rps"])
        self.cloud = Cloud(site["types"], cluster["cloud"]["rps"], cluster["cloud"]["list_lag_s"], capacity, self.boot)
        self.workers: dict[str, Worker] = {}
        self.set_up: Callable[[Worker], None] = lambda worker: None
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.clients = {name: Client(*self.split(self.bind[name])) for name in self.names}

    @staticmethod
    def split(address: str) -> tuple[str, int]:
        """Host and port."""
        host, _, port = address.rpartition(":")
        return host, int(port)

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._record.flush()

    async def serve(self, address: str, handler: Any) -> None:
        """Serve stand-in ``handler`` at an address."""
        host, port = self.split(address)
        await trio.serve_listeners(Server(handler, 4000, 60.0, 600.0), await trio.open_tcp_listeners(port, host=host))

    def start_services(self) -> None:
        """Start the state service and the cloud."""
        self.nursery.start_soon(self.serve, self.state_at, self.state)
        self.nursery.start_soon(self.state.expire)
        self.nursery.start_soon(self.serve, self.cloud_at, self.cloud)

    def boot(self, host: str, request: dict[str, Any]) -> tuple[str, trio.CancelScope]:
        """Bring up a rented machine within two seconds, as the protocol allows."""
        endpoint = f"127.0.0.1:{free_ports(1)[0]}"
        fields = {
            "host": host, "endpoint": endpoint, "flavour": request["flavour"], "yard": request["yard"],
            "loaners": request["loaners"],
        }  # fmt: skip
        workers = self.site["cluster"]["workers"]
        worker = Worker(fields, self.bind, workers["report_s"], workers["lease_s"], self.outcome, self.note)
        self.workers[host] = worker
        self.set_up(worker)
        scope = trio.CancelScope()
        self.nursery.start_soon(self._live, worker, endpoint, scope)
        return endpoint, scope

    async def _live(self, worker: Worker, endpoint: str, scope: trio.CancelScope) -> None:
        with scope:
            await trio.sleep(1.0)
            worker.renewed_at = trio.current_time()
            self.note(f"{worker.host}: up")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.serve, endpoint, worker)
                nursery.start_soon(worker.run)
        self.workers.pop(worker.host, None)

    def settings(self, name: str) -> dict[str, Any]:
        """The settings file of one controller."""
        places = dict(zip(self.names, self.site["locations"], strict=True))
        peers = [
            {"member": other, "location": places[other], "endpoint": self.back[other]}
            for other in self.names
            if other != name
        ]
        return {
            "member": name, "location": places[name], "bind": self.bind[name], "back": self.back[name], "peers": peers,
            "outside": {"cloud": self.cloud_at, "state": self.state_at}, "cluster": self.site["cluster"],
        }  # fmt: skip

    def start(self, name: str) -> None:
        """Start a controller with the command of the deploy file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*shlex.split(run), str(path)], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )  # fmt: skip
        if os.environ.get("ONE_CORE"):  # all controllers share one core: less than the quota of each
            os.sched_setaffinity(self.processes[name].pid, {int(os.environ["ONE_CORE"])})
        self.note(f"{name}: started")

    def kill(self, name: str) -> None:
        """End a controller with no warning."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.note(f"{name}: killed")

    def stop(self) -> None:
        """End all controllers."""
        for name in list(self.processes):
            self.kill(name)

    async def call(self, name: str, method: str, path: str, body: Any, timeout: float) -> tuple[int, dict[str, Any]]:
        """A user's request to one controller; status 0 if there is no answer."""
        try:
            status, data = await self.clients[name].call(method, path, body, timeout)
            answer = msgspec.json.decode(data) if data else {}
        except (NoAnswerError, msgspec.DecodeError):
            return 0, {}
        return status, answer

    async def ready(self, within_s: float) -> bool:
        """Wait until every controller has answered its readiness check with 200."""
        with trio.move_on_after(within_s):
            for name in self.names:
                while (await self.call(name, "GET", "/ready", None, 1.0))[0] != 200:
                    await trio.sleep(0.2)
            return True
        return False

    async def submit(self, spec: dict[str, Any], within_s: float = 60.0) -> bool:
        """Submit a job and repeat until it is accepted."""
        with trio.move_on_after(within_s):
            while True:
                for name in self.names:
                    status, answer = await self.call(name, "POST", "/api/jobs", spec, 5.0)
                    self.note(f"user: submit {spec['uid']} to {name}: {status} {answer}")
                    if status in (200, 201):
                        return True
                    await trio.sleep(1.0)
        return False

    async def poll(self, uid: str, name: str, quiet: bool = False) -> tuple[int, dict[str, Any]]:
        """Poll a job at one controller."""
        status, answer = await self.call(name, "GET", f"/api/jobs/{uid}", None, 2.0)
        if not quiet:
            self.note(f"user: poll {uid} at {name}: {status or 'no answer'} {answer}")
        return status, answer


Play = Callable[[Cluster], Awaitable[int]]


async def _run(case: Path, site: dict[str, Any], outcome: Outcome, capacity: int, play: Play) -> int:
    """Run a case; the exit code, 2 if it did not come to an end."""
    code = 2
    record = Path(os.environ.get("RECORD", case.parent / "record.txt"))
    with record.open("w") as out, tempfile.TemporaryDirectory(prefix="review-") as folder:
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, site, out, Path(folder), outcome, capacity)
            try:
                with trio.move_on_after(MAX_CASE_S):
                    code = await play(cluster)
            finally:
                cluster.stop()
                if os.environ.get("KEEP_LOGS"):
                    for path in sorted(Path(folder).glob("*.log")):
                        Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())
            for line in cluster.cloud.log:
                cluster.note(f"cloud: {line}")
            cluster.note(f"exit {code}")
            nursery.cancel_scope.cancel()
    return code


def run_case(case: str, site: dict[str, Any], outcome: Outcome, capacity: int, play: Play) -> None:
    """Run a case and exit: 1 the rule was broken, 0 it held, 2 it could not run."""
    try:
        code = trio.run(_run, Path(case), site, outcome, capacity, play)
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
