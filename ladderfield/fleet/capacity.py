"""Room for tasks, on the machines there are and on those to be rented, as a plan fills it."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ladderfield.fleet.cloud import RENT_MOST
from ladderfield.jobs.model import JobSpec, MachineType, fits
from ladderfield.queues.pick import half_up
from ladderfield.queues.work import Shape
from ladderfield.workers.machine import SLACK, Machine

HIRES = 2  # of the most machines a hire may ask for: of one offer in one plan
NOTHING = [0.0, 0.0, 0.0]
UNBOUNDED = 2**63  # tasks


class Offer(NamedTuple):
    """What the cloud may have machines of."""

    type_name: str
    zone: str
    spot: bool


@dataclass(frozen=True)
class Rental:
    """Machines to ask for."""

    offer: Offer
    count: int


class Room:
    """A machine, real or planned, as the plan fills it."""

    __slots__ = (
        "cpus",
        "for_arrays",
        "gpus",
        "host",
        "idle",
        "images",
        "kind",
        "lower",
        "memory_gb",
        "needed",
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
        self.lower = [0.0, 0.0, 0.0]  # what tasks hold that would give way to a service
        if machine is None:
            assert kind is not None
            self.kind, self.zone, self.spot = kind, zone, spot
        else:
            self.host, self.kind, self.zone, self.spot = machine.host, machine.kind, machine.zone, machine.spot
            self.images = machine.cached
            self.lower = list(machine.preemptible)
        self.for_arrays = self.cpus + self.lower[0]
        self.idle = machine is not None and not machine.claims

    def allows(self, spec: JobSpec) -> bool:
        """Whether the job may use this machine."""
        return (spec.spot or not self.spot) and spec.zone in (None, self.zone) and fits(spec, self.kind)

    def takes(self, spec: JobSpec, lower: list[float]) -> bool:
        """Whether one more task fits, if what ``lower`` counts makes way."""
        return (
            spec.cpus <= self.cpus + lower[0] + SLACK
            and spec.memory_gb <= self.memory_gb + lower[2] + SLACK
            and spec.gpus <= self.gpus + lower[1] + SLACK
        )

    def place(self, spec: JobSpec, count: int, free_only: bool = False) -> int:
        """Fill with up to so many tasks; how many fit. Services may push lower ranks out."""
        lower = NOTHING if free_only else self.lower
        room = (self.cpus + lower[0], self.gpus + lower[1], self.memory_gb + lower[2])
        placed = min(count, slots(spec, *room))
        self.cpus -= placed * spec.cpus
        self.gpus -= placed * spec.gpus
        self.memory_gb -= placed * spec.memory_gb
        if placed:
            self.needed = True
            if not free_only:
                self.for_arrays -= placed * spec.cpus
        return placed


class Places:
    """Zones that the job's other tasks leave to its next ones: those that run, and those that a plan has placed.

    Guards against machines that are rented, or kept, where none of the job's waiting tasks may go.
    """

    def __init__(self, spec: JobSpec, zones: Mapping[str, int] | None) -> None:
        self.spec, self.bound = spec, zones is not None  # else the tasks are of several jobs
        self.zones = {zone: count for zone, count in (zones or {}).items() if count}

    def left(self, zone: str) -> int:
        """How many more tasks may go there."""
        if not self.bound:
            return UNBOUNDED
        if self.spec.one_zone and self.zones.keys() - {zone}:
            return 0
        return half_up(self.spec.tasks) - self.zones.get(zone, 0) if self.spec.spread else self.spec.tasks

    def place(self, room: Room, count: int, free_only: bool = False) -> int:
        """Fill a room with up to so many tasks; how many it takes."""
        placed = room.place(self.spec, max(0, min(count, self.left(room.zone))), free_only)
        if placed:
            self.zones[room.zone] = self.zones.get(room.zone, 0) + placed
        return placed


def slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float, most: int | None = None) -> int:
    """How many tasks fit into so much room; of one job, unless ``most`` says otherwise."""
    most = spec.tasks if most is None else most
    for need, room in ((spec.cpus, cpus), (spec.gpus, gpus), (spec.memory_gb, memory_gb)):
        if need > 0:
            most = min(most, int((room + SLACK) / need))
    return max(0, most)


class Plan:
    """All rooms, sorted by shape of task once a plan, so that a job looks only at those that may still take it."""

    def __init__(self, rooms: Iterable[Room]) -> None:
        self.rooms = list(rooms)
        self.planned: dict[Offer, int] = {}
        self._services: dict[Shape, list[Room]] = {}
        self._arrays: dict[Shape, list[Room]] = {}
        self._array_cpus: dict[Shape, float] = {}
        self._specs: dict[Shape, JobSpec] = {}

    def for_service(self, spec: JobSpec, shape: Shape) -> Iterator[Room]:
        """Rooms that may take a replica: first those with its image, then the busy and small ones."""
        rooms = self._services.get(shape)
        if rooms is None:
            self._specs[shape] = spec
            rooms = [room for room in self.rooms if room.allows(spec)]
            rooms.sort(key=lambda room: (room.idle, room.cpus))
        rooms = self._services[shape] = [room for room in rooms if room.takes(spec, room.lower)]
        yield from [room for room in rooms if spec.image in room.images]
        yield from rooms

    def for_array(self, spec: JobSpec, shape: Shape) -> list[Room]:
        """Rooms with free room for a task."""
        rooms = self._arrays.get(shape)
        if rooms is None:
            self._specs[shape] = spec
            rooms = [room for room in self.rooms if room.allows(spec)]
        rooms = self._arrays[shape] = [room for room in rooms if room.takes(spec, NOTHING)]
        return rooms

    def cpus_for_arrays(self, spec: JobSpec, shape: Shape) -> float:
        """What all machines that the job allows have for array work.

        Asked for while arrays are planned, when the services have their room already and only new machines add to it.
        """
        if shape not in self._array_cpus:
            self._array_cpus[shape] = sum(room.for_arrays for room in self.rooms if room.allows(spec))
        return self._array_cpus[shape]

    def may_add(self, offer: Offer) -> bool:
        """Whether the plan goes on with these. What one round of hires can't bring is for the next plan to weigh."""
        return self.planned.get(offer, 0) < RENT_MOST * HIRES

    def add(self, offer: Offer, kind: MachineType) -> Room:
        """One more machine to rent."""
        room = Room(None, kind, offer.zone, offer.spot)
        self.rooms.append(room)
        self.planned[offer] = self.planned.get(offer, 0) + 1
        for shape, spec in self._specs.items():
            if room.allows(spec):
                for table in (self._services, self._arrays):
                    if shape in table:
                        table[shape].append(room)
                if shape in self._array_cpus:
                    self._array_cpus[shape] += room.for_arrays
        return room
