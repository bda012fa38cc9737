"""An in-memory state service with switches for failures."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.budget import Budget
from ladderfield.http import Reply, Request, encode


class StateService:
    """An in-memory state service; ``keys`` maps a key to (value, revision, lease)."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[tuple[str, Any, int]] = []
        self.revision = 0
        self.leases: dict[int, tuple[float, float]] = {}  # lease -> (ttl, end)
        self.down = False
        self.lose_answers = 0  # number of transactions to apply without an answer
        self.loses_all_answers = False  # every transaction is carried out without an answer, refused ones too
        # Transactions on keys for which this is true are withheld, unanswered, until ``apply_withheld``.
        self.withholds: Callable[[list[str]], bool] = lambda keys: False
        self.withheld: list[dict[str, Any]] = []
        # Transactions are applied at once and answered after this delay.
        self.answer_delay_s: Callable[[list[str]], float] = lambda keys: 0.0
        self.delay_s = 0.0  # added to every request
        self.max_page_keys = 1000
        self.max_value_bytes, self.max_ops = 64 * 1024, 1_000_000  # larger transactions are refused
        self.call_limit: Budget | None = None  # calls above it are answered 429
        self.refused_calls = 0
        self._order: list[str] = []  # the keys in order, as of ``_order_of``: the revision and the number of keys
        self._order_of = (-1, -1)
        self.late_transaction_every = 0  # every n-th transaction is applied late and never answered
        self.late_transaction_s = 5.0  # delay of such a transaction
        self.transactions = 0
        self.calls = 0
        self.watch_lag_s = 0.0
        self.changed = trio.Event()

    def _change(self, key: str, value: Any, lease: int | None) -> None:
        if value is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = (value, self.revision, lease)
        self.changes.append((key, value, self.revision))

    def _announce(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def _expire(self) -> None:
        now = trio.current_time()
        for lease, (ttl, ends_at) in list(self.leases.items()):
            if self.down:
                self.leases[lease] = (ttl, now + ttl)
            elif now >= ends_at:
                del self.leases[lease]
                for key in [key for key, (_, _, owner) in self.keys.items() if owner == lease]:
                    self.revision += 1
                    self._change(key, None, None)
                    self._announce()

    async def run(self) -> None:
        """Expire leases, forever."""
        while True:
            await trio.sleep(0.05)
            self._expire()

    async def __call__(self, request: Request) -> Reply:
        """Answer one request."""
        path, _, query = request.path.partition("?")
        params = dict(part.split("=", 1) for part in query.split("&") if part)
        if self.call_limit is not None and not await self.call_limit.take(max_wait_s=0.0):
            self.refused_calls += 1
            return Reply(429, {"error": "too many requests"})
        if path == "/watch":
            return await self._watch(params)
        self.calls += 1
        await trio.sleep(0.002 + self.delay_s)
        if self.down:
            return Reply(503, {"error": "trouble"})
        if path == "/keys":
            return self._list(params)
        return await self._answer(path, request)

    async def _answer(self, path: str, request: Request) -> Reply:
        """Answer a request other than a watch or a listing."""
        body = msgspec.json.decode(request.body) if request.body else {}
        if path == "/multi":
            return await self._multi(body)
        if path == "/grants":
            lease, ttl = len(self.changes) + len(self.leases) + 1000 + self.calls, body["ttlMs"] / 1000
            self.leases[lease] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"hold": lease})
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return Reply(404, {})
            if request.method == "DELETE":
                self.leases[lease] = (0.0, trio.current_time())
                self._expire()
                return Reply(200, {})
            self.leases[lease] = (self.leases[lease][0], trio.current_time() + self.leases[lease][0])
            return Reply(200, {"hold": lease})
        key = path.removeprefix("/keys/")
        if key not in self.keys:
            return Reply(404, {"ledger": self.revision})
        value, revision, lease_id = self.keys[key]
        return Reply(200, {"key": key, "value": value, "stamp": revision, "hold": lease_id})

    def _list(self, params: dict[str, str]) -> Reply:
        if self._order_of != (self.revision, len(self.keys)):
            self._order, self._order_of = sorted(self.keys), (self.revision, len(self.keys))
        starts, limit = params["starts"], min(int(params["limit"]), self.max_page_keys)
        first = max(bisect_left(self._order, starts), bisect_right(self._order, params.get("after", "")))
        found = [key for key in self._order[first : first + limit + 1] if key.startswith(starts)]
        pairs = [{"key": key, "value": self.keys[key][0], "stamp": self.keys[key][1]} for key in found[:limit]]
        return Reply(200, {"pairs": pairs, "hasNext": len(found) > limit, "ledger": self.revision})

    async def _multi(self, body: dict[str, Any]) -> Reply:
        keys = [step["put"] if "put" in step else step["delete"] for step in body["apply"]]
        self.transactions += 1
        late = bool(self.late_transaction_every) and self.transactions % self.late_transaction_every == 0
        if self.withholds(keys):
            self.withheld.append(body)
            await trio.sleep_forever()
        if late:
            await trio.sleep(self.late_transaction_s)
        reply = self._apply(body)
        if late or self.loses_all_answers:
            await trio.sleep_forever()
        if reply.status == 200:
            if self.lose_answers:
                self.lose_answers -= 1
                await trio.sleep_forever()
            await trio.sleep(self.answer_delay_s(keys))
        return reply

    def apply_withheld(self) -> list[int]:
        """Apply withheld transactions in order of arrival; returns their statuses, which no client receives."""
        withheld, self.withheld = self.withheld, []
        return [self._apply(body).status for body in withheld]

    def _apply(self, body: dict[str, Any]) -> Reply:
        if any(step.get("hold") is not None and step["hold"] not in self.leases for step in body["apply"]):
            return Reply(400, {"error": "no such lease"})
        values = [encode(step["value"]) for step in body["apply"] if "put" in step]
        if len(body["apply"]) > self.max_ops or any(len(value) > self.max_value_bytes for value in values):
            return Reply(400, {"error": "too large"})
        failed = [guard["key"] for guard in body["guards"] if self.keys.get(guard["key"], (0, 0))[1] != guard["stamp"]]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.revision})
        if body["apply"]:
            self.revision += 1
            for step in body["apply"]:
                if "put" in step:
                    self._change(step["put"], step["value"], step.get("hold"))
                else:
                    self._change(step["delete"], None, None)
            self._announce()
        return Reply(200, {"ledger": self.revision})

    async def _watch(self, params: dict[str, str]) -> Reply:
        after = int(params["after"])
        with trio.move_on_after(int(params["waitMs"]) / 1000):
            while self.down or not any(revision > after for _, _, revision in self.changes):
                if self.down:
                    await trio.sleep(0.1)
                else:
                    await self.changed.wait()
        await trio.sleep(self.watch_lag_s)
        events: list[dict[str, Any]] = []
        for key, value, revision in self.changes:
            if revision > after and key.startswith(params["starts"]):
                events.append(
                    {"delete": key, "stamp": revision}
                    if value is None
                    else {"put": key, "value": value, "stamp": revision}
                )
        return Reply(200, {"ledger": self.revision, "events": events})
