"""What to rent and what to return; a pure decision over the foreman's tables.

Demand is the tasks that no room of a live or booting machine is left for. It is filled with the cheapest kind
that the job allows and the cloud did not just refuse, spot first where allowed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ladderfield.foreman.desk import Desk
from ladderfield.jobs.model import JobSpec, MachineType, fits
from ladderfield.queues.work import Job
from ladderfield.workers.machine import SLACK, Machine

REFUSED = 4.0  # of report_s: how long a refusal stands before the same is asked again
LINGER = 0.5  # of a type's boot time: how long a machine may idle before it is returned
LINGER_LEAST = 2.0  # of report_s

Offer = tuple[str, str, bool]  # type, zone, spot


@dataclass(frozen=True)
class Rental:
    """Machines to ask for."""

    offer: Offer
    count: int


class _Room:
    """Room on a machine, real or planned, as the plan fills it."""

    __slots__ = ("cpus", "gpus", "kind", "memory_gb", "offer", "spot", "zone")

    def __init__(self, kind: MachineType, zone: str, spot: bool, machine: Machine | None = None) -> None:
        self.kind, self.zone, self.spot = kind, zone, spot
        source = machine or kind
        self.cpus, self.gpus, self.memory_gb = source.cpus, source.gpus, source.memory_gb

    def allows(self, spec: JobSpec) -> bool:
        return (spec.spot or not self.spot) and spec.zone in (None, self.zone) and fits(spec, self.kind)

    def place(self, spec: JobSpec, count: int) -> int:
        """Fill with up to so many tasks; how many fit."""
        placed = min(count, slots(spec, self.cpus, self.gpus, self.memory_gb))
        self.cpus -= placed * spec.cpus
        self.gpus -= placed * spec.gpus
        self.memory_gb -= placed * spec.memory_gb
        return placed


def slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks fit into so much room."""
    most = spec.tasks
    for need, room in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if need > 0:
            most = min(most, int((room + SLACK) / need))
    return max(0, most)


class Planner:
    """Remembers refusals between plans."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.refused: dict[Offer, float] = {}

    def refuse(self, offer: Offer, now: float) -> None:
        """The cloud had none of these."""
        self.refused[offer] = now + REFUSED * self.desk.report_s

    def rentals(self, now: float) -> list[Rental]:
        """What to ask for now, given what is up and under way."""
        desk = self.desk
        rooms = [
            _Room(machine.kind, machine.zone, machine.spot, machine)
            for machine in desk.machines.values()
            if not (machine.deleting or machine.sick) and machine.recall_at is None
        ]
        planned: dict[Offer, int] = {}
        jobs = [job for job in desk.jobs.values() if job.final is None and job.waiting > 0]
        jobs.sort(key=lambda job: (job.order, job.at))
        for job in jobs:
            need = min(job.waiting, desk.teams.room(job.spec))
            need = self._place(job, rooms, need)
            need = self._worth(job, need, now)
            while need > 0:
                offer = self._best(job, need, now)
                if offer is None:
                    break
                room = _Room(desk.types[offer[0]], offer[1], offer[2])
                placed = room.place(job.spec, need)
                if placed <= 0:
                    break
                need -= placed
                rooms.append(room)
                planned[offer] = planned.get(offer, 0) + 1
        return [Rental(offer, count) for offer, count in planned.items()]

    def _place(self, job: Job, rooms: list[_Room], need: int) -> int:
        for room in rooms:
            if need <= 0:
                break
            if room.cpus > 0 and room.allows(job.spec):
                need -= room.place(job.spec, need)
        return need

    def _worth(self, job: Job, need: int, now: float) -> int:
        """How many more slots an array wants: few enough that each is used again before the job is due."""
        if job.spec.service or need <= 0:
            return need
        run = max(job.run_s(), 1.0)
        left = (job.spec.deadline_s or 0.0) + job.at - now
        turns = max(1.0, left / (2 * run)) if job.spec.deadline_s else 1.0
        return math.ceil(need / turns)

    def _best(self, job: Job, need: int, now: float) -> Offer | None:
        best: tuple[float, Offer] | None = None
        for kind in self.desk.types.values():
            if not fits(job.spec, kind):
                continue
            full = slots(job.spec, kind.cpus, kind.gpus, kind.memory_gb)
            for zone in kind.zones:
                if job.spec.zone not in (None, zone):
                    continue
                for spot in (True, False) if job.spec.spot else (False,):
                    offer = (kind.name, zone, spot)
                    if self.refused.get(offer, -math.inf) > now:
                        continue
                    cost = (kind.spot_price if spot else kind.price) / max(1, min(full, need))
                    if best is None or (cost, offer) < best:
                        best = (cost, offer)
        return best[1] if best else None

    def returns(self, now: float) -> list[Machine]:
        """Machines that have been idle for long enough."""
        result = []
        for machine in self.desk.machines.values():
            if machine.deleting or machine.claims or machine.heard_at is None or machine.idle_since is None:
                continue
            linger = max(LINGER * machine.kind.boot_s, LINGER_LEAST * self.desk.report_s)
            idle_from = max(machine.idle_since, machine.born_at)
            if now - idle_from > linger:
                result.append(machine)
        return result
