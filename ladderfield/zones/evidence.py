"""Counts of the machines of one zone at one moment."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ZoneCounts:
    """Counts of a zone's machines that reported in this term or hold claims."""

    machines: int = 0
    impaired: int = 0  # silent, recently rerouted through another controller, or not receiving our answers
    silent: int = 0
    lease_expired: int = 0  # silent machines whose lease has certainly expired
    reporting_directly: int = 0  # recently reported to this controller without a relay

    @property
    def reporting(self) -> int:
        """Machines that report."""
        return self.machines - self.silent

    @property
    def recently_silent(self) -> int:
        """Silent machines whose lease may still be valid, so that their tasks may still run."""
        return self.silent - self.lease_expired
