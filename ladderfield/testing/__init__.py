"""Test doubles: a state service, a cloud and workers that speak the protocol over in-memory streams.

They are written from the protocol, not from an implementation of it. Failures (silence, outages, delayed duplicates)
are switches on them. With ``trio.testing.MockClock`` a simulated day takes only the time that its code needs.
"""

from ladderfield.testing.cloud_service import CloudService
from ladderfield.testing.network import Network
from ladderfield.testing.samples import REPORT, SETTINGS, TYPES, accepted, job, settings
from ladderfield.testing.state_service import StateService
from ladderfield.testing.worker import Worker

__all__ = [
    "REPORT",
    "SETTINGS",
    "TYPES",
    "CloudService",
    "Network",
    "StateService",
    "Worker",
    "accepted",
    "job",
    "settings",
]
