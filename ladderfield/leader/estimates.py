"""Estimates of task run times, completion deadlines and service arrival rates."""

from __future__ import annotations

import math
from collections import defaultdict, deque

from ladderfield.jobs.model import JobSpec
from ladderfield.queues.work import Job
from ladderfield.settings import Settings

MAX_START_WAIT_S = 240.0  # the protocol requires that even the largest jobs start within four minutes
OLD_JOB_WAIT_SHARE = 0.5  # of MAX_START_WAIT_S, or of the class's wait objective if that is shorter
READY_STEP_REPORT_INTERVALS = 8.0  # late jobs that became ready within the same step rank equally
ARRIVAL_WINDOW_REPORT_INTERVALS = 60.0  # length of the window over which service arrivals are counted
ServiceStream = tuple[str, str]  # job class and image: what a warm machine has to match
BIAS_LEARNING_SHARE = 0.1  # weight of a new run time in its class's bias


class Estimates:
    """Run time and arrival estimates, learned from accepted jobs and finished tasks."""

    def __init__(self, settings: Settings, wall_offset: float = 0.0) -> None:
        self.wall_offset = wall_offset  # wall clock minus monotonic clock, in seconds
        self.report_s = settings.cluster.workers.report_s
        self.bias: dict[str, float] = {}  # by class: log of actual over estimated run time
        self.arrivals: dict[ServiceStream, deque[float]] = defaultdict(deque)  # acceptance times of services
        self.latest_service: dict[ServiceStream, Job] = {}  # the most recently accepted job
        self.finish_within_s: dict[str, list[float]] = defaultdict(list)  # by class: completion objectives
        for objective in settings.cluster.objectives:
            if objective.kind == "finished" and objective.job_class and objective.within_s:
                self.finish_within_s[objective.job_class].append(objective.within_s)
        self.max_wait_s = {  # by class: how long its tasks may wait
            objective.job_class: objective.within_s
            for objective in settings.cluster.objectives
            if objective.kind == "wait" and objective.job_class and objective.within_s
        }
        self.deadline_multiples = sorted(
            {
                objective.times
                for objective in settings.cluster.objectives
                if objective.kind == "deadline" and objective.times
            }
            | {1.0}
        )

    def job_accepted(self, job: Job) -> None:
        """Record the arrival of a service, for ``arrival_rate``."""
        if job.spec.service:
            stream = (job.spec.job_class, job.spec.image)
            self.arrivals[stream].append(job.accepted_at)
            self.latest_service[stream] = job

    def arrival_rate(self, stream: ServiceStream, now: float) -> float:
        """Services of a class and image that arrived per second within the arrival window."""
        times, span = self.arrivals[stream], ARRIVAL_WINDOW_REPORT_INTERVALS * self.report_s
        while times and times[0] < now - span:
            times.popleft()
        return len(times) / span

    def finished(self, spec: JobSpec, run_s: float) -> None:
        """Update the class's bias with the run time of a finished task."""
        if spec.estimate_s > 0 and run_s > 0:
            error = math.log(run_s / spec.estimate_s)
            before = self.bias.get(spec.job_class, 0.0)
            self.bias[spec.job_class] = before + BIAS_LEARNING_SHARE * (error - before)

    def run_s(self, job: Job) -> float:
        """Expected run time of one task of the job."""
        return max(job.run_s(math.exp(self.bias.get(job.spec.job_class, 0.0))), self.report_s / 4)

    def due(self, job: Job, now: float) -> float | None:
        """The earliest deadline that the job can still meet; None if it can meet none."""
        return self._next_deadline(job, now + self.run_s(job))

    def restart_misses_deadline(self, job: Job, ran_s: float, now: float) -> bool:
        """Whether the job misses a deadline it would otherwise meet if a task that has run for ``ran_s`` restarts."""
        run = self.run_s(job)
        return self._next_deadline(job, now + max(0.0, run - ran_s)) != self._next_deadline(job, now + run)

    def _next_deadline(self, job: Job, earliest: float) -> float | None:
        """The first deadline of the job, or of the jobs that wait for it, that is not before ``earliest``."""
        if job.spec.deadline_s is not None:
            deadlines = [job.accepted_at + times * job.spec.deadline_s for times in self.deadline_multiples]
        else:
            deadlines = [job.ready_since + within_s for within_s in self.finish_within_s.get(job.spec.job_class, ())]
        if job.due is not None:
            until, allowed = job.due
            deadlines += [until - self.wall_offset + (times - 1) * allowed for times in self.deadline_multiples]
        max_wait_s = self.max_wait_s.get(job.spec.job_class)
        if max_wait_s is not None and not job.spec.service:
            deadlines.append(job.ready_since + max_wait_s + self.run_s(job))
        return min((deadline for deadline in deadlines if deadline >= earliest), default=None)

    def rating(self, job: Job, now: float) -> tuple[bool, int]:
        """Sort key: jobs that can still meet a deadline come first, then late jobs.

        Among jobs that can be on time the least remaining work comes first, which maximizes the number of jobs that
        are on time under overload. Late jobs are ordered by age. Both keys are coarse, so that the pick order of the
        queues (locality, then smallest id) decides among jobs of equal rating.
        """
        if job.spec.service:
            return False, 0
        if self.due(job, now) is None:
            return True, self.ready_step(job)
        return False, int(math.log2(max(1.0, job.waiting * job.spec.cpus * self.run_s(job))))

    def has_waited_long(self, job: Job, now: float) -> bool:
        """Whether an array has waited long enough to use the capacity reserved for old jobs."""
        max_wait_s = min(self.max_wait_s.get(job.spec.job_class, MAX_START_WAIT_S), MAX_START_WAIT_S)
        return not job.spec.service and now - job.ready_since > OLD_JOB_WAIT_SHARE * max_wait_s

    def ready_step(self, job: Job) -> int:
        """The time at which the job became ready, rounded to steps; a smaller number is an older job."""
        return int(job.ready_since / (READY_STEP_REPORT_INTERVALS * self.report_s))

    def slack(self, job: Job, now: float) -> float:
        """How long the job's tasks can wait without missing the job's deadline; 0 if it can meet none."""
        due = self.due(job, now)
        return 0.0 if due is None else max(0.0, due - now - self.run_s(job))
