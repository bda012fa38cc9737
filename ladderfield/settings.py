"""The settings file that the platform gives to every controller.

Unknown fields are ignored, so that the platform can add some. Intervals, timeouts, leases and budgets that depend on
the deployment are derived as ratios of these settings, here or where they are used.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


MAX_RECORD_SHARE = 15 / 16  # of the state service's limit on the size of a value
MAX_TXN_VALUE_BYTES = (
    48 * 1024
)  # of the protocol's limit of 64 KiB on a transaction; the rest is for guards and framing


class SettingsError(Exception):
    """The settings file is invalid; the message is one line that names the field."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller; ``endpoint`` is its ``back`` address."""

    member: str
    endpoint: str
    location: str = ""


class ExternalServices(msgspec.Struct, frozen=True):
    """Addresses of the cloud API and the state service of the region."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 means none is set."""

    name: str
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective for starting or finishing jobs, with the fields that scheduling uses."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    """Timing of the workers: report interval, lease and time allowed for a cancellation."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will change to at an unknown time; absent ones stay as they are."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service for all controllers together.

    It isn't known when ``next`` takes effect, so each limit is the smaller of the current and the next one from the
    start. No caller can then use a limit that no longer holds.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count
    next: NextLimits | None = None

    @property
    def max_record_bytes(self) -> int:
        """The size up to which a record is written, in bytes."""
        return int(min(self.value_kb * 1024, MAX_TXN_VALUE_BYTES) * MAX_RECORD_SHARE)

    def __post_init__(self) -> None:
        """Lower each limit to that of ``next`` where this is smaller."""
        for field in NextLimits.__struct_fields__:
            upcoming = getattr(self.next, field, None)
            if upcoming is not None and upcoming < getattr(self, field):
                msgspec.structs.force_setattr(self, field, upcoming)


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud API for all controllers together."""

    rps: Positive
    list_lag_s: NonNegative


class Quota(msgspec.Struct, frozen=True):
    """Resources that this process may use."""

    cores: Positive
    ram_mb: Positive
    max_connections: Count


class Cluster(msgspec.Struct, frozen=True):
    """Settings that are the same for all controllers."""

    size: Count
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    quota: Quota
    objectives: list[Objective] = []
    clock_off_ms: NonNegative = 0.0


class Settings(msgspec.Struct, frozen=True):
    """One controller's settings."""

    member: str
    bind: str
    back: str
    outside: ExternalServices
    cluster: Cluster
    location: str = ""
    peers: list[Peer] = []


def address(text: str) -> tuple[str, int]:
    """Split ``host:port``; ValueError if the text has another form."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not 0 < int(port) < 65536:
        raise ValueError(f"not a host:port address: {text!r}")
    return host, int(port)


def load(path: Path) -> Settings:
    """Read and validate the file; SettingsError names the invalid field in one line."""
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from None
    addresses = {"bind": settings.bind, "back": settings.back}
    addresses |= {"outside.cloud": settings.outside.cloud, "outside.state": settings.outside.state}
    addresses |= {f"peers[{index}].endpoint": peer.endpoint for index, peer in enumerate(settings.peers)}
    for field, text in addresses.items():
        try:
            address(text)
        except ValueError:
            raise SettingsError(f"{path}: not a host:port address - at `$.{field}`") from None
    return settings
