"""What can be expected: run times, due times, and how many services will come while a machine boots."""

from __future__ import annotations

import math
from collections import defaultdict, deque

from ladderfield.jobs.model import JobSpec
from ladderfield.queues.work import Job
from ladderfield.settings import Settings

BEGIN_S = 240.0  # the protocol: the largest jobs, too, begin within four minutes
OLD = 0.5  # of that, or of what its class may wait: then a job is served by age
STEP = 8.0  # of report_s: late jobs that came closer together than this are equal
MEMORY = 60.0  # of report_s: how far back arrivals count
Stream = tuple[str, str]  # class and image: what a warm machine has to match
LEARN = 0.1  # weight of a new run time in a class's bias


class Estimates:
    """Learns from what arrives and what finishes."""

    def __init__(self, settings: Settings, wall_offset: float = 0.0) -> None:
        self.wall_offset = wall_offset  # time of day less our clock
        self.report_s = settings.cluster.workers.report_s
        self.bias: dict[str, float] = {}  # of a class: log of true over estimated run time
        self.arrivals: dict[Stream, deque[float]] = defaultdict(deque)  # of services
        self.latest: dict[Stream, Job] = {}  # the job seen last
        self.aims: dict[str, list[float]] = defaultdict(list)  # of a class: times to be finished within
        for objective in settings.cluster.objectives:
            if objective.kind == "finished" and objective.job_class and objective.within_s:
                self.aims[objective.job_class].append(objective.within_s)
        self.begin = {  # of a class: how long its tasks may wait
            one.job_class: one.within_s
            for one in settings.cluster.objectives
            if one.kind == "wait" and one.job_class and one.within_s
        }
        self.beyond = sorted(
            {one.times for one in settings.cluster.objectives if one.kind == "deadline" and one.times} | {1.0}
        )

    def arrived(self, job: Job) -> None:
        """A job was accepted."""
        if job.spec.service:
            stream = (job.spec.job_class, job.spec.image)
            self.arrivals[stream].append(job.at)
            self.latest[stream] = job

    def rate(self, stream: Stream, now: float) -> float:
        """Services of a class and image that arrive per second, as of late."""
        times, span = self.arrivals[stream], MEMORY * self.report_s
        while times and times[0] < now - span:
            times.popleft()
        return len(times) / span

    def finished(self, spec: JobSpec, run_s: float) -> None:
        """A task ran for so long."""
        if spec.estimate_s > 0 and run_s > 0:
            error = math.log(run_s / spec.estimate_s)
            before = self.bias.get(spec.job_class, 0.0)
            self.bias[spec.job_class] = before + LEARN * (error - before)

    def run_s(self, job: Job) -> float:
        """A task's expected run time."""
        return max(job.run_s(math.exp(self.bias.get(job.spec.job_class, 0.0))), self.report_s / 4)

    def due(self, job: Job, now: float) -> float | None:
        """When the job should be complete: the first of its aims that can still be met, None if there is none."""
        return self._aim(job, now + self.run_s(job))

    def harmed(self, job: Job, ran_s: float, now: float) -> bool:
        """Whether the job would miss an aim if a task that has run for so long had to begin anew."""
        run = self.run_s(job)
        return self._aim(job, now + max(0.0, run - ran_s)) != self._aim(job, now + run)

    def _aim(self, job: Job, earliest: float) -> float | None:
        """The first of its aims, and of those of jobs that wait for it, that allows for being complete then."""
        if job.spec.deadline_s is not None:
            aims = [job.at + times * job.spec.deadline_s for times in self.beyond]
        else:
            aims = [job.since + aim for aim in self.aims.get(job.spec.job_class, ())]
        if job.due is not None:
            until, allowed = job.due
            aims += [until - self.wall_offset + (times - 1) * allowed for times in self.beyond]
        begin = self.begin.get(job.spec.job_class)
        if begin is not None and not job.spec.service:
            aims.append(job.since + begin + self.run_s(job))
        return min((aim for aim in aims if aim >= earliest), default=None)

    def rating(self, job: Job, now: float) -> tuple[bool, int]:
        """For ordering: what can still be on time goes first, then the rest.

        Of what can be on time the least work goes first, so that under overload as many jobs as possible are; the rest
        goes by age. Both in coarse steps, within which the design's pick decides.
        """
        if job.spec.service:
            return False, 0
        if self.due(job, now) is None:
            return True, self.age(job)
        return False, int(math.log2(max(1.0, job.waiting * job.spec.cpus * self.run_s(job))))

    def old(self, job: Job, now: float) -> bool:
        """Whether an array has waited for so long that it is owed some of the room whatever else there is to do."""
        begin = min(self.begin.get(job.spec.job_class, BEGIN_S), BEGIN_S)
        return not job.spec.service and now - job.since > OLD * begin

    def age(self, job: Job) -> int:
        """Since when it could run, in steps."""
        return int(job.since / (STEP * self.report_s))

    def slack(self, job: Job, now: float) -> float:
        """How long the job's tasks may wait."""
        due = self.due(job, now)
        return 0.0 if due is None else max(0.0, due - now - self.run_s(job))
