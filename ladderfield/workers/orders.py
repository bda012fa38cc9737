"""What workers are told, as it goes over the wire: in the answer to a report, or pushed over ``/orders``."""

from __future__ import annotations

from typing import Literal

import msgspec

from ladderfield.queues.work import TaskId, task_name


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing to do with one attempt."""

    verb: Literal["launch", "stop", "reap"]
    task: str = msgspec.field(name="rung")
    attempt: int = msgspec.field(name="try")
    wind_down_s: float | None = msgspec.field(name="windDownS", default=None)

    @classmethod
    def launch(cls, task: TaskId, attempt: int) -> Order:
        """Begin an attempt."""
        return cls("launch", task_name(task), attempt)

    @classmethod
    def stop(cls, task: TaskId, attempt: int, wind_down_s: float) -> Order:
        """End an attempt, which has so long to save its work."""
        return cls("stop", task_name(task), attempt, wind_down_s)

    @classmethod
    def reap(cls, task: TaskId, attempt: int) -> Order:
        """Forget an attempt that has exited, as its end is on record."""
        return cls("reap", task_name(task), attempt)


class ReportAnswer(msgspec.Struct, frozen=True):
    """The leader's answer to a report."""

    epoch: int
    orders: list[Order]


class OrdersRequest(msgspec.Struct, frozen=True):
    """The body of a push; ``tenure`` is the session for which its orders were made."""

    epoch: int
    tenure: int
    orders: list[Order]
