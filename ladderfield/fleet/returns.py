"""What to return: idle machines that nothing foreseen needs; a pure decision over the leader's tables."""

from __future__ import annotations

import math
from collections.abc import Collection

from ladderfield.leader.scheduler import Scheduler
from ladderfield.workers.machine import Machine

SLOW_FETCH = 3.0  # of report_s, as long as a machine that is lost goes unnoticed: an image is worth keeping then
LINGER = 0.7  # of the time to bring an equal machine back (boot, image): so long it may idle before it is returned
LINGER_AMPLE = 0.15  # the same while there is ample room
LINGER_LEAST = 1.0  # of report_s
AMPLE = 1.2  # of the cpus asked for lately
RECENT = 8.0  # of report_s: what counts as lately


class ReturnPolicy:
    """Remembers how much room was asked for lately."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self._asked, self._asked_at = 0.0, -math.inf  # cpus asked for, smoothed

    def returns(self, keep: Collection[str], now: float) -> list[Machine]:
        """Idle machines that are not to be kept.

        Soon where there is far more room than was asked for lately, otherwise once they have idled for most of what it
        would cost to bring them back.
        """
        live = [one for one in self.scheduler.machines.values() if one.heard_at is not None and not one.deleting]
        excess = sum(one.kind.cpus for one in live) - AMPLE * self._asked_lately(live, now)
        warm = self._warm(live, now)
        cut_off = {one for one in live if self.scheduler.detector.cut_off(one, now)}  # of ample room these go first
        order = sorted(live, key=lambda one: (one not in cut_off, one.spot, one in warm, -one.kind.price, one.host))
        result = []
        for machine in order:
            if machine.claims or machine.idle_since is None or machine.host in keep:
                continue
            ample = machine.kind.cpus <= excess and machine not in warm
            if now - machine.idle_since > self._linger_s(machine, ample):
                result.append(machine)
                excess -= machine.kind.cpus
        return result

    def _asked_lately(self, live: list[Machine], now: float) -> float:
        """The cpus that tasks use or wait for; or that they did lately, if that was more, as it fades."""
        scheduler = self.scheduler
        asked = sum(claim.job.spec.cpus for one in live for claim in one.claims.values())
        asked += sum(
            min(job.waiting, scheduler.teams.room(job.spec)) * job.spec.cpus
            for job in scheduler.jobs.values()
            if job.final is None
        )
        fade = math.exp((self._asked_at - now) / (RECENT * scheduler.report_s))
        self._asked = asked + fade * (self._asked - asked)
        self._asked_at = now
        return max(asked, self._asked)

    def _warm(self, live: list[Machine], now: float) -> set[Machine]:
        """Ordinary machines with an image that is slow to fetch and that a service may ask for.

        A replica that finds its image is up far sooner, so what has none goes first. Where a fetch is quick, to keep
        them would only gather the replicas in a few places, to be lost together.
        """
        estimates = self.scheduler.estimates
        wanted = {stream[1] for stream in estimates.latest_service if estimates.arrival_rate(stream, now)}
        slow = SLOW_FETCH * self.scheduler.report_s

        def has_slow_image(machine: Machine) -> bool:
            images = machine.cached.items()
            return any(image in wanted and machine.kind.fetch_s(size_gb) > slow for image, size_gb in images)

        return {one for one in live if not one.spot and has_slow_image(one)}

    def _linger_s(self, machine: Machine, ample: bool) -> float:
        """How long the machine may idle."""
        again_s = machine.kind.boot_s + machine.kind.fetch_s(max(machine.cached.values(), default=0.0))
        return max((LINGER_AMPLE if ample else LINGER) * again_s, LINGER_LEAST * self.scheduler.report_s)
