"""A worker's report as it comes over the wire."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ladderfield.queues.work import TaskId

# The protocol: how long a worker waits for an answer, and until it goes to the next controller.
ANSWER_S, NEXT_S = 4.0, 1.0
EPOCH_MOST = 2**32  # an attempt is made of the epoch and a counter, and fits 64 bits
Token = Annotated[int, msgspec.Meta(ge=0)]


class Rung(msgspec.Struct, frozen=True):
    """One attempt on the machine."""

    name: str = msgspec.field(name="rung")
    attempt: Token = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    stored: bool | None = None

    def task(self) -> TaskId:
        """The task's id; ValueError if the name is none."""
        uid, _, index = self.name.rpartition("/")
        return uid, int(index)


class Report(msgspec.Struct, frozen=True):
    """What a machine says of itself."""

    host: str
    endpoint: str
    type: str = msgspec.field(name="flavour")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    tenure: Token
    tick: Token
    epoch: Token
    recall_s: float | None = msgspec.field(name="recallS", default=None)
    rungs: list[Rung] = []


decoder = msgspec.json.Decoder(Report)


def parse_report(body: bytes) -> Report:
    """The report; ValueError with the reason if it can't be trusted to be one."""
    try:
        report = decoder.decode(body)
        for rung in report.rungs:
            rung.task()
        if max(report.tenure, report.tick) >= 2**64 or report.epoch >= EPOCH_MOST:
            raise ValueError("a count is too large")
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
    return report
