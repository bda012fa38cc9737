"""Writes the catalog of machine types to the state service, in as many transactions as its limits ask for.

The transactions of a catalog are guarded by the head on record and by the first part of the slot that they fill. Every
writer begins with that part, so it works as a lock: once another writer has begun, this one's transactions fail, and so
do copies that arrive late. Nobody reads the parts before the head names them.
"""

from __future__ import annotations

import logging
import secrets
from collections.abc import Mapping
from typing import Any

import trio

from ladderfield.budget import Budget
from ladderfield.fleet.catalog import CATALOG_KEY, Catalog, Layout, layout_of, next_slot, recorded_catalog
from ladderfield.http import encode
from ladderfield.jobs.model import MAX_RECORD_SHARE
from ladderfield.settings import Settings
from ladderfield.state import Outcome, StateClient, StateServiceError, WriteRefusedError
from ladderfield.view import View

log = logging.getLogger(__name__)

MAX_TXN_BYTES = 48 * 1024  # of the protocol's limit of 64 KiB; the rest is for guards and framing
MIN_RECORD_BYTES = 512  # lower bound of a record's size when it is reduced after rejected transactions
WRITE_SHARE = 1 / 4  # of the budget, while the catalog takes several transactions: others use the same budget
TXN_BUDGET_S = 1 / 2  # a transaction has at most the writes that the budget allows in this time
GENERATION_BYTES = 8  # of the random name of a generation
RETRY_REPORT_INTERVALS = 1 / 2  # pause before a transaction without an answer is tried again


class CatalogWriter:
    """Writes catalogs for one controller; ``extra_guards`` are added to those of each transaction."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        writes: Budget,
        calls: Budget,
        extra_guards: Mapping[str, int] | None = None,
    ) -> None:
        state = settings.cluster.state
        self.client, self.view, self.writes, self.calls = client, view, writes, calls
        self.extra_guards = dict(extra_guards or {})
        self.report_s = settings.cluster.workers.report_s
        self.max_record_bytes = int(min(state.value_kb * 1024, MAX_TXN_BYTES) * MAX_RECORD_SHARE)
        self.max_ops = max(1, min(state.txn_ops, int(writes.rate * TXN_BUDGET_S)))

    async def record(self, listed: Catalog) -> bool:
        """Put a catalog on record unless it is there; False if another writer has come between."""
        while True:
            slot = next_slot(self.view.get(CATALOG_KEY))
            layout = layout_of(listed, secrets.token_hex(GENERATION_BYTES), slot, self.max_record_bytes)
            if layout.catalog() == recorded_catalog(self.view.get):
                return True
            try:
                return await self._write(layout)
            except WriteRefusedError as error:
                log.error("the state service rejected records of machine types permanently: %s", error)
                self.max_ops = max(1, self.max_ops // 2)
                self.max_record_bytes = max(MIN_RECORD_BYTES, self.max_record_bytes // 2)
            await trio.sleep(RETRY_REPORT_INTERVALS * self.report_s)

    async def _write(self, layout: Layout) -> bool:
        """Write the parts and then the head; False if another writer has come between.

        A transaction without an answer may have been carried out, or may be later. So each one consists of what the
        view lacks, and the guards let only one copy through.
        """
        records = {**layout.parts, CATALOG_KEY: layout.head}
        lock_key, lock_value = next(iter(records.items()))
        head_revision = self.view.revision_of(CATALOG_KEY)
        locked = False
        while self.view.revision_of(CATALOG_KEY) == head_revision:
            if locked and self.view.get(lock_key) != lock_value:
                return False
            puts = self._next_puts(records)
            guards = {key: self.view.revision_of(key) for key in (CATALOG_KEY, lock_key, *puts)}
            outcome = await self._commit(guards, puts)
            if outcome is None:
                continue
            await self.view.wait_for_revision(outcome.revision)
            locked = self.view.get(lock_key) == lock_value
            if not locked or not self.extra_guards.keys().isdisjoint(outcome.failed or ()):
                return False
            if CATALOG_KEY not in puts:
                await trio.sleep(len(puts) / (WRITE_SHARE * self.writes.rate))
        return bool(self.view.get(CATALOG_KEY) == layout.head)

    def _next_puts(self, records: Mapping[str, Any]) -> dict[str, Any]:
        """The next records that the view lacks, as many as fit into one transaction."""
        puts: dict[str, Any] = {}
        size = 0
        for key, value in records.items():
            if self.view.get(key) == value:
                continue
            size += len(encode(value))
            if puts and (len(puts) >= self.max_ops or size > MAX_TXN_BYTES):
                break
            puts[key] = value
        return puts

    async def _commit(self, guards: Mapping[str, int], puts: dict[str, Any]) -> Outcome | None:
        """Commit one transaction; None, after a pause, if it was not answered."""
        await self.calls.take()
        await self.writes.take(len(puts))
        try:
            return await self.client.commit({**guards, **self.extra_guards}, puts, [], self.report_s)
        except WriteRefusedError:
            raise
        except StateServiceError as error:
            log.info("machine types were not recorded yet: %s", error)
        await trio.sleep(RETRY_REPORT_INTERVALS * self.report_s)
        return None
