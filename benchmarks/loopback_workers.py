"""Stand-in workers over real sockets, light enough that thousands of them fit a few processes.

They speak the worker's side of the protocol as far as a measurement needs it: one report in flight, orders carried
out, tasks that run for a fixed time, sessions that never end.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply, Request, Server

SAMPLE = 10  # of so many waits one is kept
ANSWER_S = 4.0


class LoopbackWorker:
    """One machine's worker."""

    def __init__(self, listing: dict[str, Any], run_s: float) -> None:
        self.about = {
            "host": listing["uid"], "endpoint": listing["endpoint"], "flavour": listing["flavour"],
            "yard": listing["yard"], "loaners": listing["loaners"], "tenure": 1, "recallS": None,
        }  # fmt: skip
        self.run_s = run_s
        self.tick = self.epoch = self.ended = 0
        self.rungs: dict[str, dict[str, Any]] = {}
        self.ends: dict[str, float] = {}

    def report(self) -> dict[str, Any]:
        """The present report."""
        now = trio.current_time()
        for name, ends in list(self.ends.items()):
            if now >= ends:
                del self.ends[name]
                self.rungs[name] |= {"phase": "exited", "cause": "done"}
                self.ended += 1
        self.tick += 1
        return self.about | {"tick": self.tick, "epoch": self.epoch, "rungs": list(self.rungs.values())}

    def carry_out(self, epoch: int, orders: list[dict[str, Any]]) -> None:
        """Carry orders out, if the token allows it."""
        if epoch < self.epoch:
            return
        self.epoch = epoch
        for order in orders:
            name = order["rung"]
            if order["verb"] == "launch" and name not in self.rungs:
                self.rungs[name] = {"rung": name, "try": order["try"], "phase": "running"}
                self.ends[name] = trio.current_time() + self.run_s
            elif order["verb"] == "stop" and self.ends.pop(name, None) is not None:
                self.rungs[name] |= {"phase": "exited", "cause": "stopped"}
            elif order["verb"] == "reap":
                self.rungs.pop(name, None)


class WorkerFleet:
    """All workers of one process."""

    def __init__(self, listings: list[dict[str, Any]], controller_port: int, report_s: float, run_s: float) -> None:
        self.workers = [LoopbackWorker(listing, run_s) for listing in listings]
        self.controller_port, self.report_s = controller_port, report_s
        self.answered = self.refused = 0
        self.waits: list[float] = []

    async def serve(self, worker: LoopbackWorker) -> None:
        """Take direct commands at the worker's own loopback address."""

        async def handle(request: Request) -> Reply:
            if request.path == "/orders":
                body = msgspec.json.decode(request.body)
                worker.carry_out(body["epoch"], body["orders"])
            return Reply(200, worker.report())

        host, _, port = worker.about["endpoint"].partition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        await trio.serve_listeners(Server(handle, 10, 5.0, 600.0), listeners)

    async def run_worker(self, worker: LoopbackWorker) -> None:
        """Report for ever."""
        await trio.sleep(random.uniform(0, self.report_s))
        stream: trio.SocketStream | None = None
        while True:
            begin = trio.current_time()
            try:
                if stream is None:
                    stream = await trio.open_tcp_stream("127.0.0.1", self.controller_port)
                with trio.fail_after(ANSWER_S):
                    status, body = await exchange(stream, msgspec.json.encode(worker.report()))
            except (OSError, trio.BrokenResourceError, trio.TooSlowError, EOFError):
                status, body = 0, b""
            if status == 200:
                answer = msgspec.json.decode(body)
                worker.carry_out(answer["epoch"], answer["orders"])
                self.answered += 1
                if self.answered % SAMPLE == 0:
                    self.waits.append(trio.current_time() - begin)
            else:
                self.refused += 1
                if stream is not None:
                    await trio.aclose_forcefully(stream)
                stream = None
                await trio.sleep(1.0)
            await trio.sleep(random.uniform(0.75, 1.25) * self.report_s)

    async def run(self, seconds: float) -> None:
        """Report and take commands for so long. What counts is the second half."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for worker in self.workers:
                    nursery.start_soon(self.serve, worker)
                    nursery.start_soon(self.run_worker, worker)
                await trio.sleep(seconds / 2)
                self.answered = self.refused = 0
                self.waits.clear()
                for worker in self.workers:
                    worker.ended = 0


async def exchange(stream: trio.SocketStream, body: bytes) -> tuple[int, bytes]:
    """One report and its answer."""
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
    """Some bytes; EOFError at the end."""
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
    """A process of workers; its counts go to ``results``."""
    fleet = WorkerFleet(listings, controller_port, report_s, run_s)
    trio.run(fleet.run, seconds)
    ended = sum(worker.ended for worker in fleet.workers)
    counts = {"answered": fleet.answered * 2, "refused": fleet.refused, "ended": ended * 2, "waits": fleet.waits}
    results.put(msgspec.json.encode(counts))
