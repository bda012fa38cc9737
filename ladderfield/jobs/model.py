"""Job descriptions, machine types and job records. Wire names are mapped to internal names here."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Iterable, Mapping
from typing import Annotated, Any, Literal, NamedTuple

import msgspec

from ladderfield.settings import Team

log = logging.getLogger(__name__)

# Accepted jobs. A record is named after its first job and deleted once all of its jobs have ended and none of their
# tasks is on a machine.
JOB_PREFIX = "lf/j/"
FINAL_PREFIX = "lf/f/"  # a job's final state; never deleted
PAGE_PREFIX = "lf/p/"  # claims and finished task ranges; one page holds entries of many jobs

PRODUCTION, URGENT, STANDARD, BEST_EFFORT = "production", "urgent", "standard", "best_effort"
RANKS = {PRODUCTION: 0, URGENT: 1, STANDARD: 2, BEST_EFFORT: 3}
DONE, CANCELLED = "done", "cancelled"
CLAIM_BYTES = 64  # approximate size of a claim in a record

_UID = re.compile(r"req-[0-9]{1,18}\Z")
_MAX_AMOUNT = 1e9  # larger than any real amount; also rejects infinities
Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as submitted by a user."""

    uid: str
    job_class: str = msgspec.field(name="jobclass")
    team: str = msgspec.field(name="owner")
    shape: Literal["array", "daemon"]
    rank: Literal["production", "urgent", "standard", "best_effort"]
    tasks: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = msgspec.field(name="rungs")
    cpus: Amount = msgspec.field(name="cores")
    gpus: Amount = msgspec.field(name="cards")
    memory_gb: Amount = msgspec.field(name="memoryGb")
    image: str = msgspec.field(name="bundle")
    image_gb: Amount = msgspec.field(name="sizeGb")
    one_zone: bool = msgspec.field(name="oneZone")
    spread: bool
    spot: bool = msgspec.field(name="loaners")
    estimate_s: Amount = msgspec.field(name="expectS")
    checkpoint_interval_s: Amount = msgspec.field(name="markEveryS")
    checkpoint_save_s: Amount = msgspec.field(name="markCostS")
    types: list[str] | None = msgspec.field(name="flavours", default=None)
    zone: str | None = msgspec.field(name="yard", default=None)
    deadline_s: Amount | None = msgspec.field(name="dueS", default=None)
    needs: list[str] | None = msgspec.field(name="waitsOn", default=None)  # jobs that have to finish first

    @property
    def service(self) -> bool:
        """Whether the tasks are replicas that run until the job is cancelled."""
        return self.shape == "daemon"


class MachineType(msgspec.Struct, frozen=True):
    """A machine type as described by the cloud."""

    name: str
    cpus: Amount = msgspec.field(name="cores")
    gpus: Amount = msgspec.field(name="cards")
    memory_gb: Amount = msgspec.field(name="memoryGb")
    cache_gb: Amount = msgspec.field(name="cacheGb")
    fetch_gb_per_s: Amount = msgspec.field(name="pullGbPerS")
    price: Amount
    spot_price: Amount = msgspec.field(name="lowPrice")
    boot_s: Amount = msgspec.field(name="readyS")
    zones: list[str] = msgspec.field(name="yards")

    def fetch_s(self, gb: float) -> float:
        """Time to fetch an image of this size. A reported rate of 0 must not cause a division by zero."""
        return gb / max(self.fetch_gb_per_s, 1e-3)


class MalformedJobError(Exception):
    """The request body is not a valid job; answered with 400."""


def parse_job(body: bytes) -> JobSpec:
    """Decodes and validates a submitted job; raises MalformedJobError with the reason."""
    try:
        spec = msgspec.json.decode(body, type=JobSpec)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedJobError(str(error)) from None
    if not valid_uid(spec.uid):
        raise MalformedJobError("not a job id - at `$.uid`")
    if not spec.needs:
        return msgspec.structs.replace(spec, needs=None)
    for uid in spec.needs:
        if not valid_uid(uid) or uid == spec.uid:
            raise MalformedJobError("not the ids of other jobs - at `$.waitsOn`")
    return msgspec.structs.replace(spec, needs=list(dict.fromkeys(spec.needs)))


def valid_uid(uid: str) -> bool:
    """Whether the string has the form of a job id."""
    return _UID.match(uid) is not None


def fits(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether one task fits an empty machine of an allowed type."""
    if spec.types is not None and machine_type.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in machine_type.zones:
        return False
    return (
        spec.cpus <= machine_type.cpus and spec.gpus <= machine_type.gpus and spec.memory_gb <= machine_type.memory_gb
    )


def fits_any(spec: JobSpec, machine_types: Iterable[MachineType]) -> bool:
    """Whether one task fits an empty machine of any of these types."""
    return any(fits(spec, machine_type) for machine_type in machine_types)


def infeasible_reason(spec: JobSpec, machine_types: Iterable[MachineType], teams: Mapping[str, Team]) -> str | None:
    """Returns why the job can never run (answered with 422), or None; ``machine_types`` are all that there are."""
    reason = over_limit_reason(spec, teams)
    if reason is None and not fits_any(spec, machine_types):
        reason = "a task fits no allowed machine type"
    return reason


def over_limit_reason(spec: JobSpec, teams: Mapping[str, Team]) -> str | None:
    """Returns why the job can never run whatever machine types there are, or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    min_tasks = spec.tasks if spec.service else 1
    if (team.cpus_max and min_tasks * spec.cpus > team.cpus_max) or (
        team.gpus_max and min_tasks * spec.gpus > team.gpus_max
    ):
        return "over the team's limit"
    return None


def block_size(value_kb: float) -> int:
    """Tasks per block, chosen so that all claims of a block fit into one value of the state service."""
    return max(1, int(value_kb * 1024 / CLAIM_BYTES))


def page_key(number: int) -> str:
    """The key of a page. Page numbers are consecutive and start at 0."""
    return f"{PAGE_PREFIX}{number}"


def block_count(tasks: int, size: int) -> int:
    """Number of blocks of a job."""
    return math.ceil(tasks / size)


class DecodedTypes(NamedTuple):
    """Machine types by name, and how many entries of the list are none that can be read."""

    types: dict[str, MachineType]
    unreadable: int


def decode_types(entries: Any) -> DecodedTypes:
    """Decodes machine types from the cloud's answer or from a record; entries that can't be read are counted."""
    types: dict[str, MachineType] = {}
    unreadable = 0
    for entry in entries if isinstance(entries, list) else []:
        try:
            machine_type = msgspec.convert(entry, MachineType)
        except msgspec.ValidationError as error:
            log.error("left out a machine type that can't be read: %.200r: %s", entry, error)
            unreadable += 1
        else:
            types[machine_type.name] = machine_type
    return DecodedTypes(types, unreadable)
