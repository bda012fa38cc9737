"""The messages in the leader's inbox, one type per kind of event."""

from __future__ import annotations

import math

import msgspec
import trio

from ladderfield.changes import Change
from ladderfield.fleet.capacity import Offer
from ladderfield.fleet.cloud import ListedMachine
from ladderfield.leader.ledger import Transaction
from ladderfield.state import Outcome
from ladderfield.workers.orders import ReportAnswer
from ladderfield.workers.report import Report


class PendingAnswer:
    """The pending answer to a request queued for the leader; None means that it was refused."""

    __slots__ = ("_event", "value")

    def __init__(self) -> None:
        self._event = trio.Event()
        self.value: ReportAnswer | None = None

    def set(self, value: ReportAnswer | None) -> None:
        """Answer the request, or refuse it with None."""
        self.value = value
        self._event.set()

    def is_set(self) -> bool:
        """Whether the request was answered or refused."""
        return self._event.is_set()

    async def wait(self) -> ReportAnswer | None:
        """Wait for the answer."""
        await self._event.wait()
        return self.value


class ReportReceived(msgspec.Struct, frozen=True, eq=False):
    """A worker's report that waits for its answer."""

    report: Report
    relayed: bool
    answer: PendingAnswer = msgspec.field(default_factory=PendingAnswer)


class KeysChanged(msgspec.Struct, frozen=True, eq=False):
    """Keys have changed in the state service."""

    changes: list[Change]


class TransactionAnswered(msgspec.Struct, frozen=True, eq=False):
    """The leader's transaction was answered.

    ``revisions`` holds the current revisions of the keys whose guards failed. ``outcome`` is None if the state service
    rejected the transaction permanently.
    """

    txn: Transaction
    outcome: Outcome | None
    revisions: dict[str, int]


class WriterReady(msgspec.Struct, frozen=True, eq=False):
    """The writer can take the next transaction."""


class OrdersAnswered(msgspec.Struct, frozen=True, eq=False):
    """A push of orders to a machine ended; ``report`` is None if the machine did not answer."""

    host: str
    attempts: list[int]
    executed: bool
    report: Report | None


class MachinesListed(msgspec.Struct, frozen=True, eq=False):
    """The cloud's list of machines."""

    hosts: list[ListedMachine]


class RentalAnswered(msgspec.Struct, frozen=True, eq=False):
    """A rental has finished with these machines, possibly none."""

    name: str
    offer: Offer
    hosts: list[str]
    refused: bool


class DeletionAnswered(msgspec.Struct, frozen=True, eq=False):
    """A deletion has finished; ``confirmed`` says whether the cloud confirmed it."""

    hosts: list[str]
    confirmed: bool


class CancellationsLearned(msgspec.Struct, frozen=True, eq=False):
    """Cancellations reported by other controllers; all that were confirmed before ``known_at`` are known now."""

    uids: list[str]
    known_at: float = -math.inf


class NoOtherLeader(msgspec.Struct, frozen=True, eq=False):
    """Every other controller has stated, since this term began, that it is not the leader."""


class ControllersChecked(msgspec.Struct, frozen=True, eq=False):
    """For each zone, whether any of its controllers answered the last check."""

    reachable: dict[str, bool]


class TimerFired(msgspec.Struct, frozen=True, eq=False):
    """The periodic timer of the leader loop has fired."""


Message = (
    ReportReceived
    | KeysChanged
    | TransactionAnswered
    | WriterReady
    | OrdersAnswered
    | MachinesListed
    | RentalAnswered
    | DeletionAnswered
    | CancellationsLearned
    | NoOtherLeader
    | ControllersChecked
    | TimerFired
)
