"""Teams: what their claims use, their limits, and whose guarantee is open.

Usage counts claims, not sightings: a claim that may still come to life counts in full.
"""

from __future__ import annotations

from collections.abc import Iterable

from ladderfield.jobs.model import JobSpec
from ladderfield.settings import Team

SLACK = 1e-9


class Teams:
    """The account of all teams."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self.teams = {team.name: team for team in teams}
        self.cpus = dict.fromkeys(self.teams, 0.0)
        self.gpus = dict.fromkeys(self.teams, 0.0)

    def add(self, spec: JobSpec, count: int = 1) -> None:
        """A claim begins to bind (or, with -1, ends)."""
        self.cpus[spec.team] = self.cpus.get(spec.team, 0.0) + count * spec.cpus
        self.gpus[spec.team] = self.gpus.get(spec.team, 0.0) + count * spec.gpus

    def room(self, spec: JobSpec) -> int:
        """How many more tasks of this shape the team's limit allows now."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        rooms = [spec.tasks]
        if team.cpus_max and spec.cpus:
            rooms.append(int((team.cpus_max - self.cpus[spec.team] + SLACK) / spec.cpus))
        if team.gpus_max and spec.gpus:
            rooms.append(int((team.gpus_max - self.gpus[spec.team] + SLACK) / spec.gpus))
        return max(0, min(rooms))

    def over_limit(self, spec: JobSpec) -> float:
        """By how many cpus one more such task would exceed the team's limit."""
        team = self.teams.get(spec.team)
        if team is None or not team.cpus_max:
            return 0.0
        return max(0.0, self.cpus[spec.team] + spec.cpus - team.cpus_max - SLACK)

    def guaranteed(self, spec: JobSpec) -> bool:
        """Whether one more such task stays within the team's guarantee."""
        team = self.teams.get(spec.team)
        if team is None:
            return False
        cpus_ok = self.cpus[spec.team] + spec.cpus <= team.cpus + SLACK
        gpus_ok = self.gpus[spec.team] + spec.gpus <= team.gpus + SLACK
        return cpus_ok and gpus_ok and (team.cpus > 0 or team.gpus > 0)

    def owed(self, spec: JobSpec) -> int:
        """How many more such tasks the team's guarantee holds."""
        team = self.teams.get(spec.team)
        if team is None or not spec.cpus:
            return 0
        return max(0, int((team.cpus - self.cpus[spec.team] + SLACK) / spec.cpus))

    def borrowed(self) -> dict[str, float]:
        """The cpus that teams run beyond their guarantees."""
        return {name: max(0.0, self.cpus[name] - team.cpus) for name, team in self.teams.items()}
