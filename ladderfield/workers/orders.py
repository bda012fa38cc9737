"""The wire format of orders to workers, sent in the answer to a report or pushed to ``/orders``."""

from __future__ import annotations

import logging
from typing import Literal

import msgspec

from ladderfield.queues.work import TaskId, task_name

log = logging.getLogger(__name__)


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order to launch, stop or reap one attempt."""

    verb: Literal["launch", "stop", "reap"]
    task: str = msgspec.field(name="rung")
    attempt: int = msgspec.field(name="try")
    wind_down_s: float | None = msgspec.field(name="windDownS", default=None)

    @classmethod
    def launch(cls, task: TaskId, attempt: int) -> Order:
        """Start an attempt."""
        return cls("launch", task_name(task), attempt)

    @classmethod
    def stop(cls, task: TaskId, attempt: int, wind_down_s: float) -> Order:
        """Stop an attempt; it has ``wind_down_s`` to save its work."""
        return cls("stop", task_name(task), attempt, wind_down_s)

    @classmethod
    def reap(cls, task: TaskId, attempt: int) -> Order:
        """Drop an exited attempt from the worker's reports; its end is recorded."""
        return cls("reap", task_name(task), attempt)


class ReportAnswer(msgspec.Struct, frozen=True):
    """The leader's answer to a report."""

    token: int = msgspec.field(name="epoch")
    orders: list[Order]


class OrdersRequest(msgspec.Struct, frozen=True):
    """The body of a push; ``session`` is the worker's session that its orders are for."""

    token: int = msgspec.field(name="epoch")
    session: int = msgspec.field(name="tenure")
    orders: list[Order]


def log_orders(host: str, way: str, token: int, session: int, orders: list[Order]) -> None:
    """Log each order sent to a machine, in which way, and for which token and session."""
    if log.isEnabledFor(logging.DEBUG):
        for order in orders:
            log.debug(
                "machine %s: %s %s attempt %d by %s, token %d, session %d",
                host, order.verb, order.task, order.attempt, way, token, session,
            )  # fmt: skip
