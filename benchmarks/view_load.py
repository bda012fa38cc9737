"""Measures how long controllers that start at once take to load a large store within the limit on calls, on loopback.

    python -m benchmarks.view_load --jobs 10000 --jobs 200000 --source CHECKOUT

Real controller processes of the package in CHECKOUT run against a simulated state service that answers calls above its
limit with 429. For each number of finished jobs one line tells when each controller first answered a poll.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec
import trio

from ladderfield.budget import Budget
from ladderfield.http import Client, NoAnswerError, Reply, Server
from ladderfield.state import PREFIX
from ladderfield.testing import TYPES, StateService
from ladderfield.testing.loopback import free_ports, listen

CALLS_PER_S = 100.0
POLL_INTERVAL_S = 0.2
FIRST_JOB = 1_000_000
QUOTA_MB = 146.0


class Store(StateService):
    """A state service that holds the final states of finished jobs, and counts refused calls."""

    def __init__(self, jobs: int) -> None:
        super().__init__()
        self.call_limit = Budget(CALLS_PER_S)
        self.keys["lf/types"] = (TYPES, 1, None)
        for number in range(jobs):
            value = {"phase": "done", "done": 7, "at": 1_790_000_000.123 + number}
            self.keys[f"lf/f/req-{FIRST_JOB + number}"] = (value, 2 + number, None)
        self.revision = jobs + 2
        self._pages: dict[tuple[int, str, str], Reply] = {}
        self._prepare_pages()

    def _prepare_pages(self) -> None:
        """Make all pages, as a page that takes long to make would keep the controllers below the limit."""
        after = ""
        while (page := msgspec.json.decode(self._list({"starts": PREFIX, "after": after, "limit": "1000"}).body))[
            "hasNext"
        ]:
            after = page["pairs"][-1]["key"]

    def _list(self, params: dict[str, str]) -> Reply:
        page = (self.revision, params["starts"], params.get("after", ""))
        if page not in self._pages:
            self._pages[page] = super()._list(params)
        return self._pages[page]


class Deployment:
    """The controllers of one measurement."""

    def __init__(self, count: int, source: Path, folder: Path) -> None:
        ports = free_ports(2 * count + 2)
        self.state, self.cloud = (f"127.0.0.1:{ports.pop()}" for _ in range(2))
        self.bind = [ports.pop() for _ in range(count)]
        self.back = [ports.pop() for _ in range(count)]
        self.source, self.folder = source, folder
        self.processes: list[subprocess.Popen[bytes]] = []

    def settings(self, number: int) -> dict[str, Any]:
        """The settings of one controller."""
        peers = [
            {"member": f"n{other}", "location": "za", "endpoint": f"127.0.0.1:{port}"}
            for other, port in enumerate(self.back)
            if other != number
        ]
        return {
            "member": f"n{number}", "location": "za", "bind": f"127.0.0.1:{self.bind[number]}",
            "back": f"127.0.0.1:{self.back[number]}", "peers": peers,
            "outside": {"cloud": self.cloud, "state": self.state},
            "cluster": {
                "size": len(self.bind), "zones": ["za"], "teams": [{"name": "red"}], "objectives": [],
                "workers": {"report_s": 4.0, "lease_s": 28.0, "cancel_s": 53.0},
                "state": {"rps": CALLS_PER_S, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
                "cloud": {"rps": 3.0, "list_lag_s": 4.0},
                "quota": {"cores": 0.54, "ram_mb": QUOTA_MB, "max_connections": 1200},
            },
        }  # fmt: skip

    def start(self) -> None:
        """Start all controllers."""
        for number in range(len(self.bind)):
            config = self.folder / f"{number}.json"
            config.write_text(json.dumps(self.settings(number)))
            command = [sys.executable, "-m", "ladderfield", "serve", "--config", str(config), "--log-level", "error"]
            self.processes.append(
                subprocess.Popen(command, cwd=self.source, env=os.environ | {"PYTHONPATH": str(self.source)})
            )

    def stop(self) -> None:
        """End all controllers."""
        for process in self.processes:
            process.kill()
            process.wait()

    def memory_mb(self) -> float:
        """The largest memory that a controller has used."""
        peaks = []
        for process in self.processes:
            status = Path(f"/proc/{process.pid}/status").read_text()
            peaks.append(int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]) / 1024)
        return max(peaks)

    async def first_answer(self, number: int, job: str, answers: dict[int, float]) -> None:
        """Poll a controller until it knows the job, and record the time."""
        client = Client("127.0.0.1", self.bind[number])
        while True:
            try:
                status, _ = await client.call("GET", f"/api/jobs/{job}", None, 2.0)
            except NoAnswerError:
                status = 0
            if status == 200:
                answers[number] = trio.current_time()
                return
            if status == 404:
                raise AssertionError("a finished job is unknown")
            await trio.sleep(POLL_INTERVAL_S)


async def measure(jobs: int, controllers: int, source: Path, limit_s: float) -> None:
    """Start all controllers at once and print one line."""
    answers: dict[int, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(controllers, source, Path(folder))
        store = Store(jobs)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listen, deployment.state, Server(store, 1000, 60.0, 600.0))
            nursery.start_soon(store.run)
            deployment.start()
            began = trio.current_time()
            try:
                with trio.move_on_after(limit_s):
                    async with trio.open_nursery() as polls:
                        for number in range(controllers):
                            polls.start_soon(deployment.first_answer, number, f"req-{FIRST_JOB + jobs - 1}", answers)
                memory_mb = deployment.memory_mb()
            finally:
                deployment.stop()
            nursery.cancel_scope.cancel()
    times = [f"{at - began:.1f}" for at in sorted(answers.values())]
    refused, calls = store.refused_calls, store.calls + store.refused_calls
    click.echo(
        f"{jobs} jobs: {len(answers)} of {controllers} controllers answered, after {', '.join(times) or 'no'} s; "
        f"{calls} calls, {100 * refused / max(1, calls):.0f}% refused; at most {memory_mb:.0f} MB"
    )


@click.command()
@click.option("--jobs", multiple=True, type=int, default=(10_000, 100_000, 200_000), show_default=True)
@click.option("--controllers", default=5, show_default=True)
@click.option("--source", type=click.Path(path_type=Path), default=Path.cwd(), help="Checkout whose package is run.")
@click.option("--limit-s", default=75.0, show_default=True, help="How long to wait for the answers.")
def main(jobs: tuple[int, ...], controllers: int, source: Path, limit_s: float) -> None:
    """Measure each number of finished jobs in turn."""
    for count in jobs:
        trio.run(measure, count, controllers, source.resolve(), limit_s)


if __name__ == "__main__":
    main()
