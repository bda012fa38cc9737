"""The state service in memory, with switches for what goes wrong."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from ladderfield.http import Reply, Request


class StateService:
    """The state service in memory."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.changes: list[tuple[str, Any, int]] = []
        self.ledger = 0
        self.holds: dict[int, tuple[float, float]] = {}  # hold -> (ttl, ends)
        self.down = False
        self.lose_answers = 0  # so many transactions are applied, but never answered
        self.keeps: Callable[[list[str]], bool] = lambda keys: False  # transactions on such keys are kept back, with
        self.kept: list[dict[str, Any]] = []  # no answer, until ``carry_out``: after newer ones
        self.answer_s: Callable[[list[str]], float] = lambda keys: 0.0  # carried out at once, answered so much later
        self.slow_s = 0.0  # every answer takes so long
        self.page_most = 1000
        self.late_every = 0  # of so many transactions one is not answered, and is carried out
        self.late_s = 5.0  # so much later
        self.transactions = 0
        self.calls = 0
        self.watch_lag = 0.0
        self.moved = trio.Event()

    def _change(self, key: str, value: Any, hold: int | None) -> None:
        if value is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = (value, self.ledger, hold)
        self.changes.append((key, value, self.ledger))

    def _announce(self) -> None:
        self.moved.set()
        self.moved = trio.Event()

    def _expire(self) -> None:
        now = trio.current_time()
        for hold, (ttl, ends) in list(self.holds.items()):
            if self.down:
                self.holds[hold] = (ttl, now + ttl)
            elif now >= ends:
                del self.holds[hold]
                for key in [key for key, (_, _, by) in self.keys.items() if by == hold]:
                    self.ledger += 1
                    self._change(key, None, None)
                    self._announce()

    async def run(self) -> None:
        """Let leases end."""
        while True:
            await trio.sleep(0.05)
            self._expire()

    async def __call__(self, request: Request) -> Reply:
        """Any request."""
        path, _, query = request.path.partition("?")
        params = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/watch":
            return await self._watch(params)
        self.calls += 1
        await trio.sleep(0.002 + self.slow_s)
        if self.down:
            return Reply(503, {"error": "trouble"})
        body = msgspec.json.decode(request.body) if request.body else {}
        if path == "/multi":
            return await self._multi(body)
        if path == "/grants":
            hold, ttl = len(self.changes) + len(self.holds) + 1000 + self.calls, body["ttlMs"] / 1000
            self.holds[hold] = (ttl, trio.current_time() + ttl)
            return Reply(200, {"hold": hold})
        if path.startswith("/grants/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return Reply(404, {})
            if request.method == "DELETE":
                self.holds[hold] = (0.0, trio.current_time())
                self._expire()
                return Reply(200, {})
            self.holds[hold] = (self.holds[hold][0], trio.current_time() + self.holds[hold][0])
            return Reply(200, {"hold": hold})
        if path == "/keys":
            found = sorted(
                key for key in self.keys if key.startswith(params["starts"]) and key > params.get("after", "")
            )
            most = min(int(params["limit"]), self.page_most)
            pairs = [{"key": key, "value": self.keys[key][0], "stamp": self.keys[key][1]} for key in found[:most]]
            return Reply(200, {"pairs": pairs, "hasNext": len(found) > most, "ledger": self.ledger})
        key = path.removeprefix("/keys/")
        if key not in self.keys:
            return Reply(404, {"ledger": self.ledger})
        return Reply(200, {"key": key, "value": self.keys[key][0], "stamp": self.keys[key][1]})

    async def _multi(self, body: dict[str, Any]) -> Reply:
        keys = [step["put"] if "put" in step else step["delete"] for step in body["apply"]]
        self.transactions += 1
        late = bool(self.late_every) and self.transactions % self.late_every == 0
        if self.keeps(keys):
            self.kept.append(body)
            await trio.sleep_forever()
        if late:
            await trio.sleep(self.late_s)
        reply = self._apply(body)
        if late:
            await trio.sleep_forever()
        if reply.status == 200:
            if self.lose_answers:
                self.lose_answers -= 1
                await trio.sleep_forever()
            await trio.sleep(self.answer_s(keys))
        return reply

    def carry_out(self) -> list[int]:
        """Carry out what was kept back, in the order of its coming; the statuses, of which nobody else hears."""
        kept, self.kept = self.kept, []
        return [self._apply(body).status for body in kept]

    def _apply(self, body: dict[str, Any]) -> Reply:
        if any(step.get("hold") is not None and step["hold"] not in self.holds for step in body["apply"]):
            return Reply(400, {"error": "no such lease"})
        failed = [guard["key"] for guard in body["guards"] if self.keys.get(guard["key"], (0, 0))[1] != guard["stamp"]]
        if failed:
            return Reply(409, {"failed": failed, "ledger": self.ledger})
        if body["apply"]:
            self.ledger += 1
            for step in body["apply"]:
                if "put" in step:
                    self._change(step["put"], step["value"], step.get("hold"))
                else:
                    self._change(step["delete"], None, None)
            self._announce()
        return Reply(200, {"ledger": self.ledger})

    async def _watch(self, params: dict[str, str]) -> Reply:
        after = int(params["after"])
        with trio.move_on_after(int(params["waitMs"]) / 1000):
            while self.down or not any(stamp > after for _, _, stamp in self.changes):
                if self.down:
                    await trio.sleep(0.1)
                else:
                    await self.moved.wait()
        await trio.sleep(self.watch_lag)
        events: list[dict[str, Any]] = []
        for key, value, stamp in self.changes:
            if stamp > after and key.startswith(params["starts"]):
                events.append(
                    {"delete": key, "stamp": stamp} if value is None else {"put": key, "value": value, "stamp": stamp}
                )
        return Reply(200, {"ledger": self.ledger, "events": events})
