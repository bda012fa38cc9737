"""The leader's writer: carries its transactions out, one at a time, each repeated until it is answered."""

from __future__ import annotations

import logging

import trio

from ladderfield.leader.ledger import Transaction
from ladderfield.leader.messages import Message, TransactionAnswered, WriterReady
from ladderfield.leadership import EPOCH
from ladderfield.settings import Settings
from ladderfield.state import Outcome, StateClient, StateServiceError, WriteRefusedError

log = logging.getLogger(__name__)

LEAST_SHARE = 0.25  # of a transaction's limit: what it may hold at least before the next one is begun, and not less
LEAST_WRITES = 2  # than the end of a job and a page of claims
RETRY = 1 / 10  # of report_s: the pause before a transaction is repeated


class Writer:
    """Writes for one leader and tells it of each outcome."""

    def __init__(
        self, settings: Settings, epoch: int, client: StateClient, inbox: trio.MemorySendChannel[Message]
    ) -> None:
        self.epoch, self.client, self.inbox = epoch, client, inbox
        self.report_s = settings.cluster.workers.report_s
        self.unanswered = False  # a transaction is under way, and what became of it is not known
        self.busy = False  # from a transaction's submission until the next one may be put together
        self._begin_with = max(LEAST_WRITES, LEAST_SHARE * settings.cluster.state.txn_ops)
        self._submitted, self._transactions = trio.open_memory_channel[Transaction](1)

    def submit(self, txn: Transaction) -> None:
        """Take a transaction; only while the writer is not busy."""
        self.busy = self.unanswered = True
        self._submitted.send_nowait(txn)

    async def run(self) -> None:
        """Write for ever."""
        async for txn in self._transactions:
            answered = await self._write(txn)
            self.unanswered = False
            await self.inbox.send(answered)
            # The next one is put together only when it can go out, so that it holds all that has gathered.
            await self.client.leader_writes.ready(self._begin_with)
            await self.inbox.send(WriterReady())

    async def _write(self, txn: Transaction) -> TransactionAnswered:
        """Repeat a transaction until it is answered or refused for good."""
        stamps: dict[str, int] = {}
        outcome: Outcome | None = None
        while True:
            await self.client.leader_calls.take()
            await self.client.leader_writes.take(txn.ops)
            try:
                outcome = await self.client.commit(txn.guards, txn.puts, txn.deletes, self.report_s)
                for key in outcome.failed or []:
                    if key != EPOCH:
                        stamps[key] = await self.client.stamp(key, self.report_s)
                break
            except WriteRefusedError as error:
                log.error("epoch %d: a write is refused for good: %s", self.epoch, error)
                await trio.sleep(RETRY * self.report_s)
                break
            except StateServiceError as error:
                log.debug("epoch %d: a write waits: %s", self.epoch, error)
                await trio.sleep(RETRY * self.report_s)
        return TransactionAnswered(txn, outcome, stamps)
