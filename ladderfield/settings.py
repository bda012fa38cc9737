"""The settings file that the platform hands to every controller.

Fields the program does not use are ignored, so that the platform can add some. Everything that depends on the
deployment's pace (pauses, leases, budgets) is derived here or at its use as a ratio to these figures.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class SettingsError(Exception):
    """The settings file can't be used; the text is one line that names the field."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller, reached at its ``back`` address."""

    member: str
    endpoint: str
    location: str = ""


class Outside(msgspec.Struct, frozen=True):
    """Addresses of the region's services."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 means none is set."""

    name: str
    cpus: NotNegative = 0.0
    cpus_max: NotNegative = 0.0
    gpus: NotNegative = 0.0
    gpus_max: NotNegative = 0.0


class Objective(msgspec.Struct, frozen=True):
    """An aim on starting or finishing, as far as scheduling can use it."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    """Pace of the workers."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on; what is absent stays."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """What the state service allows all controllers together.

    The moment when ``next`` comes into force is not told, so each figure is the smaller one from the start: whoever
    asks for one can't ask for the wrong one.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count
    next: NextLimits | None = None

    def __post_init__(self) -> None:
        """Take the smaller of each figure and the one that is to come."""
        for field in NextLimits.__struct_fields__:
            coming = getattr(self.next, field, None)
            if coming is not None and coming < getattr(self, field):
                msgspec.structs.force_setattr(self, field, coming)


class CloudLimits(msgspec.Struct, frozen=True):
    """What the cloud allows all controllers together."""

    rps: Positive
    list_lag_s: NotNegative


class Quota(msgspec.Struct, frozen=True):
    """This process's own bounds."""

    cores: Positive
    ram_mb: Positive
    max_connections: Count


class Cluster(msgspec.Struct, frozen=True):
    """What all controllers share."""

    size: Count
    zones: list[str]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    quota: Quota
    objectives: list[Objective] = []
    clock_off_ms: NotNegative = 0.0


class Settings(msgspec.Struct, frozen=True):
    """One controller's settings."""

    member: str
    bind: str
    back: str
    outside: Outside
    cluster: Cluster
    location: str = ""
    peers: list[Peer] = []


def address(text: str) -> tuple[str, int]:
    """Split ``host:port``; raises ValueError when it isn't that."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def load(path: Path) -> Settings:
    """Read and check the file; SettingsError says in one line what is wrong with which field."""
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror or error}") from None
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from None
    named = {"bind": settings.bind, "back": settings.back}
    named |= {"outside.cloud": settings.outside.cloud, "outside.state": settings.outside.state}
    named |= {f"peers[{n}].endpoint": peer.endpoint for n, peer in enumerate(settings.peers)}
    for field, text in named.items():
        try:
            address(text)
        except ValueError:
            raise SettingsError(f"{path}: not a host:port address - at `$.{field}`") from None
    return settings
