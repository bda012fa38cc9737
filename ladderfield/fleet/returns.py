"""Decides which idle machines to return, as a pure function of the leader's tables."""

from __future__ import annotations

import math
from collections.abc import Collection

from ladderfield.leader.scheduler import Scheduler
from ladderfield.workers.machine import Machine

# A slower image is worth keeping: fetching it takes longer than a lost machine goes unnoticed.
SLOW_FETCH_REPORT_INTERVALS = 3.0
MAX_IDLE_FACTOR = 0.7  # of the time to replace the machine (boot, image): how long it may idle
AMPLE_MAX_IDLE_FACTOR = 0.15  # the same while there is ample capacity
MIN_IDLE_REPORT_INTERVALS = 1.0
AMPLE_FACTOR = 1.2  # of the recent demand: cpus beyond that are surplus
DEMAND_DECAY_REPORT_INTERVALS = 8.0  # time constant of the recent demand's decay


class ReturnPolicy:
    """Decides about returns, and keeps track of the recent demand for cpus."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self._demand_cpus, self._demand_at = 0.0, -math.inf  # decaying demand, and when it was updated

    def machines_to_return(self, needed_hosts: Collection[str], now: float) -> list[Machine]:
        """Idle machines to return; those in ``needed_hosts`` are kept.

        A machine is returned soon if there is far more capacity than recent demand, else once it has been idle for most
        of the time that replacing it would take.
        """
        live = [
            machine
            for machine in self.scheduler.machines.values()
            if machine.last_report_at is not None and not machine.deleting
        ]
        surplus_cpus = sum(machine.kind.cpus for machine in live) - AMPLE_FACTOR * self._recent_demand_cpus(live, now)
        with_slow_images = self._machines_with_slow_images(live, now)
        unreachable = {machine for machine in live if self.scheduler.detector.cut_off(machine, now)}  # returned first
        order = sorted(
            live,
            key=lambda machine: (
                machine not in unreachable,
                machine.spot,
                machine in with_slow_images,
                -machine.kind.price,
                machine.host,
            ),
        )
        result = []
        for machine in order:
            if machine.claims or machine.idle_since is None or machine.host in needed_hosts:
                continue
            ample = machine.kind.cpus <= surplus_cpus and machine not in with_slow_images
            if now - machine.idle_since > self._max_idle_s(machine, ample):
                result.append(machine)
                surplus_cpus -= machine.kind.cpus
        return result

    def _recent_demand_cpus(self, live: list[Machine], now: float) -> float:
        """The cpus that tasks use or wait for now, or the decaying demand of the recent past if that is higher."""
        scheduler = self.scheduler
        demand_cpus = sum(claim.job.spec.cpus for machine in live for claim in machine.claims.values())
        demand_cpus += sum(
            min(job.waiting, scheduler.teams.room(job.spec)) * job.spec.cpus
            for job in scheduler.jobs.values()
            if job.final_phase is None
        )
        decay = math.exp((self._demand_at - now) / (DEMAND_DECAY_REPORT_INTERVALS * scheduler.report_s))
        self._demand_cpus = demand_cpus + decay * (self._demand_cpus - demand_cpus)
        self._demand_at = now
        return max(demand_cpus, self._demand_cpus)

    def _machines_with_slow_images(self, live: list[Machine], now: float) -> set[Machine]:
        """On-demand machines with a cached image that is slow to fetch and that a service may need.

        A replica starts far sooner where its image is cached, so machines without one are returned first. If fetching
        is quick, keeping them would only concentrate replicas on a few machines that could be lost together.
        """
        estimates = self.scheduler.estimates
        wanted = {stream[1] for stream in estimates.latest_service if estimates.arrival_rate(stream, now)}
        slow_fetch_s = SLOW_FETCH_REPORT_INTERVALS * self.scheduler.report_s

        def has_slow_image(machine: Machine) -> bool:
            images = machine.cached.items()
            return any(image in wanted and machine.kind.fetch_s(size_gb) > slow_fetch_s for image, size_gb in images)

        return {machine for machine in live if not machine.spot and has_slow_image(machine)}

    def _max_idle_s(self, machine: Machine, ample: bool) -> float:
        """How long the machine may be idle before it is returned."""
        min_idle_s = MIN_IDLE_REPORT_INTERVALS * self.scheduler.report_s
        replacement_s = machine.kind.boot_s + machine.kind.fetch_s(max(machine.cached.values(), default=0.0))
        return max(
            (AMPLE_MAX_IDLE_FACTOR if ample else MAX_IDLE_FACTOR) * replacement_s,
            min_idle_s,
        )
