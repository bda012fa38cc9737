"""The wire format of a worker's report."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ladderfield.queues.work import TaskId

# Set by the protocol: how long a worker waits for an answer, and for how long before it tries the next controller.
ANSWER_TIMEOUT_S, NEXT_CONTROLLER_DELAY_S = 4.0, 1.0
EPOCH_LIMIT = 2**32  # an attempt number holds the epoch and a counter, in 64 bits
Count = Annotated[int, msgspec.Meta(ge=0)]


class TaskReport(msgspec.Struct, frozen=True):
    """The state of one attempt on the machine."""

    name: str = msgspec.field(name="rung")
    attempt: Count = msgspec.field(name="try")
    phase: str
    cause: str | None = None
    stored: bool | None = None

    def task(self) -> TaskId:
        """The task's id; raises ValueError if the name is malformed."""
        uid, _, index = self.name.rpartition("/")
        return uid, int(index)


class Report(msgspec.Struct, frozen=True):
    """A machine's description of itself and of the attempts on it."""

    host: str
    endpoint: str
    type: str = msgspec.field(name="flavour")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    session: Count = msgspec.field(name="tenure")
    sequence: Count = msgspec.field(name="tick")
    epoch: Count
    interruption_s: float | None = msgspec.field(name="recallS", default=None)
    task_reports: list[TaskReport] = msgspec.field(name="rungs", default_factory=list)


decoder = msgspec.json.Decoder(Report)


def parse_report(body: bytes) -> Report:
    """Decode and check a report; raises ValueError with the reason if it is malformed."""
    try:
        report = decoder.decode(body)
        for task_report in report.task_reports:
            task_report.task()
        if max(report.session, report.sequence) >= 2**64 or report.epoch >= EPOCH_LIMIT:
            raise ValueError("a count is too large")
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None
    return report
