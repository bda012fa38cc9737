"""A job's description and its record; wire names stop here."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec

from ladderfield.http import encode
from ladderfield.settings import Team

log = logging.getLogger(__name__)

JOB = "lf/j/"  # accepted jobs, named after the first; deleted once all are over and nothing of them is on any machine
FINAL = "lf/f/"  # its final state; kept for good
PAGE = "lf/p/"  # claims and finished ranges, of many jobs in one record
TYPES = "lf/types"

PRODUCTION, URGENT, STANDARD, BEST_EFFORT = "production", "urgent", "standard", "best_effort"
RANKS = {PRODUCTION: 0, URGENT: 1, STANDARD: 2, BEST_EFFORT: 3}
DONE, CANCELLED = "done", "cancelled"
FULL = 15 / 16  # of the state service's limit on a value: what a record of ours may hold
BYTES_PER_TASK = 64  # about what a claim takes on record

_UID = re.compile(r"req-[0-9]{1,18}\Z")
_MOST = 1e9  # no amount in this field is larger; also keeps infinities out
Amount = Annotated[float, msgspec.Meta(ge=0, le=_MOST)]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a user submits."""

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
    checkpoint_s: Amount = msgspec.field(name="markEveryS")
    save_s: Amount = msgspec.field(name="markCostS")
    types: list[str] | None = msgspec.field(name="flavours", default=None)
    zone: str | None = msgspec.field(name="yard", default=None)
    deadline_s: Amount | None = msgspec.field(name="dueS", default=None)
    needs: list[str] | None = msgspec.field(name="waitsOn", default=None)  # jobs that have to be done first

    @property
    def service(self) -> bool:
        """Replicas that run until the job is cancelled."""
        return self.shape == "daemon"


class MachineType(msgspec.Struct, frozen=True):
    """What the cloud says of a type."""

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
        """How long an image takes to come; a rate of 0 is a strange answer and must not end anything."""
        return gb / max(self.fetch_gb_per_s, 1e-3)


class MalformedJobError(Exception):
    """Not a job: answered 400."""


def parse(body: bytes) -> JobSpec:
    """The submitted job, or MalformedJobError with the reason."""
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
    """Whether this could be a job's id at all."""
    return _UID.match(uid) is not None


def fits(spec: JobSpec, kind: MachineType) -> bool:
    """Whether one task fits an empty machine of an allowed type."""
    if spec.types is not None and kind.name not in spec.types:
        return False
    if spec.zone is not None and spec.zone not in kind.zones:
        return False
    return spec.cpus <= kind.cpus and spec.gpus <= kind.gpus and spec.memory_gb <= kind.memory_gb


def impossible(spec: JobSpec, kinds: Mapping[str, MachineType], teams: Mapping[str, Team]) -> str | None:
    """Why the job can never run (answered 422), or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if not any(fits(spec, kind) for kind in kinds.values()):
        return "a task fits no allowed machine type"
    least = spec.tasks if spec.service else 1
    if (team.cpus_max and least * spec.cpus > team.cpus_max) or (team.gpus_max and least * spec.gpus > team.gpus_max):
        return "over the team's limit"
    return None


def block_size(value_kb: float) -> int:
    """Tasks per block, so that all claims of a block fit one value of the state service."""
    return max(1, int(value_kb * 1024 / BYTES_PER_TASK))


def jobs_on(key: str, value: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """The accepted jobs on a record. One from before jobs shared records stands for itself."""
    return value["jobs"] if "jobs" in value else {key.removeprefix(JOB): value}


def page_key(number: int) -> str:
    """The key of a page; pages are numbered without gaps."""
    return f"{PAGE}{number}"


def block_count(tasks: int, size: int) -> int:
    """How many blocks a job has."""
    return math.ceil(tasks / size)


def types_record(value: Any, most_bytes: float) -> Any:
    """The cloud's machine types as they can be put on record.

    Whole, or else only what is read of them, or else as many as there is room for.
    """
    if len(encode(value)) <= most_bytes:
        return value
    kept = [msgspec.to_builtins(kind) for kind in parse_types(value).values()]
    while kept and len(encode(kept)) > most_bytes:
        log.error("machine type %s is left out: too many for a record", kept.pop()["name"])
    return kept


def parse_types(value: Any) -> dict[str, MachineType]:
    """Machine types from the cloud's answer or our copy of it; what can't be read is left out."""
    kinds = {}
    for item in value if isinstance(value, list) else []:
        try:
            kind = msgspec.convert(item, MachineType)
        except msgspec.ValidationError:
            continue
        kinds[kind.name] = kind
    return kinds
