"""What to rent: a pure decision over the leader's tables.

Services get room of their own, and some is kept for those that will come while a machine boots. Array work is
seen as a stream: machines are rented until what waits and runs flows off within a horizon, a short one for spot
machines, a long one (as long as the jobs may wait) for ordinary ones.
"""

from __future__ import annotations

import math

from ladderfield.fleet.capacity import Offer, Places, Plan, Rental, Room, slots
from ladderfield.fleet.returns import ReturnPolicy
from ladderfield.jobs.model import fits
from ladderfield.leader.scheduler import Scheduler
from ladderfield.queues.work import Job, Shape
from ladderfield.workers.machine import Machine

REFUSED = 4.0  # of report_s: how long a refusal stands before the same is asked again; doubles each time
REFUSED_MOST = 20.0  # of report_s
HORIZON = 0.6  # of a type's boot time: array work should flow off spot and present machines within this
PATIENCE = 0.7  # of a job's slack: how long its tasks may wait before ordinary machines are rented for them
SPARE = 1.0  # standard deviations over the services expected while a machine is made ready: room kept for them


class Planner:
    """Remembers refusals between plans."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.refused: dict[Offer, tuple[float, float]] = {}  # until when, and the pause that led there
        self.keep: set[str] = set()  # machines that the last plan needs though they are idle
        self._return_policy = ReturnPolicy(scheduler)

    def refuse(self, offer: Offer, now: float) -> None:
        """The cloud had none of these."""
        pause = self.refused.get(offer, (0.0, REFUSED / 2 * self.scheduler.report_s))[1] * 2
        pause = min(pause, REFUSED_MOST * self.scheduler.report_s)
        self.refused[offer] = (now + pause, pause)

    def freed(self, machine: Machine) -> None:
        """One of these is gone, so there may be one to be had again."""
        self.refused.pop(Offer(machine.kind.name, machine.zone, machine.spot), None)

    def rentals(self, now: float) -> list[Rental]:
        """What to ask for now, given what is up and under way."""
        scheduler = self.scheduler
        plan = Plan(Room(machine) for machine in scheduler.machines.values() if self._counts(machine, now))
        jobs = [job for job in scheduler.jobs.values() if job.final is None and job.waiting > 0]
        jobs.sort(key=lambda job: (job.order, scheduler.estimates.rating(job, now), job.since))
        self._services([job for job in jobs if job.spec.service], plan, now)
        self._arrays([job for job in jobs if not job.spec.service], plan, now)
        self.keep = {room.host for room in plan.rooms if room.host and room.needed}
        return [Rental(offer, count) for offer, count in plan.planned.items()]

    def _counts(self, machine: Machine, now: float) -> bool:
        """Whether the machine can be counted on for new tasks, now or once it is up."""
        detector = self.scheduler.detector
        leaving = machine.deleting or machine.recall_at is not None
        alone = machine.cannot_report and not detector.majority_cannot_report
        faulty = machine.sick or machine.not_hearing_since is not None or alone
        cut_off = machine.heard_at is not None and detector.cut_off(machine, now)
        return not (leaving or faulty or cut_off) and bool(machine.kind.cpus)

    def _services(self, jobs: list[Job], plan: Plan, now: float) -> None:
        """Every waiting replica gets room, if need be in place of lower ranks; and so do those soon to come."""
        scheduler = self.scheduler
        for job in jobs:
            places = Places(job.spec, job.zones)
            self._give(places, job.shape, min(job.waiting, scheduler.teams.room(job.spec)), plan, now, soon=True)
        for stream, job in scheduler.estimates.latest_service.items():
            places = Places(job.spec, None)
            offer = self._best(places, 1, (True, False), now)
            if offer is not None:
                kind = scheduler.types[offer.type_name]
                until = kind.boot_s + kind.fetch_s(job.spec.image_gb)
                coming = until * scheduler.estimates.arrival_rate(stream, now) * job.spec.tasks
                self._give(places, job.shape, math.ceil(coming + SPARE * math.sqrt(coming)), plan, now)

    def _give(self, places: Places, shape: Shape, need: int, plan: Plan, now: float, soon: bool = False) -> None:
        for room in plan.for_service(places.spec, shape):
            if need <= 0:
                return
            need -= places.place(room, need)
        while need > 0 and (offer := self._best(places, need, (True, False), now, soon)) and plan.may_add(offer):
            placed = places.place(plan.add(offer, self.scheduler.types[offer.type_name]), need)
            if not placed:
                break
            need -= placed

    def _arrays(self, jobs: list[Job], plan: Plan, now: float) -> None:
        scheduler = self.scheduler
        load = sum(self._remaining(job, now) for job in scheduler.jobs.values() if job.claims and not job.spec.service)
        for job in jobs:
            spec, run = job.spec, scheduler.estimates.run_s(job)
            tasks = min(job.waiting, scheduler.teams.room(spec))
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
                    kind = scheduler.types[offer.type_name]
                    horizon = HORIZON * kind.boot_s
                    if not spot:
                        horizon = max(horizon, PATIENCE * scheduler.estimates.slack(job, now))
                    if load <= horizon * plan.cpus_for_arrays(spec, job.shape):
                        break
                    placed = places.place(plan.add(offer, kind), tasks, free_only=True)
                    if not placed:
                        break
                    tasks -= placed

    def _remaining(self, job: Job, now: float) -> float:
        """The cpu-seconds that a job's running tasks still need; one that overstays its estimate needs some more."""
        run = self.scheduler.estimates.run_s(job)
        begun = (0.0 if claim.running_at is None else now - claim.running_at for claim in job.claims.values())
        return job.spec.cpus * sum(max(run - ran, run / 4) for ran in begun)

    def _best(self, places: Places, need: int, kinds: tuple[bool, ...], now: float, soon: bool = False) -> Offer | None:
        """The cheapest offer per task that the job allows and the cloud did not just refuse.

        ``soon`` weighs the price with the time to boot.
        """
        spec = places.spec
        best: tuple[float, Offer] | None = None
        for kind in self.scheduler.types.values():
            if not fits(spec, kind):
                continue
            full = slots(spec, kind.cpus, kind.gpus, kind.memory_gb)
            for zone in kind.zones:
                if spec.zone not in (None, zone) or places.left(zone) <= 0:
                    continue
                if not self.scheduler.zones.may_rent_in(zone, spec, now):
                    continue
                for spot in kinds:
                    offer = Offer(kind.name, zone, spot)
                    if (spot and not spec.spot) or self.refused.get(offer, (-math.inf, 0.0))[0] > now:
                        continue
                    cost = (kind.spot_price if spot else kind.price) / max(1, min(full, need))
                    if soon:
                        cost *= kind.boot_s
                    if best is None or (cost, offer) < best:
                        best = (cost, offer)
        return best[1] if best else None

    def returns(self, now: float) -> list[Machine]:
        """Idle machines to give back, none of which the last plan needs."""
        return self._return_policy.returns(self.keep, now)
