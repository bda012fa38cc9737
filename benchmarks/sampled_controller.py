"""A controller that samples its own stack, to see where a loaded leader's time goes.

    python -m benchmarks.sampled_controller serve --config SETTINGS.json

Tracing every call would multiply the cost of small functions; a sample each few milliseconds hardly changes it. At an
interrupt it writes the functions with the most samples, themselves and with what they call, to standard error.
"""

from __future__ import annotations

import signal
import sys
from collections import Counter
from types import FrameType

from ladderfield.cli import main

EVERY_S = 0.004  # of processor time
MOST = 45  # lines


class Sampler:
    """Counts the functions on the stack."""

    def __init__(self) -> None:
        self.inner: Counter[str] = Counter()
        self.whole: Counter[str] = Counter()
        self.samples = 0

    def take(self, _: int, frame: FrameType | None) -> None:
        """Take a sample."""
        self.samples += 1
        seen: set[str] = set()
        while frame is not None:
            code = frame.f_code
            name = f"{code.co_filename.rsplit('/', 1)[-1]}:{code.co_name}"
            if not seen:
                self.inner[name] += 1
            seen.add(name)
            frame = frame.f_back
        self.whole.update(seen)

    def show(self) -> None:
        """Write both lists."""
        for title, counts in (("itself", self.inner), ("with what it calls", self.whole)):
            print(f"-- {title}, of {self.samples} samples", file=sys.stderr)
            for name, count in counts.most_common(MOST):
                print(f"{100 * count / max(1, self.samples):5.1f}% {name}", file=sys.stderr)


if __name__ == "__main__":
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.take)
    signal.setitimer(signal.ITIMER_PROF, EVERY_S, EVERY_S)
    try:
        main()
    finally:
        sampler.show()
