"""Delivers requests once more that were carried out before, as a network may that keeps copies of them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import trio

from ladderfield.http import Client, NoAnswerError, Reply, Request

MIN_DELAY_S, MAX_DELAY_S = 0.2, 600.0
ANSWER_TIMEOUT_S = 5.0
MAX_SUCCESS_STATUS = 299

Handler = Callable[[Request], Awaitable[Reply]]


class Repeater:
    """Repeats a share of the requests that were carried out, seeded; nobody waits for the answers to the copies."""

    def __init__(self, nursery: trio.Nursery, seed: int, share: float) -> None:
        self.nursery, self.random, self.share = nursery, Random(seed), share
        self.repeated: Counter[str] = Counter()  # path -> copies sent

    def wrap(self, address: str, handler: Handler) -> Handler:
        """A handler that does the same, and repeats some of its requests later."""

        async def handle(request: Request) -> Reply:
            reply = await handler(request)
            if request.method != "GET" and reply.status <= MAX_SUCCESS_STATUS:
                while self.random.random() < self.share:
                    self.nursery.start_soon(self._repeat, address, request, self._delay_s())
            return reply

        return handle

    def _delay_s(self) -> float:
        """A delay, of which each factor of ten is as likely as any other."""
        return math.exp(self.random.uniform(math.log(MIN_DELAY_S), math.log(MAX_DELAY_S)))

    async def _repeat(self, address: str, request: Request, delay_s: float) -> None:
        await trio.sleep(delay_s)
        host, _, port = address.partition(":")
        body = msgspec.Raw(request.body) if request.body else None
        self.repeated[request.path] += 1
        client = Client(host, int(port), max_idle=0)
        try:
            await client.call(request.method, request.path, body, ANSWER_TIMEOUT_S)
        except (NoAnswerError, OSError):
            return  # the process has ended, or the machine is cut off
