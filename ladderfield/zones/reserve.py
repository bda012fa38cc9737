"""Capacity reserved for production services of an evacuated zone until they are placed elsewhere."""

from __future__ import annotations

from collections.abc import Iterable

from ladderfield.fleet.capacity import UNLIMITED_TASKS, slots
from ladderfield.jobs.model import JobSpec
from ladderfield.queues.work import Claim, Job, Shape
from ladderfield.workers.machine import Machine


class Reservation:
    """Free slots for displaced services on the machines of one scheduling pass.

    Other tasks may use all capacity except the last slots that the services need: a service without a slot would have
    to preempt them again.
    """

    def __init__(self, displaced: Iterable[Job], machines: Iterable[Machine]) -> None:
        self._needed: dict[Shape, int] = {}
        self._specs: dict[Shape, JobSpec] = {}
        for job in displaced:
            self._needed[job.shape] = self._needed.get(job.shape, 0) + 1
            self._specs.setdefault(job.shape, job.spec)
        machines = list(machines) if self._needed else []
        self._slots = {
            shape: {machine.host: free_slots(machine, spec) for machine in machines}
            for shape, spec in self._specs.items()
        }
        self._remaining = {shape: sum(by_host.values()) for shape, by_host in self._slots.items()}

    def allows(self, machine: Machine, spec: JobSpec) -> bool:
        """Whether a task may start there and leave enough slots for the displaced services."""
        for shape, needed in self._needed.items():
            before = self._slots[shape].get(machine.host, 0)
            taken = before - free_slots(machine, self._specs[shape], spec)
            if taken > 0 and self._remaining[shape] - taken < needed:
                return False
        return True

    def record_claim(self, claim: Claim, machine: Machine) -> None:
        """Update the slots of a machine on which a claim was made."""
        if claim.job.shape in self._needed:
            self._needed[claim.job.shape] = max(0, self._needed[claim.job.shape] - 1)
        for shape, by_host in self._slots.items():
            if machine.host in by_host:
                remaining = free_slots(machine, self._specs[shape])
                self._remaining[shape] += remaining - by_host[machine.host]
                by_host[machine.host] = remaining


def free_slots(machine: Machine, spec: JobSpec, alongside: JobSpec | None = None) -> int:
    """The number of tasks that fit on the machine, optionally with one task of another job started as well."""
    if not machine.allows(spec):
        return 0
    cpus, gpus, memory_gb = machine.cpus, machine.gpus, machine.memory_gb
    if alongside is not None:
        cpus, gpus, memory_gb = cpus - alongside.cpus, gpus - alongside.gpus, memory_gb - alongside.memory_gb
    return slots(spec, cpus, gpus, memory_gb, max_tasks=UNLIMITED_TASKS)
