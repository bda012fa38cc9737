"""Decides which machines to rent, as a pure function of the leader's tables.

Services get capacity of their own, with some to spare for those that will arrive while a machine boots. Array work is
treated as a stream: machines are rented until the waiting and running work can finish within a horizon, which is short
for spot machines and long (as long as the jobs may wait) for on-demand ones.
"""

from __future__ import annotations

import math

from ladderfield.fleet.capacity import MachineCapacity, Offer, Plan, Rental, ZoneAllowance
from ladderfield.fleet.offers import OfferSelector
from ladderfield.fleet.returns import ReturnPolicy
from ladderfield.leader.scheduler import Scheduler
from ladderfield.queues.work import Job, Shape
from ladderfield.workers.machine import Machine

REFUSAL_REPORT_INTERVALS = 4.0  # backoff after the cloud has no machine of an offer; doubles each time
MAX_REFUSAL_REPORT_INTERVALS = 20.0
HORIZON_BOOT_FACTOR = 0.6  # of a type's boot time: array work should finish on spot and rented machines within it
SLACK_SHARE = 0.7  # of a job's slack: how long its tasks may wait before on-demand machines are rented
SPARE_DEVIATIONS = 1.0  # standard deviations above the number of services expected while a machine gets ready


class Planner:
    """Plans rentals and returns; keeps track of the cloud's refusals between plans."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.refusals: dict[Offer, tuple[float, float]] = {}  # until when not to ask, and the backoff in seconds
        self.needed_hosts: set[str] = set()  # machines on which the last plan placed tasks
        self._offers = OfferSelector((), ())  # of the present plan
        self._return_policy = ReturnPolicy(scheduler)

    def note_refusal(self, offer: Offer, now: float) -> None:
        """Note that the cloud had no machine of the offer."""
        backoff_s = self.refusals.get(offer, (0.0, REFUSAL_REPORT_INTERVALS / 2 * self.scheduler.report_s))[1] * 2
        backoff_s = min(backoff_s, MAX_REFUSAL_REPORT_INTERVALS * self.scheduler.report_s)
        self.refusals[offer] = (now + backoff_s, backoff_s)

    def note_deleted(self, machine: Machine) -> None:
        """Note that a machine was deleted, so that the cloud may have one of its offer again."""
        self.refusals.pop(Offer(machine.kind.name, machine.zone, machine.spot), None)

    def rentals(self, now: float) -> list[Rental]:
        """What to rent now, given the machines that are up or booting."""
        scheduler = self.scheduler
        refused = {offer for offer, (until, _) in self.refusals.items() if until > now}
        self._offers = OfferSelector(scheduler.types.values(), refused)
        plan = Plan(
            MachineCapacity(machine) for machine in scheduler.machines.values() if self._accepts_tasks(machine, now)
        )
        jobs = [job for job in scheduler.jobs.values() if job.final_phase is None and job.waiting > 0]
        jobs.sort(key=lambda job: (job.order, scheduler.estimates.rating(job, now), job.ready_since))
        self._plan_services([job for job in jobs if job.spec.service], plan, now)
        self._plan_arrays([job for job in jobs if not job.spec.service], plan, now)
        self.needed_hosts = {capacity.host for capacity in plan.machines if capacity.host and capacity.needed}
        return [Rental(offer, count) for offer, count in plan.planned.items()]

    def _accepts_tasks(self, machine: Machine, now: float) -> bool:
        """Whether the machine can be expected to take new tasks, now or once it is up."""
        detector = self.scheduler.detector
        leaving = machine.deleting or machine.interruption_at is not None
        isolated = machine.cannot_report and not detector.majority_cannot_report
        faulty = machine.faulty or machine.unreachable_since is not None or isolated
        unreachable = machine.last_report_at is not None and detector.cut_off(machine, now)
        return not (leaving or faulty or unreachable) and bool(machine.kind.cpus)

    def _plan_services(self, jobs: list[Job], plan: Plan, now: float) -> None:
        """Place every waiting replica, by preemption if needed, and those that are expected soon."""
        scheduler = self.scheduler
        for job in jobs:
            allowance = ZoneAllowance(job.spec, job.zones)
            self._place_replicas(
                allowance, job.shape, min(job.waiting, scheduler.teams.room(job.spec)), plan, now, weigh_boot_time=True
            )
        for stream, job in scheduler.estimates.latest_service.items():
            allowance = ZoneAllowance(job.spec, None)
            offer = self._best_offer(allowance, 1, (True, False), now)
            if offer is not None:
                kind = scheduler.types[offer.type_name]
                ready_s = kind.boot_s + kind.fetch_s(job.spec.image_gb)
                expected = ready_s * scheduler.estimates.arrival_rate(stream, now) * job.spec.tasks
                self._place_replicas(
                    allowance, job.shape, math.ceil(expected + SPARE_DEVIATIONS * math.sqrt(expected)), plan, now
                )

    def _place_replicas(
        self, allowance: ZoneAllowance, shape: Shape, need: int, plan: Plan, now: float, weigh_boot_time: bool = False
    ) -> None:
        for capacity in plan.for_service(allowance.spec, shape):
            if need <= 0:
                return
            need -= allowance.place(capacity, need)
        while (
            need > 0
            and (offer := self._best_offer(allowance, need, (True, False), now, weigh_boot_time))
            and plan.may_add(offer)
        ):
            placed = allowance.place(plan.add(offer, self.scheduler.types[offer.type_name]), need)
            if not placed:
                break
            need -= placed

    def _plan_arrays(self, jobs: list[Job], plan: Plan, now: float) -> None:
        scheduler = self.scheduler
        # Work in cpu-seconds that is waiting or running.
        load = sum(
            self._remaining_work(job, now) for job in scheduler.jobs.values() if job.claims and not job.spec.service
        )
        for job in jobs:
            spec, run_s = job.spec, scheduler.estimates.run_s(job)
            tasks = min(job.waiting, scheduler.teams.room(spec))
            load += tasks * spec.cpus * run_s
            allowance = ZoneAllowance(spec, job.zones)
            for capacity in plan.for_array(spec, job.shape):
                if tasks <= 0:
                    break
                tasks -= allowance.place(capacity, tasks, free_only=True)
            for spot in (True, False) if spec.spot else (False,):
                while tasks > 0 and (offer := self._best_offer(allowance, tasks, (spot,), now)):
                    if not plan.may_add(offer):
                        tasks = 0  # the next plan covers the rest, instead of a more expensive offer now
                        break
                    kind = scheduler.types[offer.type_name]
                    horizon_s = HORIZON_BOOT_FACTOR * kind.boot_s
                    if not spot:
                        horizon_s = max(horizon_s, SLACK_SHARE * scheduler.estimates.slack(job, now))
                    if load <= horizon_s * plan.cpus_for_arrays(spec, job.shape):
                        break
                    placed = allowance.place(plan.add(offer, kind), tasks, free_only=True)
                    if not placed:
                        break
                    tasks -= placed

    def _remaining_work(self, job: Job, now: float) -> float:
        """The cpu-seconds that a job's running tasks still need: at least a quarter of the estimate each."""
        run_s = self.scheduler.estimates.run_s(job)
        ran_s = (0.0 if claim.running_at is None else now - claim.running_at for claim in job.claims.values())
        return job.spec.cpus * sum(max(run_s - ran, run_s / 4) for ran in ran_s)

    def _best_offer(
        self, allowance: ZoneAllowance, need: int, kinds: tuple[bool, ...], now: float, weigh_boot_time: bool = False
    ) -> Offer | None:
        """The offer with the lowest price per task that the job allows and the cloud has not refused recently.

        With ``weigh_boot_time`` the price is multiplied by the boot time.
        """
        spec = allowance.spec
        zones = [
            zone
            for zone in self._offers.zones
            if spec.zone in (None, zone)
            and allowance.remaining(zone) > 0
            and self.scheduler.zones.may_rent_in(zone, spec, now)
        ]
        return self._offers.cheapest(spec, need, zones, kinds, weigh_boot_time)

    def machines_to_return(self, now: float) -> list[Machine]:
        """Idle machines to return, none of which the last plan needs."""
        return self._return_policy.machines_to_return(self.needed_hosts, now)
