"""An in-memory cloud that rents out machines and lists them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply, Request
from ladderfield.testing.samples import TYPES
from ladderfield.testing.worker import Worker


class CloudService:
    """An in-memory cloud; ``boot`` creates the worker of a rented machine."""

    def __init__(self, boot: Callable[[str, dict[str, Any]], Worker]) -> None:
        self.boot = boot
        self.hosts: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.capacity = 20
        self.down = False
        self.boots = True
        self.types = TYPES

    async def __call__(self, request: Request) -> Reply:
        """Answer one request."""
        await trio.sleep(0.05)
        if self.down:
            return Reply(503, {"error": "trouble"})
        path = request.path.partition("?")[0]
        if path == "/machine_types":
            return Reply(200, {"flavours": self.types})
        if path == "/machines" and request.method == "GET":
            return Reply(200, {"hosts": list(self.hosts.values()), "hasNext": False})
        body = msgspec.json.decode(request.body)
        if path == "/machines/delete":
            for host in body["hosts"]:
                self.hosts.pop(host, None)
                if host in self.workers:
                    self.workers[host].dead = True
                    self.workers[host].discard_tasks()
            return Reply(200, {})
        if body["hire"] not in self.rentals:
            count = min(body["howMany"], self.capacity - len(self.hosts))
            if count <= 0:
                return Reply(503, {"error": "no capacity"})
            names = []
            for _ in range(count):
                host = f"i-{len(self.workers):06d}"
                names.append(host)
                worker = self.workers[host] = self.boot(host, body)
                self.hosts[host] = {
                    "uid": host, "endpoint": worker.report_fields["endpoint"], "flavour": body["flavour"],
                    "yard": body["yard"], "loaners": body["loaners"], "phase": "running", "heldS": 1.0,
                }  # fmt: skip
            self.rentals[body["hire"]] = names
        return Reply(200, {"hosts": self.rentals[body["hire"]]})
