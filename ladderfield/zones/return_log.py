"""Logs where tasks of lost zones run again, with histograms of the time that this took."""

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

RELATIVE_ACCURACY = 0.02  # of the quantiles
PRIORITY_NAMES = {rank: name for name, rank in RANKS.items()}


@dataclass(frozen=True)
class DisplacedTask:
    """A task whose claim ended because its zone was lost."""

    zone: str
    at: float


class ReturnLog:
    """Tracks displaced tasks until they run again."""

    def __init__(self, max_tasks: int) -> None:
        self._max_tasks = max_tasks
        self._displaced: OrderedDict[TaskId, DisplacedTask] = OrderedDict()
        self._returned_at: dict[str, float] = {}  # by zone to which work is returning
        self.moved: dict[int, DDSketch] = {}  # seconds from the end of the claim to running in another zone, by rank
        self.returned: dict[int, DDSketch] = {}  # seconds from the zone's return to running there, by rank

    def record_displaced(self, claim: Claim, zone: str, now: float) -> None:
        """Record a task whose claim ended because its zone was lost."""
        self._displaced[claim.task] = DisplacedTask(zone, now)
        if len(self._displaced) > self._max_tasks:
            self._displaced.popitem(last=False)

    def forget(self, claim: Claim) -> None:
        """Stop tracking a task that is done or whose job has ended."""
        self._displaced.pop(claim.task, None)

    def begin_return(self, zone: str, now: float) -> None:
        """Start timing for a zone whose machines report again."""
        self._returned_at[zone] = now

    def end_return(self, zone: str) -> None:
        """Stop timing for a zone that is lost again or whose return is complete."""
        self._returned_at.pop(zone, None)

    def record_running(self, claim: Claim, machine: Machine, wave: str, now: float) -> None:
        """Log and time a task that started to run, if it was displaced or work is returning to its zone."""
        displaced = self._displaced.pop(claim.task, None)
        rank, zone = claim.job.order[0], machine.zone
        if zone in self._returned_at:
            waited = now - self._returned_at[zone]
            _add_sample(self.returned, rank, waited)
            source = displaced.zone if displaced is not None else "the queue"
            log.info(
                "zone %s: wave %s: job %s: task %s running on %s, from %s, %.1f s after the zone's return",
                zone, wave, claim.job.uid, task_name(claim.task), machine.host, source, waited,
            )  # fmt: skip
        elif displaced is not None:
            waited = now - displaced.at
            _add_sample(self.moved, rank, waited)
            log.info(
                "zone %s: lost: job %s: task %s running on %s in %s after %.1f s",
                displaced.zone, claim.job.uid, task_name(claim.task), machine.host, zone, waited,
            )  # fmt: skip

    def summary_lines(self) -> list[str]:
        """One line of text for each histogram."""
        lines = []
        for title, sketches in (("moved to another zone", self.moved), ("returned", self.returned)):
            for rank, sketch in sorted(sketches.items()):
                p50, p95, longest = (sketch.get_quantile_value(share) for share in (0.5, 0.95, 1.0))
                lines.append(
                    f"{title}: {PRIORITY_NAMES[rank]}: {sketch.count:.0f} tasks, seconds until running: "
                    f"p50 {p50:.1f}, p95 {p95:.1f}, max {longest:.1f}"
                )
        return lines


def _add_sample(sketches: dict[int, DDSketch], rank: int, seconds: float) -> None:
    if rank not in sketches:
        from ddsketch import DDSketch  # imported on first use to keep startup fast

        sketches[rank] = DDSketch(RELATIVE_ACCURACY)
    sketches[rank].add(max(0.0, seconds))
