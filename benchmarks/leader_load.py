"""Measures a leader's CPU time and memory against the number of machines that report to it, on loopback.

    python -m benchmarks.leader_load --machines 1000 --machines 4000 --seconds 40

A real controller process runs against a simulated state service, a simulated cloud that lists all machines as running,
and simulated workers with one connection each. The workers execute tasks, so that claims, ends and orders are part of
the load. The process is not limited: the benchmark prints the share of a core that it used.
"""

from __future__ import annotations

import itertools
import json
import multiprocessing
import os
import shlex
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import click
import msgspec
import trio
from ddsketch import DDSketch

from benchmarks.loopback_workers import run_workers
from ladderfield.http import Client, NoAnswerError, Reply, Request, Server
from ladderfield.testing import StateService, job

CONTROLLER_PORT, BACK_PORT, STATE_PORT, CLOUD_PORT = 18080, 18081, 12379, 18443
WORKER_PORT = 19000  # each worker has its own loopback address
WORKER_PROCESSES = 3
MAX_PAGE_MACHINES = 500  # machines on one page of the cloud's list, as in the protocol
JOB_INTERVAL_S = 0.5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KILOBYTES_PER_PAGE = os.sysconf("SC_PAGE_SIZE") // 1024


def settings(machines: int, report_s: float) -> dict[str, Any]:
    """Settings of a single controller, with as many sockets as the machines need."""
    return {
        "member": "n0", "location": "za", "bind": f"127.0.0.1:{CONTROLLER_PORT}", "back": f"127.0.0.1:{BACK_PORT}",
        "peers": [], "outside": {"cloud": f"127.0.0.1:{CLOUD_PORT}", "state": f"127.0.0.1:{STATE_PORT}"},
        "cluster": {
            "size": 1, "zones": ["za", "zb", "zc"], "teams": [{"name": "red"}], "objectives": [],
            "workers": {"report_s": report_s, "lease_s": 28.0, "cancel_s": 53.0},
            "state": {"rps": 150.0, "write_rps": 35.0, "value_kb": 16.0, "txn_ops": 20},
            "cloud": {"rps": 4.0, "list_lag_s": 4.0},
            "quota": {"cores": 0.76, "ram_mb": 201.0, "max_connections": max(1200, machines * 2)},
        },
    }  # fmt: skip


class ListedCloud:
    """A cloud that lists machines as running and rents out no others."""

    def __init__(self, machines: int) -> None:
        self.hosts = [worker_listing(number) for number in range(machines)]
        self.types = [
            {"name": "m8", "cores": 8, "cards": 0, "memoryGb": 32, "cacheGb": 100, "pullGbPerS": 1.0, "price": 0.3,
             "lowPrice": 0.1, "readyS": 900, "yards": ["za", "zb", "zc"]},
        ]  # fmt: skip

    async def __call__(self, request: Request) -> Reply:
        """Answer one request."""
        path, _, query = request.path.partition("?")
        if path == "/machine_types":
            return Reply(200, {"flavours": self.types})
        if path == "/machines" and request.method == "GET":
            after = dict(part.split("=", 1) for part in query.split("&")).get("after", "")
            remaining = [host for host in self.hosts if host["uid"] > after]
            return Reply(200, {"hosts": remaining[:MAX_PAGE_MACHINES], "hasNext": len(remaining) > MAX_PAGE_MACHINES})
        if path == "/machines/delete":
            return Reply(200, {})
        return Reply(503, {"error": "no capacity"})


def worker_listing(number: int) -> dict[str, Any]:
    """A worker as the cloud lists it."""
    return {
        "uid": f"i-{number:06d}", "endpoint": f"127.{number // 62500 + 1}.{number // 250 % 250}.{number % 250 + 1}:"
        f"{WORKER_PORT}", "flavour": "m8", "yard": ("za", "zb", "zc")[number % 3], "loaners": False,
        "phase": "running", "heldS": 100.0,
    }  # fmt: skip


class Usage:
    """CPU time and memory that a process has used so far."""

    def __init__(self, pid: int) -> None:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        self.cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        self.memory_mb = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * KILOBYTES_PER_PAGE / 1024


async def submit_jobs(tasks_per_s: float, run_s: float) -> None:
    """Submit arrays forever, at this many tasks a second."""
    client = Client("127.0.0.1", CONTROLLER_PORT)
    for number in itertools.count():
        spec = job(
            f"req-{number:06d}", rungs=max(1, int(tasks_per_s * JOB_INTERVAL_S)), cores=1.0, memoryGb=1.0,
            expectS=run_s, bundle=f"img-{number % 5}",
        )  # fmt: skip
        try:
            await client.call("POST", "/api/jobs", spec, 5.0)
        except NoAnswerError:
            await client.close_idle()
        await trio.sleep(JOB_INTERVAL_S)


