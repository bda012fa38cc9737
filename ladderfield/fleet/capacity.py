"""Free capacity of the rented machines and of those that a plan would rent, as the plan places tasks on it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ladderfield.fleet.cloud import MAX_RENTED_PER_CALL
from ladderfield.jobs.model import JobSpec, MachineType, fits
from ladderfield.queues.pick import max_tasks_per_zone
from ladderfield.queues.work import Shape
from ladderfield.workers.machine import TOLERANCE, Machine

MAX_RENT_CALLS_PER_OFFER = 2  # full rent calls for one offer in one plan
NO_RESOURCES = [0.0, 0.0, 0.0]
UNLIMITED_TASKS = 2**63  # tasks


class Offer(NamedTuple):
    """A machine type, zone and kind (spot or on-demand) that the cloud may have machines of."""

    type_name: str
    zone: str
    spot: bool


@dataclass(frozen=True)
class Rental:
    """A number of machines to rent of one offer."""

    offer: Offer
    count: int


class MachineCapacity:
    """The free capacity of a rented or planned machine while a plan places tasks on it."""

    __slots__ = (
        "array_cpus",
        "cpus",
        "gpus",
        "host",
        "idle",
        "images",
        "kind",
        "memory_gb",
        "needed",
        "preemptible",
        "spot",
        "zone",
    )

    def __init__(
        self, machine: Machine | None, kind: MachineType | None = None, zone: str = "", spot: bool = False
    ) -> None:
        source = machine or kind
        assert source is not None
        self.cpus, self.gpus, self.memory_gb = source.cpus, source.gpus, source.memory_gb
        self.host, self.needed = None, False
        self.images: Collection[str] = ()
        self.preemptible = [0.0, 0.0, 0.0]  # cpus, gpus, memory that a service could take by preemption
        if machine is None:
            assert kind is not None
            self.kind, self.zone, self.spot = kind, zone, spot
        else:
            self.host, self.kind, self.zone, self.spot = machine.host, machine.kind, machine.zone, machine.spot
            self.images = machine.cached
            self.preemptible = list(machine.preemptible)
        self.array_cpus = self.cpus + self.preemptible[0]
        self.idle = machine is not None and not machine.claims

    def allows(self, spec: JobSpec) -> bool:
        """Whether the job may use this machine, by kind, zone and type."""
        return (spec.spot or not self.spot) and spec.zone in (None, self.zone) and fits(spec, self.kind)

    def has_room(self, spec: JobSpec, preemptible: list[float]) -> bool:
        """Whether one more task fits if the ``preemptible`` resources are freed."""
        return (
            spec.cpus <= self.cpus + preemptible[0] + TOLERANCE
            and spec.memory_gb <= self.memory_gb + preemptible[2] + TOLERANCE
            and spec.gpus <= self.gpus + preemptible[1] + TOLERANCE
        )

    def place(self, spec: JobSpec, count: int, free_only: bool = False) -> int:
        """Place up to ``count`` tasks, also on preemptible resources unless ``free_only``; returns how many fit."""
        preemptible = NO_RESOURCES if free_only else self.preemptible
        available = (self.cpus + preemptible[0], self.gpus + preemptible[1], self.memory_gb + preemptible[2])
        placed = min(count, slots(spec, *available))
        self.cpus -= placed * spec.cpus
        self.gpus -= placed * spec.gpus
        self.memory_gb -= placed * spec.memory_gb
        if placed:
            self.needed = True
            if not free_only:
                self.array_cpus -= placed * spec.cpus
        return placed


class ZoneAllowance:
    """How many more tasks of a job may go to each zone, given its running tasks and those that the plan has placed.

    Prevents machines from being rented or kept in zones where none of the job's waiting tasks may go.
    """

    def __init__(self, spec: JobSpec, zones: Mapping[str, int] | None) -> None:
        self.spec, self.single_job = spec, zones is not None  # if not, the tasks belong to several jobs
        self.zones = {zone: count for zone, count in (zones or {}).items() if count}

    def remaining(self, zone: str) -> int:
        """How many more tasks may go to the zone."""
        if not self.single_job:
            return UNLIMITED_TASKS
        if self.spec.one_zone and self.zones.keys() - {zone}:
            return 0
        return max_tasks_per_zone(self.spec.tasks) - self.zones.get(zone, 0) if self.spec.spread else self.spec.tasks

    def place(self, machine: MachineCapacity, count: int, free_only: bool = False) -> int:
        """Place up to ``count`` tasks on a machine, as far as its zone allows; returns how many were placed."""
        placed = machine.place(self.spec, max(0, min(count, self.remaining(machine.zone))), free_only)
        if placed:
            self.zones[machine.zone] = self.zones.get(machine.zone, 0) + placed
        return placed


def slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, max_tasks: int | None = None) -> int:
    """How many tasks fit into the resources, up to ``max_tasks`` (by default the size of the job)."""
    max_tasks = spec.tasks if max_tasks is None else max_tasks
    for need, available in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if need > 0:
            max_tasks = min(max_tasks, int((available + TOLERANCE) / need))
    return max(0, max_tasks)


class Plan:
    """All machines, indexed by task shape, so that a job looks only at those that may still have room for it."""

    def __init__(self, machines: Iterable[MachineCapacity]) -> None:
        self.machines = list(machines)
        self.planned: dict[Offer, int] = {}  # number of machines to rent
        self._services: dict[Shape, list[MachineCapacity]] = {}
        self._arrays: dict[Shape, list[MachineCapacity]] = {}
        self._array_cpus: dict[Shape, float] = {}
        self._specs: dict[Shape, JobSpec] = {}

    def for_service(self, spec: JobSpec, shape: Shape) -> Iterator[MachineCapacity]:
        """Machines that may have room for a replica: first those with its image, then busy and small ones."""
        machines = self._services.get(shape)
        if machines is None:
            self._specs[shape] = spec
            machines = [machine for machine in self.machines if machine.allows(spec)]
            machines.sort(key=lambda machine: (machine.idle, machine.cpus))
        machines = self._services[shape] = [
            machine for machine in machines if machine.has_room(spec, machine.preemptible)
        ]
        yield from [machine for machine in machines if spec.image in machine.images]
        yield from machines

    def for_array(self, spec: JobSpec, shape: Shape) -> list[MachineCapacity]:
        """Machines with free room for a task."""
        machines = self._arrays.get(shape)
        if machines is None:
            self._specs[shape] = spec
            machines = [machine for machine in self.machines if machine.allows(spec)]
        machines = self._arrays[shape] = [machine for machine in machines if machine.has_room(spec, NO_RESOURCES)]
        return machines

    def cpus_for_arrays(self, spec: JobSpec, shape: Shape) -> float:
        """Total cpus for array tasks on all machines that the job allows.

        Used while arrays are planned: services have been placed by then, and only new machines change the total.
        """
        if shape not in self._array_cpus:
            self._array_cpus[shape] = sum(machine.array_cpus for machine in self.machines if machine.allows(spec))
        return self._array_cpus[shape]

    def may_add(self, offer: Offer) -> bool:
        """Whether the plan may rent one more machine of the offer; the next plan decides about any beyond the limit."""
        return self.planned.get(offer, 0) < MAX_RENTED_PER_CALL * MAX_RENT_CALLS_PER_OFFER

    def add(self, offer: Offer, kind: MachineType) -> MachineCapacity:
        """Add a machine to rent."""
        machine = MachineCapacity(None, kind, offer.zone, offer.spot)
        self.machines.append(machine)
        self.planned[offer] = self.planned.get(offer, 0) + 1
        for shape, spec in self._specs.items():
            if machine.allows(spec):
                for table in (self._services, self._arrays):
                    if shape in table:
                        table[shape].append(machine)
                if shape in self._array_cpus:
                    self._array_cpus[shape] += machine.array_cpus
        return machine
