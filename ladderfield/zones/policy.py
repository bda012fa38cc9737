"""What the scheduler asks about zones, answered as if no zone ever failed: the behaviour with the feature off."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from ladderfield.zones.evidence import ZoneCounts

if TYPE_CHECKING:
    from ladderfield.jobs.model import JobSpec
    from ladderfield.queues.pick import Tier
    from ladderfield.queues.work import Claim, Job
    from ladderfield.workers.machine import Machine
    from ladderfield.zones.record import ZoneRecord


class ZonePolicy:
    """Allows everything and remembers nothing."""

    record: ZoneRecord | None = None  # what a successor has to know, if anything

    def load(self, value: Any, stamp: int, now: float) -> None:
        """Take over what an earlier leader left on record."""

    def observe(self, counts: Mapping[str, ZoneCounts], now: float) -> None:
        """What is known of the machines of each zone now."""

    def delay(self, now: float) -> None:
        """Nothing can be started now: no time runs for what waits for a start."""

    def controllers_checked(self, reachable: Mapping[str, bool]) -> None:
        """Whether any controller of each zone answered lately."""

    def begin_pass(self, usable: Iterable[Machine], now: float) -> None:
        """A pass of scheduling begins."""

    def order_tiers(self, tiers: list[Tier]) -> list[Tier]:
        """The tiers in the order in which they get room."""
        return tiers

    def asks_last(self, machine: Machine) -> bool:
        """Whether the machine gets tasks only where no other has room."""
        return False

    def admits(self, machine: Machine, job: Job) -> bool:
        """Whether a task of the job may start on the machine now, as far as zones are concerned."""
        return True

    def rents_in(self, zone: str, spec: JobSpec, now: float) -> bool:
        """Whether machines may be rented there for tasks of the job."""
        return True

    def claimed(self, claim: Claim, machine: Machine) -> None:
        """A claim was made in the present pass."""

    def ended(self, claim: Claim, machine: Machine, done: bool, now: float) -> None:
        """A claim no longer binds."""

    def runs(self, claim: Claim, machine: Machine, now: float) -> None:
        """A task was seen to run for the first time."""

    def restarted(self, machine: Machine) -> None:
        """A machine came back with a new session: its lease had run out, and all that it ran is lost."""

    def forgotten(self, machine: Machine, lost: bool, now: float) -> None:
        """A machine is gone for good; ``lost``: it was silent, and had work."""
