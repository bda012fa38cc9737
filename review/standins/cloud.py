"""A cloud that rents machines, with a list that lags, and a limit on calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply, Request
from standins.state import Bucket


class Cloud:
    """Rents up to ``capacity`` machines; ``boot`` starts a machine's worker and returns its address and its scope."""

    def __init__(
        self, types: list[dict[str, Any]], rps: float, list_lag_s: float, capacity: int,
        boot: Callable[[str, dict[str, Any]], tuple[str, trio.CancelScope]],
    ) -> None:  # fmt: skip
        self.types, self.list_lag_s, self.capacity, self.boot = types, list_lag_s, capacity, boot
        self.calls = Bucket(rps)
        self.calls.rate, self.burst = rps, 2 * rps
        self.hosts: dict[str, dict[str, Any]] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.gone: dict[str, tuple[float, dict[str, Any]]] = {}
        self.hires: dict[str, list[str]] = {}
        self.log: list[str] = []
        self._number = 0

    async def __call__(self, request: Request) -> Reply:
        """Answer one request."""
        path, _, query = request.path.partition("?")
        await trio.sleep(0.02)
        if path == "/machine_types":
            return Reply(200, {"flavours": self.types})
        if path == "/machines" and request.method == "GET":
            params = dict(part.split("=", 1) for part in query.split("&") if part)
            return self.list(params.get("after", ""), min(500, int(params.get("limit", "500"))))
        body = msgspec.json.decode(request.body)
        if path == "/machines/delete":
            for host in body["hosts"]:
                self.delete(host)
            return Reply(200, {})
        return self.rent(body)

    def rent(self, body: dict[str, Any]) -> Reply:
        """Rent machines; a repeated request gets the same answer."""
        name = body["hire"]
        if name not in self.hires:
            count = min(body["howMany"], self.capacity - len(self.hosts), 50)
            if count <= 0:
                return Reply(503, {"error": "no capacity"})
            self.hires[name] = []
            for _ in range(count):
                self._number += 1
                host = f"i-{self._number:06d}"
                endpoint, scope = self.boot(host, body)
                self.hosts[host] = {
                    "uid": host, "endpoint": endpoint, "flavour": body["flavour"], "yard": body["yard"],
                    "loaners": body["loaners"], "phase": "running", "since": trio.current_time(),
                }  # fmt: skip
                self.scopes[host] = scope
                self.hires[name].append(host)
                self.log.append(f"rented {host} ({body['flavour']}, {body['yard']}, {name})")
        return Reply(200, {"hosts": self.hires[name]})

    def delete(self, host: str) -> None:
        """Delete a machine with everything on it."""
        entry = self.hosts.pop(host, None)
        if entry is not None:
            self.log.append(f"deleted {host}")
            self.scopes.pop(host).cancel()
            self.gone[host] = (trio.current_time(), entry)

    def list(self, after: str, limit: int) -> Reply:
        """The machines as they were ``list_lag_s`` ago."""
        then = trio.current_time() - self.list_lag_s
        entries = [entry for entry in self.hosts.values() if entry["since"] <= then]
        entries += [entry for at, entry in self.gone.values() if entry["since"] <= then < at]
        entries = sorted((entry for entry in entries if entry["uid"] > after), key=lambda entry: entry["uid"])
        listed = [
            {key: value for key, value in entry.items() if key != "since"} | {"heldS": round(then - entry["since"], 3)}
            for entry in entries[:limit]
        ]
        return Reply(200, {"hosts": listed, "hasNext": len(entries) > limit})
