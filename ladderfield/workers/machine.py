"""The leader's in-memory state of one machine."""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from ladderfield.clocks import CLOCK_DRIFT_FACTOR
from ladderfield.jobs.model import JobSpec, MachineType, fits
from ladderfield.queues.work import Claim, Job, TaskId

TOLERANCE = 1e-9  # rounding error in sums of resources
UNKNOWN = MachineType("", 0, 0, 0, 0, 0, 0, 0, 0, [])  # fits no task: the type of a machine known only by its name


class Machine:
    """A rented machine, from its first mention until it is certain to be gone."""

    __slots__ = (
        "answered",
        "answered_at",
        "cached",
        "cannot_report",
        "claims",
        "cpus",
        "created_at",
        "deleting",
        "endpoint",
        "epoch",
        "epoch_confirmed_at",
        "failed_jobs",
        "faulty",
        "finished",
        "first_report_at",
        "gpus",
        "host",
        "idle_since",
        "interruption_at",
        "kind",
        "last_report_at",
        "listed",
        "low_rank_replicas",
        "memory_gb",
        "preemptible",
        "pushed_launches",
        "queue",
        "relayed",
        "relayed_since",
        "replicas",
        "reported_tasks",
        "reserved_rank",
        "reserved_until",
        "sequence",
        "session",
        "spot",
        "token",
        "token_raised_at",
        "unreachable_signs",
        "unreachable_since",
        "unsolicited_report_at",
        "zone",
    )

    def __init__(self, host: str, endpoint: str, kind: MachineType, zone: str, spot: bool, now: float) -> None:
        self.host, self.endpoint, self.kind, self.zone, self.spot = host, endpoint, kind, zone, spot
        self.created_at = now
        self.last_report_at: float | None = None  # in this term
        self.first_report_at: float | None = None  # in this term
        # Last report that shows this leader's epoch, which no copy from before the term can.
        self.epoch_confirmed_at: float | None = None
        # Last report, with this leader's epoch, that the machine sent on its own and not as an answer to a push.
        self.unsolicited_report_at: float | None = None
        self.cannot_report = False  # it answers pushes, but has not sent a report on its own for too long
        self.answered_at: float | None = None  # time of the last answered report in this term
        self.answered: tuple[int, int] | None = None  # session and sequence number of the newest answered report
        self.unreachable_signs = 0  # consecutive signs that it does not receive our answers
        self.unreachable_since: float | None = None  # since when it is considered not to receive our answers
        self.relayed = False  # whether another controller relayed its last report
        self.relayed_since = -math.inf  # when the current or latest period of relaying began
        self.session = self.sequence = self.epoch = 0
        self.interruption_at: float | None = None  # after a spot interruption notice
        self.claims: dict[TaskId, Claim] = {}
        self.reported_tasks: dict[TaskId, tuple[int, str]] = {}  # attempt and phase, from the last report
        self.token = 0  # the highest sent to it in this term
        self.token_raised_at = -math.inf
        # attempt -> token of its latest launch pushed to /orders in this session, while copies of it may be carried out
        self.pushed_launches: dict[int, int] = {}
        self.queue: dict[Job, deque[int]] = {}
        self.cpus, self.gpus, self.memory_gb = kind.cpus, kind.gpus, kind.memory_gb  # free
        self.preemptible = [0.0, 0.0, 0.0]  # cpus, gpus, memory used by array tasks below production rank
        self.replicas = self.low_rank_replicas = 0  # claims of services; those below production rank
        self.cached: dict[str, float] = {}  # image -> size in GB, least recently used first
        self.finished = 0  # number of tasks finished here
        self.failed_jobs: set[str] = set()  # jobs with a task that failed here since the last success
        self.faulty = self.deleting = False
        self.reserved_rank, self.reserved_until = 0, -math.inf  # freed room is reserved for this rank or better
        self.idle_since: float | None = now
        self.listed: str | None = None  # phase in the cloud's list

    def host_record(self) -> list[Any]:
        """The description of the machine that is recorded with its claims."""
        return [self.zone, self.endpoint, self.kind.name, self.spot]

    def allows(self, spec: JobSpec) -> bool:
        """Whether the job may use this machine type, in this zone, as spot or on-demand machine."""
        if self.kind is UNKNOWN:
            return False
        return (spec.spot or not self.spot) and spec.zone in (None, self.zone) and fits(spec, self.kind)

    def has_room(self, spec: JobSpec) -> bool:
        """Whether one more task fits beside the current claims."""
        return (
            spec.cpus <= self.cpus + TOLERANCE
            and spec.memory_gb <= self.memory_gb + TOLERANCE
            and spec.gpus <= self.gpus + TOLERANCE
        )

    @property
    def runs_replica(self) -> bool:
        """Whether a replica runs here; such a machine is kept whatever else runs on it."""
        return self.replicas > 0

    def may_fit_after_preemption(self, spec: JobSpec) -> bool:
        """Whether one more production task might fit if all tasks of lower rank were preempted."""
        return self.low_rank_replicas > 0 or (
            spec.cpus <= self.cpus + self.preemptible[0] + TOLERANCE
            and spec.memory_gb <= self.memory_gb + self.preemptible[2] + TOLERANCE
            and spec.gpus <= self.gpus + self.preemptible[1] + TOLERANCE
        )

    def _count(self, claim: Claim, change: int) -> None:
        spec = claim.job.spec
        self.cpus -= change * spec.cpus
        self.gpus -= change * spec.gpus
        self.memory_gb -= change * spec.memory_gb
        self.replicas += change * spec.service
        if claim.job.order[0] > 0 and spec.service:
            self.low_rank_replicas += change
        elif claim.job.order[0] > 0:
            self.preemptible[0] += change * spec.cpus
            self.preemptible[1] += change * spec.gpus
            self.preemptible[2] += change * spec.memory_gb

    def reserve(self, claim: Claim) -> None:
        """Reserve the resources of a claim."""
        self.claims[claim.task] = claim
        self._count(claim, 1)
        self.idle_since = None

    def free(self, claim: Claim, now: float) -> None:
        """Release the resources of a claim."""
        del self.claims[claim.task]
        self._count(claim, -1)
        if not self.claims:
            # Clears accumulated rounding errors.
            self.cpus, self.gpus, self.memory_gb = self.kind.cpus, self.kind.gpus, self.kind.memory_gb
            self.preemptible = [0.0, 0.0, 0.0]
            self.idle_since = now

    def use_image(self, image: str, size_gb: float) -> None:
        """Note that an image was fetched or used; the least recently used are evicted if the cache is full."""
        self.cached.pop(image, None)
        self.cached[image] = size_gb
        while len(self.cached) > 1 and sum(self.cached.values()) > self.kind.cache_gb:
            del self.cached[next(iter(self.cached))]

    def usable(self, now: float, silence_s: float) -> bool:
        """Whether new tasks may be assigned to it.

        Only a report that shows this leader's epoch counts as a sign of life. A late copy of an older report may be all
        that remains of a machine, and a machine that does not receive our answers would never start its tasks.
        """
        return (
            self.epoch_confirmed_at is not None
            and now - self.epoch_confirmed_at <= silence_s
            and self.interruption_at is None
            and self.unreachable_since is None
            and not (self.deleting or self.faulty or self.cannot_report)
        )

    def silent_for(self, now: float, term_from: float) -> float:
        """Time since the machine last showed that it has accepted this leader's epoch."""
        since = self.epoch_confirmed_at
        if since is None:
            since = term_from if self.first_report_at is None else self.first_report_at
        return now - since

    def note_route(self, relayed: bool, now: float) -> None:
        """Note whether a report came directly or was relayed by another controller."""
        if relayed and not self.relayed:
            self.relayed_since = now
        self.relayed = relayed

    def confirm_reachable(self) -> None:
        """Note that the machine has received something that this leader sent."""
        self.unreachable_signs, self.unreachable_since = 0, None

    def lease_over_at(self, accepted: bool, term_from: float, others_until: float, lease_s: float) -> float:
        """The time after which its lease is certain to have expired.

        The lease runs from the last answer, or from the start of the session, which is before the last report. Until
        the machine has ``accepted`` this leader, an earlier one may be answering it too, until ``others_until``.
        """
        last = max(term_from, self.answered_at or term_from, self.last_report_at or term_from)
        if not accepted:
            last = max(last, others_until)
        return last + lease_s * CLOCK_DRIFT_FACTOR

    def set_details(self, endpoint: str, kind: MachineType, zone: str, spot: bool) -> None:
        """Fill in the details of a machine from the cloud's list or a report; a claim may have given only its name."""
        self.endpoint, self.zone, self.spot = endpoint or self.endpoint, zone, spot
        if kind.name != self.kind.name:
            self.cpus += kind.cpus - self.kind.cpus
            self.gpus += kind.gpus - self.kind.gpus
            self.memory_gb += kind.memory_gb - self.kind.memory_gb
            self.kind = kind
