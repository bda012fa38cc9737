"""The scheduler's interface to zone handling; this default treats every zone as healthy (feature off)."""

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
    """Allows every placement and keeps no state."""

    record: ZoneRecord | None = None  # state for the next leader, None if there is none to store

    def load(self, value: Any, revision: int, now: float) -> None:
        """Restore the state that an earlier leader stored."""

    def observe(self, counts: Mapping[str, ZoneCounts], now: float) -> None:
        """Update zone states from the current machine counts of each zone."""

    def extend_holds(self, now: float) -> None:
        """Extend holds and probations by the time since the last update, because no task can start now."""

    def on_controllers_checked(self, reachable: Mapping[str, bool]) -> None:
        """Handle a check of the controllers: for each zone, whether any of its controllers answered recently."""

    def begin_pass(self, usable: Iterable[Machine], now: float) -> None:
        """Prepare for a scheduling pass over the usable machines."""

    def order_tiers(self, tiers: list[Tier]) -> list[Tier]:
        """Return the tiers in the order in which they are scheduled."""
        return tiers

    def is_last_resort(self, machine: Machine) -> bool:
        """Whether the machine gets tasks only if no other machine has room."""
        return False

    def admits(self, machine: Machine, job: Job) -> bool:
        """Whether the state of the machine's zone allows a task of the job to start there now."""
        return True

    def may_rent_in(self, zone: str, spec: JobSpec, now: float) -> bool:
        """Whether machines may be rented in the zone for tasks of the job."""
        return True

    def on_claim_made(self, claim: Claim, machine: Machine) -> None:
        """Handle a claim made in the current scheduling pass."""

    def on_claim_ended(self, claim: Claim, machine: Machine, done: bool, now: float) -> None:
        """Handle the end of a claim."""

    def on_task_running(self, claim: Claim, machine: Machine, now: float) -> None:
        """Handle the first report that shows a task running."""

    def on_machine_restarted(self, machine: Machine) -> None:
        """Handle a machine's new session: its lease had expired, and all its tasks were lost."""

    def on_machine_removed(self, machine: Machine, lost: bool, now: float) -> None:
        """Handle the removal of a machine; ``lost`` means that it was silent and held claims."""
