"""Runs a controller that samples its own stack, to profile a leader under load.

    python -m benchmarks.sampled_controller serve --config SETTINGS.json

Tracing every call would multiply the cost of small functions; one sample every few milliseconds adds little. On an
interrupt it prints the functions with the most samples, by own and by cumulative count, to standard error.
"""

from __future__ import annotations

import signal
import sys
from collections import Counter
from types import FrameType

from ladderfield.cli import main

SAMPLE_INTERVAL_S = 0.004  # of CPU time
MAX_LINES = 45


class Sampler:
    """Counts samples by function: at the top of the stack, and anywhere on it."""

    def __init__(self) -> None:
        self.own: Counter[str] = Counter()
        self.cumulative: Counter[str] = Counter()
        self.samples = 0

    def sample(self, _: int, frame: FrameType | None) -> None:
        """Take a sample."""
        self.samples += 1
        seen: set[str] = set()
        while frame is not None:
            code = frame.f_code
            name = f"{code.co_filename.rsplit('/', 1)[-1]}:{code.co_name}"
            if not seen:
                self.own[name] += 1
            seen.add(name)
            frame = frame.f_back
        self.cumulative.update(seen)

    def print_report(self) -> None:
        """Print both lists."""
        for title, counts in (("itself", self.own), ("with what it calls", self.cumulative)):
            print(f"-- {title}, of {self.samples} samples", file=sys.stderr)
            for name, count in counts.most_common(MAX_LINES):
                print(f"{100 * count / max(1, self.samples):5.1f}% {name}", file=sys.stderr)


if __name__ == "__main__":
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.sample)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
    try:
        main()
    finally:
        sampler.print_report()
