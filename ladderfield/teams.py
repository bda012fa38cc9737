"""Usage of the teams against their limits and guarantees.

Usage is counted from claims, not from the tasks that workers report: a claim whose task may still start counts in full.
"""

from __future__ import annotations

from collections.abc import Iterable

from ladderfield.jobs.model import JobSpec
from ladderfield.settings import Team

ROUNDING_SLACK = 1e-9  # cpus or gpus


class Teams:
    """The usage, limits and guarantees of all teams."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self.teams = {team.name: team for team in teams}
        self.cpus = dict.fromkeys(self.teams, 0.0)
        self.gpus = dict.fromkeys(self.teams, 0.0)

    def add(self, spec: JobSpec, count: int = 1) -> None:
        """Add the usage of ``count`` claims; a negative count removes it."""
        self.cpus[spec.team] = self.cpus.get(spec.team, 0.0) + count * spec.cpus
        self.gpus[spec.team] = self.gpus.get(spec.team, 0.0) + count * spec.gpus

    def room(self, spec: JobSpec) -> int:
        """How many more of the job's tasks fit into the team's limit, at most all of them."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        bounds = [spec.tasks]
        if team.cpus_max and spec.cpus:
            bounds.append(int((team.cpus_max - self.cpus[spec.team] + ROUNDING_SLACK) / spec.cpus))
        if team.gpus_max and spec.gpus:
            bounds.append(int((team.gpus_max - self.gpus[spec.team] + ROUNDING_SLACK) / spec.gpus))
        return max(0, min(bounds))

    def cpus_over_limit(self, spec: JobSpec) -> float:
        """By how many cpus one more of the job's tasks would exceed the team's limit."""
        team = self.teams.get(spec.team)
        if team is None or not team.cpus_max:
            return 0.0
        return max(0.0, self.cpus[spec.team] + spec.cpus - team.cpus_max - ROUNDING_SLACK)

    def guaranteed(self, spec: JobSpec) -> bool:
        """Whether one more of the job's tasks stays within the team's guarantee."""
        team = self.teams.get(spec.team)
        if team is None:
            return False
        cpus_ok = self.cpus[spec.team] + spec.cpus <= team.cpus + ROUNDING_SLACK
        gpus_ok = self.gpus[spec.team] + spec.gpus <= team.gpus + ROUNDING_SLACK
        return cpus_ok and gpus_ok and (team.cpus > 0 or team.gpus > 0)

    def tasks_within_guarantee(self, spec: JobSpec) -> int:
        """How many more of the job's tasks fit into the team's guaranteed cpus."""
        team = self.teams.get(spec.team)
        if team is None or not spec.cpus:
            return 0
        return max(0, int((team.cpus - self.cpus[spec.team] + ROUNDING_SLACK) / spec.cpus))

    def borrowed(self) -> dict[str, float]:
        """The cpus that each team uses beyond its guarantee."""
        return {name: max(0.0, self.cpus[name] - team.cpus) for name, team in self.teams.items()}
