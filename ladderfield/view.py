"""The local view of our keys in the state service, kept up to date by one watch.

All our keys share one prefix, so one watch carries every change, and "the watch has reached ledger N" proves that
the view holds everything that was true when N was read. That proof is what lets any controller answer a user.
"""

from __future__ import annotations

import logging
import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio

from ladderfield.settings import Settings
from ladderfield.state import StateClient, StateServiceError, Watched

log = logging.getLogger(__name__)

WATCH_LAG = 1 / 8  # of report_s: so long a watch may lag behind what is known to exist before it is opened again
SUBSCRIBER_BATCHES = 16  # batches of changes that may wait for a slow reader


class Change:
    """One key's change as the view saw it; ``value`` is None for a deletion."""

    __slots__ = ("key", "stamp", "value")

    def __init__(self, key: str, value: Any, stamp: int) -> None:
        self.key, self.value, self.stamp = key, value, stamp


class SharedRead:
    """One shared read; those who came before it started may use it."""

    __slots__ = ("answered", "ledger", "sent_at", "started")

    def __init__(self) -> None:
        self.started, self.answered = False, trio.Event()
        self.sent_at = -math.inf
        self.ledger: int | None = None


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
        self._consistent_from = -1  # what was read in several pages is of one moment only from this revision on
        self._patience = settings.cluster.workers.report_s / 2
        self._advanced = trio.Event()
        self._restart: trio.CancelScope | None = None
        self._watch_at = -math.inf
        self._watch_lag_s = WATCH_LAG * settings.cluster.workers.report_s
        self._subscribers: list[trio.MemorySendChannel[list[Change]]] = []
        self.followers: list[Callable[[Change], None]] = []  # told of each change as soon as ``data`` has it
        self._read_wanted = trio.Event()
        self._shared_read: SharedRead | None = None

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
        send, receive = trio.open_memory_channel[list[Change]](SUBSCRIBER_BATCHES)
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
            except StateServiceError as error:
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
        self._consistent_from = page.ledger
        self.synced = True
        await self._reached(first, changes)

    async def _follow(self) -> bool:
        """One watch; False when the view has to be read anew."""
        try:
            with trio.CancelScope() as scope:
                self._restart, self._watch_at = scope, trio.current_time()
                answer = await self.client.watch(self.ledger, self._patience * 10)
        except StateServiceError as error:
            log.debug("watch: %s", error)
            await trio.sleep(self._patience / 4)
            return True
        finally:
            self._restart = None
        if scope.cancelled_caught:
            return True
        if answer is None:
            return False
        await self._reached(max(answer.ledger, self.ledger), self._apply(answer))
        return True

    def _apply(self, answer: Watched) -> list[Change]:
        """Take a watch's events into ``data``."""
        changes = []
        for event in answer.events:
            if event.put is not None:
                changes.append(Change(event.put, event.value, event.stamp))
                self.data[event.put] = (event.value, event.stamp)
            elif event.delete is not None:
                changes.append(Change(event.delete, None, event.stamp))
                self.data.pop(event.delete, None)
        return changes

    async def _reached(self, ledger: int, changes: list[Change]) -> None:
        for change in changes:
            for follower in self.followers:
                follower(change)
        if ledger > self.ledger:
            self._watch_lag_s = WATCH_LAG * 2 * self._patience
        self.ledger = ledger
        self._advanced.set()
        self._advanced = trio.Event()
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
            with trio.move_on_after(self._watch_lag_s):
                while not self._holds(ledger):
                    await self._advanced.wait()
            if not self._holds(ledger) and self._restart is not None and self._watched_for() >= self._watch_lag_s:
                self._watch_lag_s = min(self._watch_lag_s * 2, self._patience * 2)
                self._restart.cancel()

    def _holds(self, ledger: int) -> bool:
        """Whether the view is that of one moment, not before a revision.

        Between two pages that were read a job may have ended and been cleared away: the first lacks its end, the second
        its record, and it would seem unknown.
        """
        return self.ledger >= max(ledger, self._consistent_from)

    def _watched_for(self) -> float:
        return trio.current_time() - self._watch_at

    async def fresh(self, timeout: float) -> bool:
        """Wait until the view surely holds all that was true when this was called; False if that can't be shown.

        All that ask while a read is under way share the next one: a burst of polls costs one read.
        """
        if not self.synced:
            return False
        read = self._shared_read
        if read is None or read.started:
            read = self._shared_read = SharedRead()
            self._read_wanted.set()
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
            await self._read_wanted.wait()
            self._read_wanted = trio.Event()
            read = self._shared_read
            if read is None or read.started:
                continue
            await self.client.calls.take()
            read.started, read.sent_at = True, trio.current_time()
            try:
                read.ledger = await self.client.ledger(self._patience)
            except StateServiceError as error:
                log.debug("no fresh view: %s", error)
            read.answered.set()
