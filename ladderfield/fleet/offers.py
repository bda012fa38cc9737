"""Finds the cheapest offer for a task among any number of machine types, for the time of one plan.

Many jobs of a plan ask for the same, and the answer depends only on what a task needs, how many tasks are to be placed
and which zones are allowed. So each question is answered once, and only for machine types that the task fits.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ladderfield.fleet.capacity import UNLIMITED_TASKS, Offer, slots
from ladderfield.jobs.model import JobSpec, MachineType, fits


class Requirement(NamedTuple):
    """What a task needs of a machine type."""

    cpus: float
    gpus: float
    memory_gb: float
    zone: str | None
    types: tuple[str, ...] | None

    @classmethod
    def of(cls, spec: JobSpec) -> Requirement:
        """The requirement of a job's tasks."""
        types = None if spec.types is None else tuple(spec.types)
        return cls(spec.cpus, spec.gpus, spec.memory_gb, spec.zone, types)


class FittingType(NamedTuple):
    """A machine type, and how many tasks of a requirement an empty machine of it holds."""

    machine_type: MachineType
    slots: int


class Question(NamedTuple):
    """What the cheapest offer depends on."""

    requirement: Requirement
    tasks: int  # to be placed, at most as many as any machine holds
    zones: tuple[str, ...]
    spot_choices: tuple[bool, ...]
    weigh_boot_time: bool


class OfferSelector:
    """The offers of the cloud while a plan is made."""

    def __init__(self, machine_types: Iterable[MachineType], refused: Collection[Offer]) -> None:
        self._types = list(machine_types)
        self._refused = refused
        self.zones = sorted({zone for machine_type in self._types for zone in machine_type.zones})
        self._fitting: dict[Requirement, list[FittingType]] = {}
        self._answers: dict[Question, Offer | None] = {}

    def cheapest(
        self, spec: JobSpec, tasks: int, zones: Collection[str], spot_choices: tuple[bool, ...], weigh_boot_time: bool
    ) -> Offer | None:
        """The offer in these zones with the lowest price per task that is to be placed; None if there is none.

        With ``weigh_boot_time`` the price is multiplied by the boot time.
        """
        requirement = Requirement.of(spec)
        fitting = self._fitting.get(requirement)
        if fitting is None:
            fitting = self._fitting[requirement] = [
                FittingType(
                    machine_type,
                    slots(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb, UNLIMITED_TASKS),
                )
                for machine_type in self._types
                if fits(spec, machine_type)
            ]
        tasks = min(tasks, spec.tasks, max((entry.slots for entry in fitting), default=0))
        choices = tuple(spot for spot in spot_choices if spec.spot or not spot)
        question = Question(requirement, tasks, tuple(zones), choices, weigh_boot_time)
        if question not in self._answers:
            self._answers[question] = self._answer(question, fitting)
        return self._answers[question]

    def _answer(self, question: Question, fitting: Iterable[FittingType]) -> Offer | None:
        best: tuple[float, Offer] | None = None
        for machine_type, slots_per_machine in fitting:
            tasks_per_machine = max(1, min(slots_per_machine, question.tasks))
            factor = machine_type.boot_s if question.weigh_boot_time else 1.0
            for zone in machine_type.zones:
                if zone not in question.zones:
                    continue
                for spot in question.spot_choices:
                    offer = Offer(machine_type.name, zone, spot)
                    if offer in self._refused:
                        continue
                    price = machine_type.spot_price if spot else machine_type.price
                    cost = price / tasks_per_machine * factor
                    if best is None or (cost, offer) < best:
                        best = (cost, offer)
        return best[1] if best else None
