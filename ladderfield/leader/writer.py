"""Commits the leader's transactions one at a time, retrying each until the state service answers."""

from __future__ import annotations

import logging

import trio

from ladderfield.leader.ledger import Transaction
from ladderfield.leader.messages import Message, TransactionAnswered, WriterReady
from ladderfield.leadership import EPOCH
from ladderfield.settings import Settings
from ladderfield.state import Outcome, StateClient, StateServiceError, WriteRefusedError

log = logging.getLogger(__name__)

MIN_READY_SHARE = 0.25  # of txn_ops: write budget that must be available before the next transaction is built
MIN_READY_WRITES = 2  # lower bound of that budget: the end of a job and a page of claims
RETRY_REPORT_INTERVALS = 1 / 10  # pause before a transaction is retried


class Writer:
    """Writes for one leader and reports each outcome to its inbox."""

    def __init__(
        self, settings: Settings, epoch: int, client: StateClient, inbox: trio.MemorySendChannel[Message]
    ) -> None:
        self.epoch, self.client, self.inbox = epoch, client, inbox
        self.report_s = settings.cluster.workers.report_s
        self.unanswered = False  # a transaction was submitted and its outcome is unknown
        self.busy = False  # from the submission of a transaction until the next one may be built
        self._min_ready_writes = max(MIN_READY_WRITES, MIN_READY_SHARE * settings.cluster.state.txn_ops)
        self._submitted, self._transactions = trio.open_memory_channel[Transaction](1)

    def submit(self, txn: Transaction) -> None:
        """Submit a transaction; allowed only while the writer is not busy."""
        self.busy = self.unanswered = True
        self._submitted.send_nowait(txn)

    async def run(self) -> None:
        """Commit submitted transactions until cancelled."""
        async for txn in self._transactions:
            answered = await self._write(txn)
            self.unanswered = False
            await self.inbox.send(answered)
            # The next transaction is built only when it can be sent, so that it holds everything collected until then.
            await self.client.leader_writes.wait_until_available(self._min_ready_writes)
            await self.inbox.send(WriterReady())

    async def _write(self, txn: Transaction) -> TransactionAnswered:
        """Retry a transaction until it is answered or permanently rejected."""
        revisions: dict[str, int] = {}
        outcome: Outcome | None = None
        while True:
            await self.client.leader_calls.take()
            await self.client.leader_writes.take(txn.ops)
            try:
                outcome = await self.client.commit(txn.guards, txn.puts, txn.deletes, self.report_s)
                for key in outcome.failed or []:
                    if key != EPOCH:
                        await self.client.leader_calls.take()
                        revisions[key] = await self.client.revision_of(key, self.report_s)
                break
            except WriteRefusedError as error:
                log.error("epoch %d: the state service rejected a transaction permanently: %s", self.epoch, error)
                await trio.sleep(RETRY_REPORT_INTERVALS * self.report_s)
                break
            except StateServiceError as error:
                log.debug("epoch %d: transaction failed, retrying: %s", self.epoch, error)
                await trio.sleep(RETRY_REPORT_INTERVALS * self.report_s)
        return TransactionAnswered(txn, outcome, revisions)
