"""The HTTP client of the state service, within this controller's share of the limits on calls."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
import trio

from ladderfield.budget import Budget
from ladderfield.connectivity.links import Exchange, exchange_of
from ladderfield.connectivity.reachability import Side
from ladderfield.http import Client, NoAnswerError, decode_object
from ladderfield.settings import Settings, address

PREFIX = "lf/"
UNUSED_PREFIX = "lf-none/"  # no key ever has this prefix: listing it returns the ledger and nothing else
PAGE_LIMIT = 1000  # keys on one page of a listing


class Pair(msgspec.Struct, frozen=True):
    """A key as the service lists it."""

    key: str
    stamp: int
    value: Any = None


class Page(msgspec.Struct, frozen=True):
    """Some of our keys."""

    pairs: list[Pair]
    ledger: int
    more: bool = msgspec.field(name="hasNext", default=False)


class Event(msgspec.Struct, frozen=True):
    """A change: of ``put``, or the end of ``delete``."""

    stamp: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class Watched(msgspec.Struct, frozen=True):
    """What a watch tells."""

    ledger: int
    events: list[Event]


class StateServiceError(Exception):
    """The state service did not carry the request out, or did not say that it has."""


class WriteRefusedError(StateServiceError):
    """The state service will never take this as it is: it is surely not carried out, and a repeat is useless."""


class Outcome:
    """What became of a transaction: applied at ``ledger``, or the guards that failed."""

    __slots__ = ("failed", "ledger")

    def __init__(self, ledger: int, failed: list[str] | None) -> None:
        self.ledger, self.failed = ledger, failed


class StateClient:
    """Calls to the state service within this controller's share of the limits."""

    def __init__(self, settings: Settings) -> None:
        limits, size = settings.cluster.state, settings.cluster.size
        host, port = address(settings.outside.state)
        self._client = Client(host, port)
        self._watcher = Client(host, port, keep=1)
        # Nearly half of the writes are the one leader's, half is shared by the controllers' jobs APIs. Every change
        # wakes the watches of all controllers, so these have a share of the calls of their own; a tenth is left for
        # renewals.
        self.writes = Budget(limits.write_rps * 0.5 / size)
        self.leader_writes = Budget(limits.write_rps * 0.45)
        self.watches = Budget(limits.rps * 0.4 / size)
        self.calls = Budget(limits.rps * 0.3 / size)
        self.leader_calls = Budget(limits.rps * 0.2)
        self.observe: Callable[[Side, Exchange], None] = lambda side, exchange: None  # told how each call ended
        self.answered_at = -math.inf  # when the service last answered us with anything but trouble

    async def _call(
        self, method: str, target: str, body: Any, timeout: float, client: Client | None = None
    ) -> tuple[int, dict[str, Any]]:
        client = client or self._client
        try:
            status, data = await client.call(method, target, body, timeout)
            answer = decode_object(data) if data else {}
        except NoAnswerError as error:
            self.observe(_side(method, target), Exchange.LOST)
            await client.drop()
            raise StateServiceError(str(error)) from None
        self.observe(_side(method, target), exchange_of(status))
        if status == 429:
            self.calls.drain()
        if status >= 500 or status == 429:
            raise StateServiceError(f"{method} {target}: {status}")
        self.answered_at = trio.current_time()
        return status, answer

    async def ledger(self, timeout: float) -> int:
        """The present revision, read from the service now."""
        status, answer = await self._call("GET", f"/keys?starts={UNUSED_PREFIX}&limit=1", None, timeout)
        ledger = answer.get("ledger")
        if status != 200 or not isinstance(ledger, int):
            raise StateServiceError(f"no ledger: {status}")
        return ledger

    async def page(self, after: str, timeout: float) -> Page:
        """One page of our keys."""
        target = f"/keys?starts={PREFIX}&limit={PAGE_LIMIT}" + (f"&after={after}" if after else "")
        status, answer = await self._call("GET", target, None, timeout)
        return _checked(status, answer, Page)

    async def stamp(self, key: str, timeout: float) -> int:
        """A key's present version; 0 if it does not exist."""
        status, answer = await self._call("GET", f"/keys/{key}", None, timeout)
        stamp = 0 if status == 404 else answer.get("stamp")
        if not isinstance(stamp, int):
            raise StateServiceError(f"no stamp: {status}")
        return stamp

    async def commit(
        self,
        guards: dict[str, int],
        puts: dict[str, Any],
        deletes: list[str],
        timeout: float,
        hold: int | None = None,
        held: str | None = None,
    ) -> Outcome:
        """One transaction; ``held`` names the put that is attached to lease ``hold``."""
        body = _transaction(guards, puts, deletes, hold, held)
        status, answer = await self._call("POST", "/multi", body, timeout)
        ledger, failed = answer.get("ledger"), answer.get("failed")
        if status == 200 and isinstance(ledger, int):
            return Outcome(ledger, None)
        if status == 409 and isinstance(failed, list) and isinstance(ledger, int):
            return Outcome(ledger, [str(key) for key in failed])
        if status == 400:
            raise WriteRefusedError(f"commit: {answer}")
        raise StateServiceError(f"commit: {status} {answer}")

    async def grant(self, ttl_s: float, timeout: float) -> int:
        """A new lease."""
        status, answer = await self._call("POST", "/grants", {"ttlMs": round(ttl_s * 1000)}, timeout)
        hold = answer.get("hold")
        if status != 200 or not isinstance(hold, int):
            raise StateServiceError(f"no lease: {status}")
        return hold

    async def touch(self, hold: int, timeout: float) -> bool:
        """Renew a lease; False if it has ended."""
        status, _ = await self._call("POST", f"/grants/{hold}/touch", {}, timeout)
        return status == 200

    async def release(self, hold: int, timeout: float) -> None:
        """End a lease at once, and with it the keys attached to it."""
        await self._call("DELETE", f"/grants/{hold}", None, timeout)

    async def watch(self, after: int, wait_s: float) -> Watched | None:
        """Changes after a revision, or None if the service no longer keeps that far back."""
        await self.watches.take()
        target = f"/watch?starts={PREFIX}&after={after}&waitMs={round(wait_s * 1000)}"
        status, answer = await self._call("GET", target, None, wait_s * 2, self._watcher)
        return None if status == 410 else _checked(status, answer, Watched)


def _side(method: str, target: str) -> Side:
    """Which of our links to the state service a call goes over."""
    if target.startswith("/watch"):
        return Side.STATE_WATCH
    return Side.STATE_READ if method == "GET" else Side.STATE_WRITE


def _transaction(
    guards: dict[str, int], puts: dict[str, Any], deletes: list[str], hold: int | None, held: str | None
) -> dict[str, Any]:
    """The body of a transaction request."""
    apply: list[dict[str, Any]] = []
    for key, value in puts.items():
        put = {"put": key, "value": value}
        if key == held:
            put["hold"] = hold
        apply.append(put)
    apply += [{"delete": key} for key in deletes]
    return {"guards": [{"key": key, "stamp": stamp} for key, stamp in guards.items()], "apply": apply}


Answer = TypeVar("Answer")


def _checked(status: int, answer: dict[str, Any], kind: type[Answer]) -> Answer:
    """The answer as what it should be; a strange one counts as none."""
    if status != 200:
        raise StateServiceError(f"{kind.__name__}: {status}")
    try:
        return msgspec.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise StateServiceError(f"{kind.__name__}: {error}") from None
