"""What became of the work of lost zones: a line for each return, and histograms of how long it took."""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ladderfield.jobs.model import RANKS
from ladderfield.queues.work import Claim, TaskId, task_name
from ladderfield.workers.machine import Machine

if TYPE_CHECKING:
    from ddsketch import DDSketch

log = logging.getLogger(__name__)

ACCURACY = 0.02  # of a quantile, relatively
NAMES = {rank: name for name, rank in RANKS.items()}


@dataclass(frozen=True)
class Displaced:
    """A task whose claim ended because its zone was lost."""

    zone: str
    at: float


class ReturnLog:
    """Follows displaced tasks until they run again."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._displaced: OrderedDict[TaskId, Displaced] = OrderedDict()
        self._healthy_at: dict[str, float] = {}  # of zones that return
        self.elsewhere: dict[int, DDSketch] = {}  # by rank: seconds from the end of a claim to running in another zone
        self.returned: dict[int, DDSketch] = {}  # by rank: seconds from a zone's return to running there

    def displaced(self, claim: Claim, zone: str, now: float) -> None:
        """A claim ended with the zone."""
        self._displaced[claim.task] = Displaced(zone, now)
        if len(self._displaced) > self._most:
            self._displaced.popitem(last=False)

    def forget(self, claim: Claim) -> None:
        """The task is done, or its job is over."""
        self._displaced.pop(claim.task, None)

    def returns(self, zone: str, now: float) -> None:
        """The zone's machines report again."""
        self._healthy_at[zone] = now

    def lost(self, zone: str) -> None:
        """It is lost again, or its return is complete."""
        self._healthy_at.pop(zone, None)

    def runs(self, claim: Claim, machine: Machine, wave: str, now: float) -> None:
        """A task runs; noted if it was displaced, or if its zone returns."""
        displaced = self._displaced.pop(claim.task, None)
        rank, zone = claim.job.order[0], machine.zone
        if zone in self._healthy_at:
            waited = now - self._healthy_at[zone]
            _add(self.returned, rank, waited)
            source = displaced.zone if displaced is not None else "the queue"
            log.info(
                "zone %s: wave %s: job %s: task %s runs on %s, from %s, %.1f s after the zone came back",
                zone, wave, claim.job.uid, task_name(claim.task), machine.host, source, waited,
            )  # fmt: skip
        elif displaced is not None:
            waited = now - displaced.at
            _add(self.elsewhere, rank, waited)
            log.info(
                "zone %s: lost: job %s: task %s runs on %s in %s, waited %.1f s",
                displaced.zone, claim.job.uid, task_name(claim.task), machine.host, zone, waited,
            )  # fmt: skip

    def summary(self) -> list[str]:
        """A line for each histogram."""
        lines = []
        for what, sketches in (("moved elsewhere", self.elsewhere), ("returned", self.returned)):
            for rank, sketch in sorted(sketches.items()):
                middle, most, worst = (sketch.get_quantile_value(share) for share in (0.5, 0.95, 1.0))
                lines.append(
                    f"{what}: {NAMES[rank]}: {sketch.count:.0f} tasks, seconds to running: "
                    f"half {middle:.1f}, 95% {most:.1f}, longest {worst:.1f}"
                )
        return lines


def _add(sketches: dict[int, DDSketch], rank: int, seconds: float) -> None:
    if rank not in sketches:
        from ddsketch import DDSketch  # a start should not pay for it

        sketches[rank] = DDSketch(ACCURACY)
    sketches[rank].add(max(0.0, seconds))
