"""The state service: calls, and a full view of our keys that follows it by watch.

All our keys share one prefix, so one watch carries every change, and "the watch has reached ledger N" proves that
the view holds everything that was true when N was read. That proof is what lets any controller answer a user.
"""

from __future__ import annotations

import logging
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import msgspec
import trio

from ladderfield.budget import Budget
from ladderfield.http import Client, NoAnswer, decode_object
from ladderfield.settings import Settings, address

log = logging.getLogger(__name__)

PREFIX = "lf/"
HANG = 1 / 8  # of report_s: so long a watch may lag behind what is known to exist before it is opened again
NOWHERE = "lf-none/"  # no key ever has this prefix: listing it returns the ledger and nothing else


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


class Unavailable(Exception):
    """The state service did not carry the request out, or did not say that it has."""


class Refused(Unavailable):
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
        # Nearly half of the writes are the one leader's, half is shared by the front doors. Every change wakes the
        # watches of all controllers, so these have a share of the calls of their own; a tenth is left for renewals.
        self.writes = Budget(limits.write_rps * 0.5 / size)
        self.leader_writes = Budget(limits.write_rps * 0.45)
        self.watches = Budget(limits.rps * 0.4 / size)
        self.calls = Budget(limits.rps * 0.3 / size)
        self.leader_calls = Budget(limits.rps * 0.2)
        self.answered_at = -math.inf  # when the service last answered us with anything but trouble

    async def _call(
        self, method: str, target: str, body: Any, timeout: float, client: Client | None = None
    ) -> tuple[int, dict[str, Any]]:
        client = client or self._client
        try:
            status, data = await client.call(method, target, body, timeout)
            answer = decode_object(data) if data else {}
        except NoAnswer as error:
            await client.drop()
            raise Unavailable(str(error)) from None
        if status == 429:
            self.calls.drain()
        if status >= 500 or status == 429:
            raise Unavailable(f"{method} {target}: {status}")
        self.answered_at = trio.current_time()
        return status, answer

    async def ledger(self, timeout: float) -> int:
        """The present revision, read from the service now."""
        status, answer = await self._call("GET", f"/keys?starts={NOWHERE}&limit=1", None, timeout)
        ledger = answer.get("ledger")
        if status != 200 or not isinstance(ledger, int):
            raise Unavailable(f"no ledger: {status}")
        return ledger

    async def page(self, after: str, timeout: float) -> Page:
        """One page of our keys."""
        target = f"/keys?starts={PREFIX}&limit=1000" + (f"&after={after}" if after else "")
        status, answer = await self._call("GET", target, None, timeout)
        return _checked(status, answer, Page)

    async def stamp(self, key: str, timeout: float) -> int:
        """A key's present version; 0 if it does not exist."""
        status, answer = await self._call("GET", f"/keys/{key}", None, timeout)
        stamp = 0 if status == 404 else answer.get("stamp")
        if not isinstance(stamp, int):
            raise Unavailable(f"no stamp: {status}")
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
        apply: list[dict[str, Any]] = []
        for key, value in puts.items():
            put = {"put": key, "value": value}
            if key == held:
                put["hold"] = hold
            apply.append(put)
        apply += [{"delete": key} for key in deletes]
        body = {"guards": [{"key": key, "stamp": stamp} for key, stamp in guards.items()], "apply": apply}
        status, answer = await self._call("POST", "/multi", body, timeout)
        ledger, failed = answer.get("ledger"), answer.get("failed")
        if status == 200 and isinstance(ledger, int):
            return Outcome(ledger, None)
        if status == 409 and isinstance(failed, list) and isinstance(ledger, int):
            return Outcome(ledger, [str(key) for key in failed])
        if status == 400:
            raise Refused(f"commit: {answer}")
        raise Unavailable(f"commit: {status} {answer}")

    async def grant(self, ttl_s: float, timeout: float) -> int:
        """A new lease."""
        status, answer = await self._call("POST", "/grants", {"ttlMs": round(ttl_s * 1000)}, timeout)
        hold = answer.get("hold")
        if status != 200 or not isinstance(hold, int):
            raise Unavailable(f"no lease: {status}")
        return hold

    async def touch(self, hold: int, timeout: float) -> bool:
        """Renew a lease; False if it has ended."""
        status, _ = await self._call("POST", f"/grants/{hold}/touch", {}, timeout)
        return status == 200

    async def watch(self, after: int, wait_s: float) -> Watched | None:
        """Changes after a revision, or None if the service no longer keeps that far back."""
        await self.watches.take()
        target = f"/watch?starts={PREFIX}&after={after}&waitMs={round(wait_s * 1000)}"
        status, answer = await self._call("GET", target, None, wait_s * 2, self._watcher)
        return None if status == 410 else _checked(status, answer, Watched)


