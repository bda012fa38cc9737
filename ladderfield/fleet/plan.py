"""What to rent and what to return; a pure decision over the leader's tables.

Services get room of their own, and some is kept for those that will come while a machine boots. Array work is
seen as a stream: machines are rented until what waits and runs flows off within a horizon, a short one for spot
machines, a long one (as long as the jobs may wait) for dear ones. The same horizons say what may be returned.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

from ladderfield.fleet.cloud import RENT_MOST
from ladderfield.jobs.model import JobSpec, MachineType, fits
from ladderfield.leader.desk import Desk
from ladderfield.queues.pick import half_up
from ladderfield.queues.work import Job, Shape
from ladderfield.workers.machine import SLACK, Machine

SLOW_FETCH = 3.0  # of report_s, as long as a machine that is lost goes unnoticed: an image is worth keeping then
REFUSED = 4.0  # of report_s: how long a refusal stands before the same is asked again; doubles each time
REFUSED_MOST = 20.0  # of report_s
LINGER = 0.7  # of the time to bring an equal machine back (boot, image): so long it may idle before it is returned
HORIZON = 0.6  # of a type's boot time: array work should flow off spot and present machines within this
LINGER_AMPLE = 0.15  # the same while there is ample room
AMPLE = 1.2  # of the cpus asked for lately
RECENT = 8.0  # of report_s: what counts as lately
LINGER_LEAST = 1.0  # of report_s
PATIENCE = 0.7  # of a job's slack: how long its tasks may wait before dear machines are rented for them
SPARE = 1.0  # standard deviations over the services expected while a machine is made ready: room kept for them

HIRES = 2  # of the most machines a hire may ask for: of one offer in one plan
NOTHING = [0.0, 0.0, 0.0]
MANY = 2**63
Offer = tuple[str, str, bool]  # type, zone, spot


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
            self.lower = list(machine.soft)
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
            return MANY
        if self.spec.one_zone and self.zones.keys() - {zone}:
            return 0
        return half_up(self.spec.tasks) - self.zones.get(zone, 0) if self.spec.spread else self.spec.tasks

    def place(self, room: Room, count: int, free_only: bool = False) -> int:
        """Fill a room with up to so many tasks; how many it takes."""
        placed = room.place(self.spec, max(0, min(count, self.left(room.zone))), free_only)
        if placed:
            self.zones[room.zone] = self.zones.get(room.zone, 0) + placed
        return placed


def slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks fit into so much room."""
    most = spec.tasks
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
        """What all machines that the job allows have for array work. Asked for while arrays are planned, when the
        services have their room already and only new machines add to it."""
        if shape not in self._array_cpus:
            self._array_cpus[shape] = sum(room.for_arrays for room in self.rooms if room.allows(spec))
        return self._array_cpus[shape]

    def may_add(self, offer: Offer) -> bool:
        """Whether the plan goes on with these. What one round of hires can't bring is for the next plan to weigh."""
        return self.planned.get(offer, 0) < RENT_MOST * HIRES

    def add(self, offer: Offer, kind: MachineType) -> Room:
        """One more machine to rent."""
        room = Room(None, kind, offer[1], offer[2])
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


