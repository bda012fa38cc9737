"""Descriptions of jobs that are too large for one record: in several records, which the job's record names.

A description is compressed text, cut into parts. The job's record is written after all parts and names their digest,
so a job that is on record can be read as a whole. Parts are deleted only once no record of the job can refer to them.
"""

from __future__ import annotations

import hashlib
import logging
import math
import zlib
from base64 import b85decode, b85encode
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ladderfield.http import encode
from ladderfield.jobs.model import JOB_PREFIX, JobSpec

log = logging.getLogger(__name__)

DESCRIPTION_PREFIX = "lf/jd/"  # after JOB_PREFIX, so that a page by page read finds the parts of each job it has found
DIGEST_BYTES = 16
MIN_TEXT_BYTES = 64  # of a part


class DescriptionPart(msgspec.Struct, frozen=True):
    """The record of one part."""

    digest: str  # of the whole description
    text: str


class DescriptionReference(msgspec.Struct, frozen=True):
    """What the job's record says instead of the description itself."""

    digest: str
    parts: int


class Description(msgspec.Struct, frozen=True):
    """A description as it is put on record: the parts in this order, the reference after them."""

    reference: DescriptionReference
    parts: dict[str, Any]

    @property
    def first_key(self) -> str:
        """The key of the first part."""
        return next(iter(self.parts))


class MissingDescriptionError(Exception):
    """The records do not have the whole description that the job's record refers to."""


def part_key(uid: str, number: int) -> str:
    """The key of a part; parts are numbered from 0."""
    return f"{DESCRIPTION_PREFIX}{uid}/{number}"


def uid_of(key: str) -> str:
    """The job whose description the record with this key is a part of."""
    return key.removeprefix(DESCRIPTION_PREFIX).partition("/")[0]


def number_of(key: str) -> int:
    """The number of the part that the record with this key is."""
    return int(key.rpartition("/")[2])


def describe(spec: JobSpec, max_bytes: int) -> Description:
    """Divide a job's description into records of at most ``max_bytes`` each."""
    text = encode(msgspec.to_builtins(spec))
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
    packed = b85encode(zlib.compress(text)).decode()
    frame_bytes = len(encode(DescriptionPart(digest, "")))
    room = max(MIN_TEXT_BYTES, max_bytes - frame_bytes)
    count = math.ceil(len(packed) / room)
    parts = {
        part_key(spec.uid, number): msgspec.to_builtins(
            DescriptionPart(digest, packed[number * room : (number + 1) * room])
        )
        for number in range(count)
    }
    return Description(DescriptionReference(digest, count), parts)


def recorded_spec(uid: str, entry: Mapping[str, Any], get: Callable[[str], Any]) -> Any:
    """The description of a job that is on record, as builtins; raises MissingDescriptionError.

    Args:
        uid: the job.
        entry: what the job's record says of it.
        get: returns the value of a key, or None.
    """
    if "spec" in entry:
        return entry["spec"]
    try:
        reference = msgspec.convert(entry["description"], DescriptionReference)
        packed = "".join(_part_text(get(part_key(uid, number)), reference) for number in range(reference.parts))
        return msgspec.json.decode(zlib.decompress(b85decode(packed)))
    except (KeyError, ValueError, zlib.error, msgspec.MsgspecError) as error:
        raise MissingDescriptionError(f"the description of {uid} can't be read: {error}") from None


def _part_text(value: Any, reference: DescriptionReference) -> str:
    part = msgspec.convert(value, DescriptionPart)
    if part.digest != reference.digest:
        raise ValueError("a part belongs to another description")
    return part.text


class AcceptedJob(msgspec.Struct, frozen=True):
    """A job on record."""

    spec: JobSpec
    at: float  # time of day of its acceptance
    block: int  # tasks per block


class RecordedJobs(msgspec.Struct, frozen=True):
    """The accepted jobs of a record, by id, and what of it can't be read."""

    jobs: dict[str, AcceptedJob]
    unreadable: list[str]


def jobs_in_record(key: str, value: Any, get: Callable[[str], Any]) -> RecordedJobs:
    """The accepted jobs in a record; ``get`` returns the value of a key, or None.

    A record of an older version holds a single job without the outer map. A job whose description is gone has ended:
    the view that still has its record is about to learn that.
    """
    found = RecordedJobs({}, [])
    entries = value.get("jobs", {key.removeprefix(JOB_PREFIX): value}) if isinstance(value, dict) else None
    if not isinstance(entries, dict):
        return RecordedJobs({}, [key])
    for uid, entry in entries.items():
        try:
            accepted = {"spec": recorded_spec(uid, entry, get), "at": entry["at"], "block": entry["block"]}
            found.jobs[uid] = msgspec.convert(accepted, AcceptedJob)
        except (MissingDescriptionError, KeyError, TypeError, ValueError) as error:
            log.error("job %s is left out, as its record can't be read: %s", uid, error)
            found.unreadable.append(uid)
    return found