Answer = TypeVar("Answer")


def _checked(status: int, answer: dict[str, Any], kind: type[Answer]) -> Answer:
    """The answer as what it should be; a strange one counts as none."""
    if status != 200:
        raise Unavailable(f"{kind.__name__}: {status}")
    try:
        return msgspec.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise Unavailable(f"{kind.__name__}: {error}") from None


class Change:
    """One key's change as the view saw it; ``value`` is None for a deletion."""

    __slots__ = ("key", "stamp", "value")

    def __init__(self, key: str, value: Any, stamp: int) -> None:
        self.key, self.value, self.stamp = key, value, stamp


class View:
    """Everything we keep in the state service, as of ``ledger``.

    Readers look at ``data``; those who need to act on changes take part in ``subscribe``. Only ``run`` changes it.
    """

    def __init__(self, client: StateClient, settings: Settings) -> None:
        self.client = client
        self.data: dict[str, tuple[Any, int]] = {}
        self.ledger = -1
        self.proven_at = -math.inf  # when the last read was sent that proved the view to be fresh
        self.synced = False
        self._whole_at = -1  # what was read in several pages is of one moment only from this revision on
        self._patience = settings.cluster.workers.report_s / 2
        self._moved = trio.Event()
        self._restart: trio.CancelScope | None = None
        self._watch_at = -math.inf
        self._hang = HANG * settings.cluster.workers.report_s
        self._subscribers: list[trio.MemorySendChannel[list[Change]]] = []
        self.followers: list[Callable[[Change], None]] = []  # told of each change as soon as ``data`` has it
        self._wanted = trio.Event()
        self._reading: _Read | None = None

    def get(self, key: str) -> Any:
        """A key's value, or None."""
        found = self.data.get(key)
        return None if found is None else found[0]

    def stamp(self, key: str) -> int:
        """A key's version, 0 if absent: what a guard wants."""
        found = self.data.get(key)
        return 0 if found is None else found[1]

    @asynccontextmanager
    async def subscribe(self) -> AsyncIterator[trio.MemoryReceiveChannel[list[Change]]]:
        """Batches of changes from now on. A slow reader holds the view back instead of losing changes."""
        send, receive = trio.open_memory_channel[list[Change]](16)
        self._subscribers.append(send)
        try:
            yield receive
        finally:
            self._subscribers.remove(send)
            receive.close()

    async def run(self) -> None:
        """Follow the service for ever."""
        told = False
        while True:
            try:
                await self._load()
                told = False
                while await self._follow():
                    pass
            except Unavailable as error:
                log.log(logging.DEBUG if told else logging.INFO, "the view waits: %s", error)
                told = True
                await trio.sleep(self._patience / 4)

    async def _load(self) -> None:
        """Read all keys. Changes made while paging come again by the watch, which starts at the first page."""
        data: dict[str, tuple[Any, int]] = {}
        after, first = "", None
        while True:
            page = await self.client.page(after, self._patience * 4)
            first = page.ledger if first is None else first
            for pair in page.pairs:
                after = pair.key
                data[after] = (pair.value, pair.stamp)
            if not page.more or not page.pairs:
                break
        changes = [Change(key, value, stamp) for key, (value, stamp) in data.items() if self.stamp(key) != stamp]
        changes += [Change(key, None, first) for key in self.data if key not in data]
        self.data = data
        self._whole_at = page.ledger
        self.synced = True
        await self._reached(first, changes)

    async def _follow(self) -> bool:
        """One watch; False when the view has to be read anew."""
        try:
            with trio.CancelScope() as scope:
                self._restart, self._watch_at = scope, trio.current_time()
                answer = await self.client.watch(self.ledger, self._patience * 10)
        except Unavailable as error:
            log.debug("watch: %s", error)
            await trio.sleep(self._patience / 4)
            return True
        finally:
            self._restart = None
        if scope.cancelled_caught:
            return True
        if answer is None:
            return False
        changes = []
        for event in answer.events:
            if event.put is not None:
                changes.append(Change(event.put, event.value, event.stamp))
                self.data[event.put] = (event.value, event.stamp)
            elif event.delete is not None:
                changes.append(Change(event.delete, None, event.stamp))
                self.data.pop(event.delete, None)
        await self._reached(max(answer.ledger, self.ledger), changes)
        return True

    async def _reached(self, ledger: int, changes: list[Change]) -> None:
        for change in changes:
            for follower in self.followers:
                follower(change)
        if ledger > self.ledger:
            self._hang = HANG * 2 * self._patience
        self.ledger = ledger
        self._moved.set()
        self._moved = trio.Event()
        if changes:
            for subscriber in list(self._subscribers):
                try:
                    await subscriber.send(changes)
                except trio.BrokenResourceError:
                    continue

    async def reach(self, ledger: int) -> None:
        """Wait until the view holds everything up to a revision.

        A watch's connection may be dead without an error, or held up while all else goes through. So a watch that
        has not brought what is known to exist is opened again, well within the time that a poll waits; if that
        does not help either, the service is slow, and the next one is given longer.
        """
        while not self._holds(ledger):
            with trio.move_on_after(self._hang):
                while not self._holds(ledger):
                    await self._moved.wait()
            if not self._holds(ledger) and self._restart is not None and self._watched_for() >= self._hang:
                self._hang = min(self._hang * 2, self._patience * 2)
                self._restart.cancel()

    def _holds(self, ledger: int) -> bool:
        """Whether the view is that of one moment, not before a revision. Between two pages that were read a job may
        have ended and been cleared away: the first lacks its end, the second its record, and it would seem unknown."""
        return self.ledger >= max(ledger, self._whole_at)

    def _watched_for(self) -> float:
        return trio.current_time() - self._watch_at

    async def fresh(self, timeout: float) -> bool:
        """Wait until the view surely holds all that was true when this was called; False if that can't be shown.

        All that ask while a read is under way share the next one: a burst of polls costs one read.
        """
        if not self.synced:
            return False
        read = self._reading
        if read is None or read.started:
            read = self._reading = _Read()
            self._wanted.set()
        with trio.move_on_after(timeout):
            await read.answered.wait()
            if read.ledger is None:
                return False
            await self.reach(read.ledger)
            self.proven_at = max(self.proven_at, read.sent_at)
            return True
        return False

    async def run_reads(self) -> None:
        """Carry out the shared reads, one at a time."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            read = self._reading
            if read is None or read.started:
                continue
            await self.client.calls.take()
            read.started, read.sent_at = True, trio.current_time()
            try:
                read.ledger = await self.client.ledger(self._patience)
            except Unavailable as error:
                log.debug("no fresh view: %s", error)
            read.answered.set()


class _Read:
    """One shared read; those who came before it started may use it."""

    __slots__ = ("answered", "ledger", "sent_at", "started")

    def __init__(self) -> None:
        self.started, self.answered = False, trio.Event()
        self.sent_at = -math.inf
        self.ledger: int | None = None
