"""Which token a machine's messages carry, and which launches a copy of an order could still carry out there."""

from __future__ import annotations

import logging

from ladderfield.tokens import first_token
from ladderfield.workers.machine import Machine

log = logging.getLogger(__name__)


class Fencing:
    """The tokens of one term. Each machine has its own, which only rises.

    Orders pushed to ``/orders`` may be carried out any number of times and at any later time, as long as their token is
    the highest that the worker has seen. So no copy of a launch can be, once the worker has seen a higher one.
    """

    def __init__(self, epoch: int) -> None:
        self.first, self.last = first_token(epoch), epoch

    def owns(self, token: int) -> bool:
        """Whether the token belongs to this term; a machine that shows it has accepted this leader."""
        return self.first <= token <= self.last

    def token(self, machine: Machine) -> int:
        """The token of the next message to the machine."""
        return max(machine.token, self.first)

    def was_never_sent(self, machine: Machine, token: int) -> bool:
        """Whether the machine shows a token of this term that it was never sent."""
        return self.owns(token) and token > self.token(machine)

    def may_push_launches(self, machine: Machine) -> bool:
        """Whether a higher token remains, without which a pushed attempt could never be reaped."""
        return self.token(machine) < self.last

    def note_pushed_launch(self, machine: Machine, attempt: int) -> None:
        """Note that a launch of the attempt is pushed with the machine's current token."""
        machine.pushed_launches[attempt] = self.token(machine)

    def excludes_copies(self, machine: Machine, attempt: int) -> bool:
        """Whether the machine's current token makes it refuse every pushed launch of the attempt."""
        return machine.pushed_launches.get(attempt, 0) < self.token(machine)

    def on_token_shown(self, machine: Machine, token: int) -> None:
        """Forget the pushed launches that a machine refuses that has seen the token."""
        machine.pushed_launches = {
            attempt: pushed for attempt, pushed in machine.pushed_launches.items() if pushed >= token
        }

    def raise_token(self, machine: Machine, reason: str, now: float) -> bool:
        """Give the machine a higher token; False if there is none."""
        token = self.token(machine)
        if token >= self.last:
            return False
        machine.token, machine.token_raised_at = token + 1, now
        log.debug("machine %s: token raised to %d: %s", machine.host, machine.token, reason)
        if machine.token == self.last:
            log.info("machine %s: token %d is the last of this term, no more launches are pushed", machine.host, token)
        return True
