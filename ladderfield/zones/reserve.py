"""Room that is kept for production services which a lost zone had, while they are still to be moved."""

from __future__ import annotations

from collections.abc import Iterable

from ladderfield.fleet.capacity import UNBOUNDED, slots
from ladderfield.jobs.model import JobSpec
from ladderfield.queues.work import Claim, Job, Shape
from ladderfield.workers.machine import Machine


class Reservation:
    """Places for the displaced services on the machines of one pass.

    Other tasks may use all room but the last places: a service that finds none would have to stop them again.
    """

    def __init__(self, displaced: Iterable[Job], machines: Iterable[Machine]) -> None:
        self._needs: dict[Shape, int] = {}
        self._specs: dict[Shape, JobSpec] = {}
        for job in displaced:
            self._needs[job.shape] = self._needs.get(job.shape, 0) + 1
            self._specs.setdefault(job.shape, job.spec)
        machines = list(machines) if self._needs else []
        self._places = {
            shape: {machine.host: places(machine, spec) for machine in machines} for shape, spec in self._specs.items()
        }
        self._left = {shape: sum(by_host.values()) for shape, by_host in self._places.items()}

    def allows(self, machine: Machine, spec: JobSpec) -> bool:
        """Whether a task may start there and still leave enough places."""
        for shape, need in self._needs.items():
            before = self._places[shape].get(machine.host, 0)
            taken = before - places(machine, self._specs[shape], spec)
            if taken > 0 and self._left[shape] - taken < need:
                return False
        return True

    def claimed(self, claim: Claim, machine: Machine) -> None:
        """A claim was made there: count its machine anew."""
        if claim.job.shape in self._needs:
            self._needs[claim.job.shape] = max(0, self._needs[claim.job.shape] - 1)
        for shape, by_host in self._places.items():
            if machine.host in by_host:
                now_left = places(machine, self._specs[shape])
                self._left[shape] += now_left - by_host[machine.host]
                by_host[machine.host] = now_left


def places(machine: Machine, spec: JobSpec, beside: JobSpec | None = None) -> int:
    """How many tasks fit into the machine's free room, beside one more task if one is named."""
    if not machine.allows(spec):
        return 0
    cpus, gpus, memory_gb = machine.cpus, machine.gpus, machine.memory_gb
    if beside is not None:
        cpus, gpus, memory_gb = cpus - beside.cpus, gpus - beside.gpus, memory_gb - beside.memory_gb
    return slots(spec, cpus, gpus, memory_gb, most=UNBOUNDED)