class Planner:
    """Remembers refusals between plans."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.refused: dict[Offer, tuple[float, float]] = {}  # until when, and the pause that led there
        self._asked, self._asked_at = 0.0, -math.inf  # cpus asked for, smoothed
        self.keep: set[str] = set()  # machines that the last plan needs though they are idle

    def refuse(self, offer: Offer, now: float) -> None:
        """The cloud had none of these."""
        pause = self.refused.get(offer, (0.0, REFUSED / 2 * self.desk.report_s))[1] * 2
        pause = min(pause, REFUSED_MOST * self.desk.report_s)
        self.refused[offer] = (now + pause, pause)

    def freed(self, machine: Machine) -> None:
        """One of these is gone, so there may be one to be had again."""
        self.refused.pop((machine.kind.name, machine.zone, machine.spot), None)

    def rentals(self, now: float) -> list[Rental]:
        """What to ask for now, given what is up and under way."""
        desk = self.desk
        plan = Plan(
            Room(machine)
            for machine in desk.machines.values()
            if not (machine.deleting or machine.sick or machine.deaf_since is not None)
            and machine.recall_at is None
            and machine.kind.cpus
            and not (machine.mute and not desk.detector.mostly_mute)
            and not (machine.heard_at is not None and desk.detector.away(machine, now))
        )
        jobs = [job for job in desk.jobs.values() if job.final is None and job.waiting > 0]
        jobs.sort(key=lambda job: (job.order, desk.outlook.rating(job, now), job.since))
        self._services([job for job in jobs if job.spec.service], plan, now)
        self._arrays([job for job in jobs if not job.spec.service], plan, now)
        self.keep = {room.host for room in plan.rooms if room.host and room.needed}
        return [Rental(offer, count) for offer, count in plan.planned.items()]

    def _services(self, jobs: list[Job], plan: Plan, now: float) -> None:
        """Every waiting replica gets room, if need be in place of lower ranks; and so do those soon to come."""
        desk = self.desk
        for job in jobs:
            places = Places(job.spec, job.zones)
            self._give(places, job.shape, min(job.waiting, desk.teams.room(job.spec)), plan, now, soon=True)
        for stream, job in desk.outlook.latest.items():
            places = Places(job.spec, None)
            offer = self._best(places, 1, (True, False), now)
            if offer is not None:
                kind = desk.types[offer[0]]
                until = kind.boot_s + kind.fetch_s(job.spec.image_gb)
                coming = until * desk.outlook.rate(stream, now) * job.spec.tasks
                self._give(places, job.shape, math.ceil(coming + SPARE * math.sqrt(coming)), plan, now)

    def _give(self, places: Places, shape: Shape, need: int, plan: Plan, now: float, soon: bool = False) -> None:
        for room in plan.for_service(places.spec, shape):
            if need <= 0:
                return
            need -= places.place(room, need)
        while need > 0 and (offer := self._best(places, need, (True, False), now, soon)) and plan.may_add(offer):
            placed = places.place(plan.add(offer, self.desk.types[offer[0]]), need)
            if not placed:
                break
            need -= placed

    def _arrays(self, jobs: list[Job], plan: Plan, now: float) -> None:
        desk = self.desk
        load = sum(self._remaining(job, now) for job in desk.jobs.values() if job.claims and not job.spec.service)
        for job in jobs:
            spec, run = job.spec, desk.outlook.run_s(job)
            tasks = min(job.waiting, desk.teams.room(spec))
            load += tasks * spec.cpus * run
            places = Places(spec, job.zones)
            for room in plan.for_array(spec, job.shape):
                if tasks <= 0:
                    break
                tasks -= places.place(room, tasks, free_only=True)
            for spot in (True, False) if spec.spot else (False,):
                while tasks > 0 and (offer := self._best(places, tasks, (spot,), now)):
                    if not plan.may_add(offer):
                        tasks = 0  # a later plan sees to the rest; nothing dearer is taken for it meanwhile
                        break
                    kind = desk.types[offer[0]]
                    horizon = HORIZON * kind.boot_s
                    if not spot:
                        horizon = max(horizon, PATIENCE * desk.outlook.slack(job, now))
                    if load <= horizon * plan.cpus_for_arrays(spec, job.shape):
                        break
                    placed = places.place(plan.add(offer, kind), tasks, free_only=True)
                    if not placed:
                        break
                    tasks -= placed

    def _remaining(self, job: Job, now: float) -> float:
        """The cpu-seconds that a job's running tasks still need; one that overstays its estimate needs some more."""
        run = self.desk.outlook.run_s(job)
        begun = (0.0 if claim.running_at is None else now - claim.running_at for claim in job.claims.values())
        return job.spec.cpus * sum(max(run - ran, run / 4) for ran in begun)

    def _best(self, places: Places, need: int, kinds: tuple[bool, ...], now: float, soon: bool = False) -> Offer | None:
        """The cheapest offer per task that the job allows and the cloud did not just refuse; ``soon`` weighs the
        price with the time to boot."""
        spec = places.spec
        best: tuple[float, Offer] | None = None
        for kind in self.desk.types.values():
            if not fits(spec, kind):
                continue
            full = slots(spec, kind.cpus, kind.gpus, kind.memory_gb)
            for zone in kind.zones:
                if spec.zone not in (None, zone) or places.left(zone) <= 0:
                    continue
                for spot in kinds:
                    offer = (kind.name, zone, spot)
                    if (spot and not spec.spot) or self.refused.get(offer, (-math.inf, 0.0))[0] > now:
                        continue
                    cost = (kind.spot_price if spot else kind.price) / max(1, min(full, need))
                    if soon:
                        cost *= kind.boot_s
                    if best is None or (cost, offer) < best:
                        best = (cost, offer)
        return best[1] if best else None

    def returns(self, now: float) -> list[Machine]:
        """Idle machines that nothing foreseen needs: soon where there is far more room than was asked for lately,
        otherwise once they have idled for most of what it would cost to bring them back."""
        desk = self.desk
        live = [one for one in desk.machines.values() if one.heard_at is not None and not one.deleting]
        asked = sum(claim.job.spec.cpus for one in live for claim in one.claims.values())
        asked += sum(
            min(job.waiting, desk.teams.room(job.spec)) * job.spec.cpus
            for job in desk.jobs.values()
            if job.final is None
        )
        fade = math.exp((self._asked_at - now) / (RECENT * desk.report_s))
        self._asked = asked + fade * (self._asked - asked)
        self._asked_at = now
        excess = sum(one.kind.cpus for one in live) - AMPLE * max(asked, self._asked)
        result = []
        # Where a fetch takes long, a replica that finds its image is up far sooner; what has none that may be asked for
        # goes first. Where it is quick, to keep them only gathers the replicas in a few places, to be lost together.
        wanted = {stream[1] for stream in desk.outlook.latest if desk.outlook.rate(stream, now)}
        slow = SLOW_FETCH * desk.report_s
        warm = {
            one
            for one in live
            if not one.spot and any(one.kind.fetch_s(gb) > slow for image, gb in one.cached.items() if image in wanted)
        }
        away = {one for one in live if desk.detector.away(one, now)}  # of ample room these go first
        order = sorted(live, key=lambda one: (one not in away, one.spot, one in warm, -one.kind.price, one.host))
        for machine in order:
            if machine.claims or machine.idle_since is None or machine.host in self.keep:
                continue
            again = machine.kind.boot_s + machine.kind.fetch_s(max(machine.cached.values(), default=0.0))
            ample = machine.kind.cpus <= excess and machine not in warm
            linger = max((LINGER_AMPLE if ample else LINGER) * again, LINGER_LEAST * desk.report_s)
            if now - machine.idle_since > linger:
                result.append(machine)
                excess -= machine.kind.cpus
        return result