async def serve_state_and_cloud(machines: int, nursery: trio.Nursery) -> None:
    """Start the state service and the cloud."""
    state = StateService()
    nursery.start_soon(state.run)
    for port, handler in ((STATE_PORT, state), (CLOUD_PORT, ListedCloud(machines))):
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, Server(handler, 1000, 5.0, 600.0), listeners)


async def observe(pid: int, settle_s: float, seconds: float) -> tuple[float, float]:
    """The share of a core that a process uses after ``settle_s``, and its memory in MB."""
    await trio.sleep(settle_s)
    before = Usage(pid)
    await trio.sleep(seconds)
    after = Usage(pid)
    return (after.cpu_s - before.cpu_s) / seconds, after.memory_mb


async def measure(
    machines: int, seconds: float, report_s: float, busy: float, run_s: float, profile: bool, flags: str
) -> None:
    """Measure one fleet size: start all processes, let the load settle, and print the leader's usage."""
    context = multiprocessing.get_context("spawn")  # a fork would inherit this event loop
    results: Any = context.Queue()
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "settings.json"
        config.write_text(json.dumps(settings(machines, report_s)))
        command = [
            sys.executable,
            "-m",
            "ladderfield",
            "serve",
            "--config",
            str(config),
            "--log-level",
            os.environ.get("LOG_LEVEL", "error"),
        ]
        command += shlex.split(flags)
        if profile:
            command[2] = "benchmarks.sampled_controller"
        async with trio.open_nursery() as nursery:
            await serve_state_and_cloud(machines, nursery)
            controller = subprocess.Popen(command)
            workers = [
                context.Process(
                    target=run_workers,
                    args=(
                        [worker_listing(number) for number in range(process, machines, WORKER_PROCESSES)],
                        CONTROLLER_PORT, report_s, run_s, seconds, results,
                    ),
                )
                for process in range(WORKER_PROCESSES)
            ]  # fmt: skip
            for worker_process in workers:
                worker_process.start()
            tasks_per_s = busy * machines * 8 / run_s
            nursery.start_soon(submit_jobs, tasks_per_s, run_s)
            cores, memory_mb = await observe(controller.pid, seconds / 2, seconds / 2)
            reports = [await trio.to_thread.run_sync(results.get) for _ in workers]
            controller.send_signal(signal.SIGINT if profile else signal.SIGTERM)
            for worker_process in workers:
                worker_process.join()
            controller.wait()
            nursery.cancel_scope.cancel()
    print_result(machines, cores, memory_mb, reports, seconds)


def print_result(machines: int, cores: float, memory_mb: float, reports: list[bytes], seconds: float) -> None:
    """Print one line for one fleet size."""
    waits, answered, refused, ended = DDSketch(0.02), 0, 0, 0
    for data in reports:
        result = msgspec.json.decode(data)
        answered, refused, ended = answered + result["answered"], refused + result["refused"], ended + result["ended"]
        for wait in result["waits"]:
            waits.add(wait)
    median_ms, p99_ms = (1000 * (waits.get_quantile_value(share) or 0.0) for share in (0.5, 0.99))
    click.echo(
        f"{machines} machines: {cores:.2f} of a core, {memory_mb:.0f} MB; {answered / seconds:.0f} reports a second, "
        f"answered within {median_ms:.0f} ms (median) and {p99_ms:.0f} ms (99%), {refused} refused; "
        f"{ended / seconds:.0f} tasks a second"
    )


@click.command()
@click.option("--machines", multiple=True, type=int, default=(1000, 2000, 4000), show_default=True)
@click.option("--seconds", default=60.0, show_default=True, help="Run time of each size; the second half is measured.")
@click.option("--report-s", default=3.0, show_default=True)
@click.option("--busy", default=0.5, show_default=True, help="Share of the cores to fill with tasks.")
@click.option("--run-s", default=10.0, show_default=True, help="Run time of a task.")
@click.option("--profile", is_flag=True, help="Sample the controller's stack and print a profile.")
@click.option("--flags", default="", help="Additional flags for the controller, as one string.")
def main(
    machines: tuple[int, ...], seconds: float, report_s: float, busy: float, run_s: float, profile: bool, flags: str
) -> None:
    """Measure each size in turn."""
    for size in machines:
        trio.run(measure, size, seconds, report_s, busy, run_s, profile, flags)


if __name__ == "__main__":
    main()
