"""Writes a sequence of records that may take several transactions, so that no two writers mix theirs.

Every writer of a sequence begins with its first record, which works as a lock: each transaction is guarded by it, so
once another writer has begun, this one's transactions fail, and so do copies of them that arrive late. Nobody may read
the records before one that is written last, here or by the caller, names them.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Any

import trio

from ladderfield.budget import Budget
from ladderfield.http import encode
from ladderfield.settings import MAX_TXN_VALUE_BYTES, Settings
from ladderfield.state import Outcome, StateClient, StateServiceError, WriteRefusedError
from ladderfield.view import View

log = logging.getLogger(__name__)

TXN_BUDGET_S = 1 / 2  # a transaction has at most the writes that the budget allows in this time
RETRY_REPORT_INTERVALS = 1 / 2  # pause before a transaction without an answer is tried again


class RecordWriter:
    """Writes sequences of records within one budget; ``fences`` are guards of each transaction, such as the epoch's."""

    def __init__(
        self,
        settings: Settings,
        client: StateClient,
        view: View,
        writes: Budget,
        calls: Budget,
        fences: Mapping[str, int] | None = None,
    ) -> None:
        self.client, self.view, self.writes, self.calls = client, view, writes, calls
        self.fences = dict(fences or {})
        self.retry_s = RETRY_REPORT_INTERVALS * settings.cluster.workers.report_s
        self.timeout_s = settings.cluster.workers.report_s
        self.max_ops = max(1, min(settings.cluster.state.txn_ops, int(writes.rate * TXN_BUDGET_S)))

    async def write(self, records: Mapping[str, Any], unchanged: Mapping[str, int], budget_share: float = 1.0) -> bool:
        """Write the records in order, as long as those in ``unchanged`` keep their revisions; whether all are written.

        Between transactions it pauses so that it takes ``budget_share`` of the budget. Raises WriteRefusedError if a
        transaction exceeds the state service's limits. A transaction without an answer may have been carried out, or
        may be later. So each one consists of what the view lacks, and the guards let only one copy through.
        """
        lock_key, lock_value = next(iter(records.items()))
        locked = False
        while puts := self._next_puts(records):
            lost_lock = locked and self.view.get(lock_key) != lock_value
            if lost_lock or any(self.view.revision_of(key) != revision for key, revision in unchanged.items()):
                return False
            guards = {key: self.view.revision_of(key) for key in (lock_key, *puts)}
            outcome = await self._commit({**guards, **unchanged, **self.fences}, puts)
            if outcome is None:
                continue
            await self.view.wait_for_revision(outcome.revision)
            locked = self.view.get(lock_key) == lock_value
            if not locked or not self.fences.keys().isdisjoint(outcome.failed or ()):
                return False
            if budget_share < 1.0 and self._next_puts(records):
                await trio.sleep(len(puts) / (budget_share * self.writes.rate))
        return True

    def _next_puts(self, records: Mapping[str, Any]) -> dict[str, Any]:
        """The next records that the view lacks, as many as fit into one transaction."""
        puts: dict[str, Any] = {}
        size = 0
        for key, value in records.items():
            if self.view.get(key) == value:
                continue
            size += len(encode(value))
            if puts and (len(puts) >= self.max_ops or size > MAX_TXN_VALUE_BYTES):
                break
            puts[key] = value
        return puts

    async def _commit(self, guards: Mapping[str, int], puts: dict[str, Any]) -> Outcome | None:
        """Commit one transaction; None, after a pause, if it was not answered."""
        await self.calls.take()
        await self.writes.take(len(puts))
        try:
            return await self.client.commit(dict(guards), puts, [], self.timeout_s)
        except WriteRefusedError:
            raise
        except StateServiceError as error:
            log.info("records beginning with %s were not written yet: %s", next(iter(puts)), error)
        await trio.sleep(self.retry_s)
        return None
