"""A state service with the limits of the protocol: calls and changes a second, 1,000 items a page, 10,000 changes."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections import deque
from itertools import islice
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply, Request

MAX_ITEMS, MAX_PAGE_BYTES, KEPT_CHANGES = 1000, 512 * 1024, 10_000
LATENCY_S = 0.002


class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.at = trio.current_time()

    def take(self, amount: float) -> bool:
        """Whether ``amount`` more are within the limit."""
        now = trio.current_time()
        self.level, self.at = min(self.rate, self.level + (now - self.at) * self.rate), now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class State:
    """The store; ``keys`` maps a key to its value, stamp and lease."""

    def __init__(self, rps: float, write_rps: float) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.order: list[str] = []
        self.items: dict[str, msgspec.Raw] = {}  # each key as a page lists it
        self.changes: deque[tuple[int, str, Any]] = deque(maxlen=KEPT_CHANGES)
        self.ledger = self.holds = 0
        self.leases: dict[int, tuple[float, float]] = {}  # lease -> (time to live, end)
        self.calls, self.writes = Bucket(rps), Bucket(write_rps)
        self.changed = trio.Event()
        self.counts: dict[str, int] = {}

    def change(self, key: str, value: Any, hold: int | None = None) -> None:
        """Apply one change at the present revision."""
        if value is None:
            if self.keys.pop(key, None) is None:
                return
            del self.order[bisect_left(self.order, key)], self.items[key]
        else:
            if key not in self.keys:
                insort(self.order, key)
            self.keys[key] = (value, self.ledger, hold)
            self.items[key] = msgspec.Raw(msgspec.json.encode({"key": key, "value": value, "stamp": self.ledger}))
        self.changes.append((self.ledger, key, value))

    def announce(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = trio.Event()

    async def expire(self) -> None:
        """End leases that are not renewed, forever."""
        while True:
            await trio.sleep(0.02)
            for hold, (_, until) in list(self.leases.items()):
                if trio.current_time() >= until:
                    self.end_lease(hold)

    def end_lease(self, hold: int) -> None:
        """End a lease; its keys disappear."""
        del self.leases[hold]
        for key in [key for key, (_, _, owner) in self.keys.items() if owner == hold and owner is not None]:
            self.ledger += 1
            self.change(key, None)
            self.announce()

    def count(self, what: str) -> None:
        """Count an event for the record."""
        self.counts[what] = self.counts.get(what, 0) + 1

    async def __call__(self, request: Request) -> Reply:
        """Answer one request."""
        path, _, query = request.path.partition("?")
        params = dict(part.split("=", 1) for part in query.split("&") if part)
        self.count("calls")
        if not self.calls.take(1):
            self.count("calls refused with 429")
            return Reply(429, {"error": "too many requests"})
        if path == "/watch":
            return await self.watch(params)
        await trio.sleep(LATENCY_S)
        body = msgspec.json.decode(request.body) if request.body else {}
        if path == "/multi":
            return self.multi(body)
        if path == "/grants":
            self.holds += 1
            ttl = body["ttlMs"] / 1000
            self.leases[self.holds] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"hold": self.holds})
        if path.startswith("/grants/"):
            return self.grant(request.method, int(path.split("/")[2]))
        if path == "/keys":
            return self.page(params)
        found = self.keys.get(path.removeprefix("/keys/"))
        if found is None:
            return Reply(404, {"ledger": self.ledger})
        return Reply(200, {"key": path.removeprefix("/keys/"), "value": found[0], "stamp": found[1], "hold": found[2]})

    def grant(self, method: str, hold: int) -> Reply:
        """Renew or end a lease."""
        if hold not in self.leases:
            return Reply(404, {})
        if method == "DELETE":
            self.end_lease(hold)
        else:
            ttl = self.leases[hold][0]
            self.leases[hold] = (ttl, trio.current_time() + ttl)
        return Reply(200, {"hold": hold})

    def page(self, params: dict[str, str]) -> Reply:
        """A page of keys in order."""
        starts, limit = params["starts"], min(int(params.get("limit", MAX_ITEMS)), MAX_ITEMS)
        first = bisect_left(self.order, starts)
        if "after" in params:
            first = max(first, bisect_right(self.order, params["after"]))
        pairs: list[msgspec.Raw] = []
        size, more = 100, False
        for key in islice(self.order, first, None):
            if not key.startswith(starts):
                break
            item = self.items[key]
            size += len(bytes(item)) + 1
            if len(pairs) >= limit or size > MAX_PAGE_BYTES:
                more = True
                break
            pairs.append(item)
        return Reply(200, {"pairs": pairs, "hasNext": more, "ledger": self.ledger})

    def multi(self, body: dict[str, Any]) -> Reply:
        """A transaction."""
        apply = body.get("apply", [])
        if not self.writes.take(len(apply)):
            self.count("transactions refused with 429")
            return Reply(429, {"error": "too many changes"})
        if any(step.get("hold") is not None and step["hold"] not in self.leases for step in apply):
            return Reply(400, {"error": "no such lease"})
        failed = [
            guard["key"] for guard in body.get("guards", []) if self.keys.get(guard["key"], (0, 0))[1] != guard["stamp"]
        ]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.ledger})
        if apply:
            self.ledger += 1
            for step in apply:
                if "put" in step:
                    self.change(step["put"], step["value"], step.get("hold"))
                else:
                    self.change(step["delete"], None)
            self.announce()
        return Reply(200, {"ledger": self.ledger})

    async def watch(self, params: dict[str, str]) -> Reply:
        """Changes after a revision."""
        after, starts = int(params["after"]), params["starts"]
        with trio.move_on_after(int(params.get("waitMs", 0)) / 1000):
            while not (self.changes and self.changes[-1][0] > after):
                await self.changed.wait()
        oldest = self.changes[0][0] if len(self.changes) == KEPT_CHANGES else -math.inf
        if after < oldest:
            self.count("watches answered 410")
            return Reply(410, {"ledger": self.ledger})
        events: list[dict[str, Any]] = []
        for stamp, key, value in reversed(self.changes):
            if stamp <= after:
                break
            if key.startswith(starts):
                events.append(
                    {"delete": key, "stamp": stamp} if value is None else {"put": key, "value": value, "stamp": stamp}
                )
        return Reply(200, {"ledger": self.ledger, "events": events[::-1]})
