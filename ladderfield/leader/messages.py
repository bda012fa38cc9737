"""The messages in the leader's inbox, one type for each thing that may have happened."""

from __future__ import annotations

import math

import msgspec
import trio

from ladderfield.fleet.capacity import Offer
from ladderfield.fleet.cloud import Listed
from ladderfield.leader.ledger import Transaction
from ladderfield.state import Outcome
from ladderfield.view import Change
from ladderfield.workers.orders import ReportAnswer
from ladderfield.workers.report import Report


class PendingAnswer:
    """The answer to a request that waits for the leader; None is a refusal."""

    __slots__ = ("_event", "value")

    def __init__(self) -> None:
        self._event = trio.Event()
        self.value: ReportAnswer | None = None

    def set(self, value: ReportAnswer | None) -> None:
        """Answer or refuse the request."""
        self.value = value
        self._event.set()

    def is_set(self) -> bool:
        """Whether the request was answered or refused."""
        return self._event.is_set()

    async def wait(self) -> ReportAnswer | None:
        """The answer, once it is there."""
        await self._event.wait()
        return self.value


class ReportReceived(msgspec.Struct, frozen=True, eq=False):
    """A worker's report, which waits for its answer."""

    report: Report
    relayed: bool
    answer: PendingAnswer = msgspec.field(default_factory=PendingAnswer)


class KeysChanged(msgspec.Struct, frozen=True, eq=False):
    """Keys changed in the state service."""

    changes: list[Change]


class TransactionAnswered(msgspec.Struct, frozen=True, eq=False):
    """Our transaction was answered.

    ``stamps`` has what is on record where guards failed. No outcome: it was refused for good.
    """

    txn: Transaction
    outcome: Outcome | None
    stamps: dict[str, int]


class WriterReady(msgspec.Struct, frozen=True, eq=False):
    """The writer may take the next transaction."""


class OrdersAnswered(msgspec.Struct, frozen=True, eq=False):
    """Orders were pushed to a machine, which answered with its report or (None) not at all."""

    host: str
    attempts: list[int]
    executed: bool
    report: Report | None


class MachinesListed(msgspec.Struct, frozen=True, eq=False):
    """The cloud's list of machines."""

    hosts: list[Listed]


class RentalAnswered(msgspec.Struct, frozen=True, eq=False):
    """A rental's end: the machines, or none."""

    name: str
    offer: Offer
    hosts: list[str]
    refused: bool


class DeletionAnswered(msgspec.Struct, frozen=True, eq=False):
    """A deletion was confirmed by the cloud, or not."""

    hosts: list[str]
    confirmed: bool


class CancellationsLearned(msgspec.Struct, frozen=True, eq=False):
    """Cancellations that other controllers tell of; with these every one confirmed before ``known_at`` is known."""

    uids: list[str]
    known_at: float = -math.inf


class NoOtherLeader(msgspec.Struct, frozen=True, eq=False):
    """Every other controller has said, since our term began, that it is not leader."""


class ControllersChecked(msgspec.Struct, frozen=True, eq=False):
    """Whether any controller of each zone answered when all were last asked."""

    reachable: dict[str, bool]


class Tick(msgspec.Struct, frozen=True, eq=False):
    """Time passes."""


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
    | Tick
)
