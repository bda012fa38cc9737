"""Scripted peers for the tests: a state service, a cloud and workers that speak the protocol over memory streams.

They follow the protocol's words, not any implementation's; what a test wants to go wrong (silence, outages, late
copies) is a switch on them. With ``trio.testing.MockClock`` a day passes in the time its code takes.
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
