"""Counts of one term about messages that were repeated, refused or fenced off, for the log."""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 60.0


@dataclass
class DeliveryCounts:
    """What happened to orders and reports beside their ordinary way."""

    raised_tokens: int = 0
    refused_pushes: int = 0  # answered 409
    repeated_reports: int = 0  # no newer than one that was processed before
    most_kept_attempts: int = 0  # ended attempts that one machine had to keep listed at the same time


class DeliveryLog:
    """Logs the counts of a term once a minute, if they have changed."""

    def __init__(self, epoch: int, counts: DeliveryCounts, now: float) -> None:
        self.epoch, self.counts = epoch, counts
        self._logged, self._logged_at = replace(counts), now

    def observe(self, now: float) -> None:
        """Log the counts if that is due."""
        if now - self._logged_at < LOG_INTERVAL_S or self.counts == self._logged:
            return
        self._logged, self._logged_at = replace(self.counts), now
        log.info(
            "epoch %d: tokens raised %d times, %d pushes refused, %d reports repeated, at most %d ended attempts kept",
            self.epoch,
            self.counts.raised_tokens,
            self.counts.refused_pushes,
            self.counts.repeated_reports,
            self.counts.most_kept_attempts,
        )
