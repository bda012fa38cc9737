"""Simulated workers over real sockets, light enough to run thousands of them in a few processes.

They implement the worker's side of the protocol as far as a benchmark needs it: one report in flight, orders executed,
tasks that run for a fixed time, sessions that never end.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply, Request, Server

WAITS_PER_SAMPLE = 10  # one of this many waits is recorded
ANSWER_TIMEOUT_S = 4.0


class LoopbackWorker:
    """The worker of one machine."""

    def __init__(self, listing: dict[str, Any], run_s: float) -> None:
        self.report_fields = {
            "host": listing["uid"], "endpoint": listing["endpoint"], "flavour": listing["flavour"],
            "yard": listing["yard"], "loaners": listing["loaners"], "tenure": 1, "recallS": None,
        }  # fmt: skip
        self.run_s = run_s
        self.sequence = self.epoch = self.ended = 0
        self.tasks: dict[str, dict[str, Any]] = {}
        self.task_ends: dict[str, float] = {}

    def report(self) -> dict[str, Any]:
        """The next report."""
        now = trio.current_time()
        for name, ends_at in list(self.task_ends.items()):
            if now >= ends_at:
                del self.task_ends[name]
                self.tasks[name] |= {"phase": "exited", "cause": "done"}
                self.ended += 1
        self.sequence += 1
        return self.report_fields | {"tick": self.sequence, "epoch": self.epoch, "rungs": list(self.tasks.values())}

    def execute_orders(self, epoch: int, orders: list[dict[str, Any]]) -> None:
        """Execute orders, unless their epoch is older than the last one seen."""
        if epoch < self.epoch:
            return
        self.epoch = epoch
        for order in orders:
            name = order["rung"]
            if order["verb"] == "launch" and name not in self.tasks:
                self.tasks[name] = {"rung": name, "try": order["try"], "phase": "running"}
                self.task_ends[name] = trio.current_time() + self.run_s
            elif order["verb"] == "stop" and self.task_ends.pop(name, None) is not None:
                self.tasks[name] |= {"phase": "exited", "cause": "stopped"}
            elif order["verb"] == "reap":
                self.tasks.pop(name, None)


class WorkerFleet:
    """All workers of one process, and counts of their answers."""

    def __init__(self, listings: list[dict[str, Any]], controller_port: int, report_s: float, run_s: float) -> None:
        self.workers = [LoopbackWorker(listing, run_s) for listing in listings]
        self.controller_port, self.report_s = controller_port, report_s
        self.answered = self.refused = 0
        self.waits: list[float] = []

    async def serve_orders(self, worker: LoopbackWorker) -> None:
        """Serve direct commands at the worker's own loopback address."""

        async def handle(request: Request) -> Reply:
            if request.path == "/orders":
                body = msgspec.json.decode(request.body)
                worker.execute_orders(body["epoch"], body["orders"])
            return Reply(200, worker.report())

        host, _, port = worker.report_fields["endpoint"].partition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        await trio.serve_listeners(Server(handle, 10, 5.0, 600.0), listeners)

    async def run_worker(self, worker: LoopbackWorker) -> None:
        """Report forever."""
        await trio.sleep(random.uniform(0, self.report_s))
        stream: trio.SocketStream | None = None
        while True:
            begin = trio.current_time()
            try:
                if stream is None:
                    stream = await trio.open_tcp_stream("127.0.0.1", self.controller_port)
                with trio.fail_after(ANSWER_TIMEOUT_S):
                    status, body = await exchange(stream, msgspec.json.encode(worker.report()))
            except (OSError, trio.BrokenResourceError, trio.TooSlowError, EOFError):
                status, body = 0, b""
            if status == 200:
                answer = msgspec.json.decode(body)
                worker.execute_orders(answer["epoch"], answer["orders"])
                self.answered += 1
                if self.answered % WAITS_PER_SAMPLE == 0:
                    self.waits.append(trio.current_time() - begin)
            else:
                self.refused += 1
                if stream is not None:
                    await trio.aclose_forcefully(stream)
                stream = None
                await trio.sleep(1.0)
            await trio.sleep(random.uniform(0.75, 1.25) * self.report_s)

    async def run(self, seconds: float) -> None:
        """Report and serve commands for this long; only the second half is measured."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for worker in self.workers:
                    nursery.start_soon(self.serve_orders, worker)
                    nursery.start_soon(self.run_worker, worker)
                await trio.sleep(seconds / 2)
                self.answered = self.refused = 0
                self.waits.clear()
                for worker in self.workers:
                    worker.ended = 0


async def exchange(stream: trio.SocketStream, body: bytes) -> tuple[int, bytes]:
    """Send one report; returns the status and body of the answer."""
    head = f"POST /v1/report HTTP/1.1\r\nHost: controller\r\nContent-Length: {len(body)}\r\n\r\n"
    await stream.send_all(head.encode() + body)
    data = b""
    while (end := data.find(b"\r\n\r\n")) < 0:
        data += await receive(stream)
    length = int(data[:end].lower().partition(b"content-length:")[2].split(b"\r\n")[0])
    while len(data) < end + 4 + length:
        data += await receive(stream)
    return int(data[9:12]), data[end + 4 :]


async def receive(stream: trio.SocketStream) -> bytes:
    """Receive some bytes; raises EOFError at the end of the stream."""
    data = await stream.receive_some(65536)
    if not data:
        raise EOFError
    return bytes(data)


def run_workers(
    listings: list[dict[str, Any]],
    controller_port: int,
    report_s: float,
    run_s: float,
    seconds: float,
    results: Any,
) -> None:
    """Run the workers of one process and put their counts into ``results``, scaled to the whole run."""
    fleet = WorkerFleet(listings, controller_port, report_s, run_s)
    trio.run(fleet.run, seconds)
    ended = sum(worker.ended for worker in fleet.workers)
    counts = {"answered": fleet.answered * 2, "refused": fleet.refused, "ended": ended * 2, "waits": fleet.waits}
    results.put(msgspec.json.encode(counts))
