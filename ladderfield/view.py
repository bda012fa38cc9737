"""The local copy of all keys in the state service, kept up to date by one watch.

All keys share one prefix, so one watch carries every change: once it has reached revision N, the view holds everything
that was true when N was read. This proof lets any controller answer users.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import trio

from ladderfield.backoff import Backoff
from ladderfield.changes import Change, Subscription
from ladderfield.settings import Settings
from ladderfield.snapshot import InconsistentPagesError, KeyTable, Snapshot, SnapshotReader
from ladderfield.state import StateClient, StateServiceError, WatchAnswer

log = logging.getLogger(__name__)

WATCH_LAG_REPORT_INTERVALS = 1 / 8  # a watch that lags longer behind a known revision is opened again


class SharedRead:
    """One read of the revision; all callers that came before it started share it."""

    __slots__ = ("answered", "revision", "sent_at", "started")

    def __init__(self) -> None:
        self.started, self.answered = False, trio.Event()
        self.sent_at = -math.inf
        self.revision: int | None = None


class View:
    """All keys of this cluster in the state service, as of ``revision``.

    Callers read ``data``, or ``subscribe`` to act on changes. Only ``run`` changes the view.
    """

    def __init__(self, client: StateClient, settings: Settings) -> None:
        self.client = client
        self.data: KeyTable = {}
        self.revision = -1
        self.proven_at = -math.inf  # when the last read that proved the view fresh was sent
        self.synced = False
        self._read_complete = True  # the last full read could read every key
        self._unusable: set[str] = set()  # keys whose present value a listener can't use
        self._consistent_from = -1  # pages are read one after the other: a consistent snapshot only from here on
        self._timeout_s = settings.cluster.workers.report_s / 2
        self._advanced = trio.Event()
        self._restart: trio.CancelScope | None = None
        self._watch_started_at = -math.inf
        self._reader = SnapshotReader(client, self._timeout_s * 4)
        self._reload_backoff = Backoff(self._timeout_s / 4, self._timeout_s * 8)
        self._watch_lag_s = WATCH_LAG_REPORT_INTERVALS * settings.cluster.workers.report_s
        self._subscriptions: list[Subscription] = []
        self.listeners: list[Callable[[Change], None]] = []  # called with each change once ``data`` has it
        self._read_wanted = trio.Event()
        self._shared_read: SharedRead | None = None

    def get(self, key: str) -> Any:
        """The value of a key, or None."""
        found = self.data.get(key)
        return None if found is None else found[0]

    def revision_of(self, key: str) -> int:
        """The revision of a key, 0 if it is absent: the value for a guard."""
        found = self.data.get(key)
        return 0 if found is None else found[1]

    @property
    def complete(self) -> bool:
        """Whether every record could be read and used, so that what the view lacks does not exist."""
        return self._read_complete and not self._unusable

    @contextmanager
    def subscribe(self) -> Iterator[Subscription]:
        """The changes from now on."""
        subscription = Subscription()
        self._subscriptions.append(subscription)
        try:
            yield subscription
        finally:
            self._subscriptions.remove(subscription)

    async def run(self) -> None:
        """Follow the state service until cancelled."""
        while True:
            try:
                await self._load()
            except InconsistentPagesError as error:
                log.error("all keys have to be read again: %s", error)
            else:
                while await self._watch_once():
                    pass
                log.warning("all keys have to be read again: changes after %d are no longer kept", self.revision)
            await trio.sleep(self._reload_backoff.next_pause_s())

    async def _load(self) -> None:
        """Read all keys. Changes made while paging arrive by the watch, which starts at the first page's revision."""
        snapshot = await self._reader.read(self.data, self.revision)
        changes = _differences(self.data, snapshot)
        self.data = snapshot.data
        self._read_complete = snapshot.complete
        self._consistent_from = snapshot.last_revision
        self.synced = True
        self._advance(snapshot.first_revision, changes)

    async def _watch_once(self) -> bool:
        """Wait for one answer of the watch; False if all keys have to be read again."""
        try:
            with trio.CancelScope() as scope:
                self._restart, self._watch_started_at = scope, trio.current_time()
                answer = await self.client.watch(self.revision, self._timeout_s * 10)
        except StateServiceError as error:
            log.debug("watch failed: %s", error)
            await trio.sleep(self._timeout_s / 4)
            return True
        finally:
            self._restart = None
        if scope.cancelled_caught:
            return True
        if answer is None:
            return False
        self._advance(max(answer.revision, self.revision), self._apply(answer))
        self._reload_backoff.reset()
        return True

    def _apply(self, answer: WatchAnswer) -> list[Change]:
        """Apply the events of a watch to ``data``, but for those that a page read later had already."""
        changes = []
        for event in answer.events:
            key = event.put or event.delete
            if key is None or event.revision <= self.revision_of(key):
                continue
            if event.put is not None:
                changes.append(Change(key, event.value, event.revision))
                self.data[key] = (event.value, event.revision)
            else:
                changes.append(Change(key, None, event.revision))
                self.data.pop(key, None)
        return changes

    def _advance(self, revision: int, changes: Iterable[Change]) -> None:
        for change in changes:
            self._notify(change)
            for subscription in self._subscriptions:
                subscription.add(change)
        if revision > self.revision:
            self._watch_lag_s = WATCH_LAG_REPORT_INTERVALS * 2 * self._timeout_s
        self.revision = revision
        self._advanced.set()
        self._advanced = trio.Event()

    def _notify(self, change: Change) -> None:
        """Call the listeners; a record that one of them can't use stops neither the others nor the view."""
        self._unusable.discard(change.key)
        for listener in self.listeners:
            try:
                listener(change)
            except Exception:
                log.exception("the record %s of revision %d can't be used", change.key, change.revision)
                self._unusable.add(change.key)

    async def wait_for_advance(self) -> None:
        """Wait until the view advances. What the caller found before it called this, without a wait, is current."""
        await self._advanced.wait()

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until the view holds everything up to a revision.

        The connection of a watch may be dead without an error, or stalled while others work. So a watch that has not
        brought a revision that is known to exist is opened again, well within the time that a poll waits. If that does
        not help, the service is slow, and the next watch is given longer.
        """
        while not self._has_consistent(revision):
            with trio.move_on_after(self._watch_lag_s):
                while not self._has_consistent(revision):
                    await self._advanced.wait()
            if (
                not self._has_consistent(revision)
                and self._restart is not None
                and self._watch_age() >= self._watch_lag_s
            ):
                self._watch_lag_s = min(self._watch_lag_s * 2, self._timeout_s * 2)
                self._restart.cancel()

    def _has_consistent(self, revision: int) -> bool:
        """Whether the view is a consistent snapshot that is not older than a revision.

        Between the reads of two pages a job may end and its record be deleted: the first page lacks its final state,
        the second its record, and the job would seem unknown.
        """
        return self.revision >= max(revision, self._consistent_from)

    def _watch_age(self) -> float:
        return trio.current_time() - self._watch_started_at

    async def fresh(self, timeout: float) -> bool:
        """Wait until the view holds all that was true when this was called; False if that can't be shown in time.

        All callers that arrive during a read share the next one, so that a burst of polls costs one read.
        """
        if not self.synced:
            return False
        read = self._shared_read
        if read is None or read.started:
            read = self._shared_read = SharedRead()
            self._read_wanted.set()
        with trio.move_on_after(timeout):
            await read.answered.wait()
            if read.revision is None:
                return False
            await self.wait_for_revision(read.revision)
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
                read.revision = await self.client.read_revision(self._timeout_s)
            except StateServiceError as error:
                log.debug("could not read the revision: %s", error)
            read.answered.set()


def _differences(known: KeyTable, snapshot: Snapshot) -> Iterator[Change]:
    """The changes from what was known to a snapshot, one at a time, as there may be as many as there are keys."""
    for key, (value, revision) in snapshot.data.items():
        if key not in known or known[key][1] != revision:
            yield Change(key, value, revision)
    for key in known:
        if key not in snapshot.data:
            yield Change(key, None, snapshot.first_revision)
