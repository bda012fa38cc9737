"""One machine as the leader knows it."""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from ladderfield.clocks import CLOCKS
from ladderfield.jobs.model import JobSpec, MachineType, fits
from ladderfield.queues.work import Claim, Job, TaskId

SLACK = 1e-9
UNKNOWN = MachineType("", 0, 0, 0, 0, 0, 0, 0, 0, [])  # fits nothing: a machine known by name only


class Machine:
    """A rented machine, from its first sighting until it is surely gone."""

    __slots__ = (
        "answered",
        "answered_at",
        "blamed",
        "born_at",
        "cached",
        "cannot_report",
        "claims",
        "cpus",
        "deleting",
        "detour_at",
        "endpoint",
        "epoch",
        "finished",
        "fresh_at",
        "gpus",
        "heard_at",
        "hold_rank",
        "hold_until",
        "host",
        "idle_since",
        "ignored_signs",
        "kind",
        "listed",
        "memory_gb",
        "not_hearing_since",
        "preemptible",
        "queue",
        "recall_at",
        "relayed",
        "replicas",
        "replicas_low",
        "reported_at",
        "seen",
        "sick",
        "spot",
        "tenure",
        "tick",
        "unanswered_launches",
        "up_at",
        "zone",
    )

    def __init__(self, host: str, endpoint: str, kind: MachineType, zone: str, spot: bool, now: float) -> None:
        self.host, self.endpoint, self.kind, self.zone, self.spot = host, endpoint, kind, zone, spot
        self.born_at = now
        self.heard_at: float | None = None  # last report taken in, in this term
        self.up_at: float | None = None  # first report taken in, in this term
        self.fresh_at: float | None = None  # last report that shows our epoch: no copy from before this term can
        self.reported_at: float | None = None  # last time that it came by itself, with our epoch
        self.cannot_report = False  # it answers what we send, but has not come by itself for too long
        self.answered_at: float | None = None  # last report answered, in this term
        self.answered: tuple[int, int] | None = None  # tenure and tick of the newest of these
        self.ignored_signs = 0  # signs in a row that what we tell it does not arrive
        self.not_hearing_since: float | None = None  # since these were enough to believe it
        self.relayed = False  # its last report came by way of another controller
        self.detour_at = -math.inf  # since when that has been so, or was last
        self.tenure = self.tick = self.epoch = 0
        self.recall_at: float | None = None
        self.claims: dict[TaskId, Claim] = {}
        self.seen: dict[TaskId, tuple[int, str]] = {}  # as last reported: attempt, phase
        self.unanswered_launches: dict[
            int, int
        ] = {}  # attempts of this session with so many unanswered launches by /orders
        self.queue: dict[Job, deque[int]] = {}
        self.cpus, self.gpus, self.memory_gb = kind.cpus, kind.gpus, kind.memory_gb  # free
        self.preemptible = [0.0, 0.0, 0.0]  # cpus, gpus, memory held by array tasks below production rank
        self.replicas = self.replicas_low = 0  # claims of services, and of those below production rank
        self.cached: dict[str, float] = {}  # images that ran here, oldest use first
        self.finished = 0
        self.blamed: set[str] = set()  # jobs whose tasks failed here since the last success
        self.sick = self.deleting = False
        self.hold_rank, self.hold_until = 0, -math.inf  # room being cleared for this rank or better
        self.idle_since: float | None = now
        self.listed: str | None = None

    def about(self) -> list[Any]:
        """What a claim's record says of the machine."""
        return [self.zone, self.endpoint, self.kind.name, self.spot]

    def allows(self, spec: JobSpec) -> bool:
        """Whether type, zone and kind are allowed for the job."""
        if self.kind is UNKNOWN:
            return False
        return (spec.spot or not self.spot) and spec.zone in (None, self.zone) and fits(spec, self.kind)

    def has_room(self, spec: JobSpec) -> bool:
        """Whether one more task fits beside the claims."""
        return (
            spec.cpus <= self.cpus + SLACK
            and spec.memory_gb <= self.memory_gb + SLACK
            and spec.gpus <= self.gpus + SLACK
        )

    @property
    def keeps_up(self) -> bool:
        """Whether a replica runs here, so that the machine stays whatever else it does."""
        return self.replicas > 0

    def could_clear(self, spec: JobSpec) -> bool:
        """Whether one more production task might fit if all lower ranks left."""
        return self.replicas_low > 0 or (
            spec.cpus <= self.cpus + self.preemptible[0] + SLACK
            and spec.memory_gb <= self.memory_gb + self.preemptible[2] + SLACK
            and spec.gpus <= self.gpus + self.preemptible[1] + SLACK
        )

    def _count(self, claim: Claim, by: int) -> None:
        spec = claim.job.spec
        self.cpus -= by * spec.cpus
        self.gpus -= by * spec.gpus
        self.memory_gb -= by * spec.memory_gb
        self.replicas += by * spec.service
        if claim.job.order[0] > 0 and spec.service:
            self.replicas_low += by
        elif claim.job.order[0] > 0:
            self.preemptible[0] += by * spec.cpus
            self.preemptible[1] += by * spec.gpus
            self.preemptible[2] += by * spec.memory_gb

    def take(self, claim: Claim) -> None:
        """Bind room for a claim."""
        self.claims[claim.task] = claim
        self._count(claim, 1)
        self.idle_since = None

    def free(self, claim: Claim, now: float) -> None:
        """Give the room back."""
        del self.claims[claim.task]
        self._count(claim, -1)
        if not self.claims:
            # Nothing is left of what rounding has gathered.
            self.cpus, self.gpus, self.memory_gb = self.kind.cpus, self.kind.gpus, self.kind.memory_gb
            self.preemptible = [0.0, 0.0, 0.0]
            self.idle_since = now

    def use_image(self, image: str, size_gb: float) -> None:
        """The machine has fetched or used an image; the least recently used make room."""
        self.cached.pop(image, None)
        self.cached[image] = size_gb
        while len(self.cached) > 1 and sum(self.cached.values()) > self.kind.cache_gb:
            del self.cached[next(iter(self.cached))]

    def usable(self, now: float, silence_s: float) -> bool:
        """Whether new work may be given to it.

        Only a machine that has shown our epoch: a late copy of a report, which may be all that is left of a machine,
        looks like a sign of life otherwise, and one that our answers don't reach would take work it never starts.
        """
        return (
            self.fresh_at is not None
            and now - self.fresh_at <= silence_s
            and self.recall_at is None
            and self.not_hearing_since is None
            and not (self.deleting or self.sick or self.cannot_report)
        )

    def silent_for(self, now: float, term_from: float) -> float:
        """How long it has shown no sign of being well: of having taken our epoch."""
        since = self.fresh_at
        if since is None:
            since = term_from if self.up_at is None else self.up_at
        return now - since

    def came(self, relayed: bool, now: float) -> None:
        """A report came straight, or by way of another controller."""
        if relayed and not self.relayed:
            self.detour_at = now
        self.relayed = relayed

    def confirm_hearing(self) -> None:
        """Something that we told it has arrived."""
        self.ignored_signs, self.not_hearing_since = 0, None

    def lease_over_at(self, epoch: int, term_from: float, others_until: float, lease_s: float) -> float:
        """When its lease is surely over.

        It runs from our last answer, or from the session's begin, which came before we last heard of it. Until
        the machine has accepted our epoch, an earlier leader may be answering it as well: until ``others_until``.
        """
        last = max(term_from, self.answered_at or term_from, self.heard_at or term_from)
        if self.epoch != epoch:
            last = max(last, others_until)
        return last + lease_s * CLOCKS

    def learn(self, endpoint: str, kind: MachineType, zone: str, spot: bool) -> None:
        """The list or a report told what was only a name on a claim so far."""
        self.endpoint, self.zone, self.spot = endpoint or self.endpoint, zone, spot
        if kind.name != self.kind.name:
            self.cpus += kind.cpus - self.kind.cpus
            self.gpus += kind.gpus - self.kind.gpus
            self.memory_gb += kind.memory_gb - self.kind.memory_gb
            self.kind = kind
