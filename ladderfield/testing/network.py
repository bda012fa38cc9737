"""A network in memory: addresses, who answers there, and cuts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing

from ladderfield.http import Reply, Request, Server

Handler = Callable[[Request], Awaitable[Reply]]


class Network:
    """Addresses and who answers there; ``cut`` addresses are silent."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.serving: dict[tuple[str, int], Callable[[Any], Awaitable[None]]] = {}
        self.cut: set[str] = set()
        self.cut_ports: set[tuple[str, int]] = set()  # the same for single ports
        self._open: dict[tuple[str, int], list[trio.CancelScope]] = {}  # connections, by whom they lead to

    def listen(self, text: str, serve: Callable[[Any], Awaitable[None]]) -> None:
        """Somebody answers at an address."""
        host, _, port = text.partition(":")
        self.serving[host, int(port)] = serve

    def http(self, text: str, handler: Handler) -> None:
        """Somebody answers HTTP at an address."""
        self.listen(text, Server(handler, 100, 5.0, 60.0))

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Stands for ``ladderfield.http.connect``."""
        if host in self.cut or (host, port) in self.cut_ports:
            await trio.sleep_forever()
        if (host, port) not in self.serving:
            raise OSError("refused")
        ours, theirs = trio.testing.memory_stream_pair()
        scope = trio.CancelScope()
        self._open.setdefault((host, port), []).append(scope)
        self.nursery.start_soon(self._serve, self.serving[host, port], theirs, scope)
        return ours

    async def _serve(self, serve: Callable[[Any], Awaitable[None]], stream: Any, scope: trio.CancelScope) -> None:
        with scope:
            await serve(stream)
        await trio.aclose_forcefully(stream)

    def close(self, text: str) -> None:
        """Who answered at an address is gone, and with it its connections."""
        host, _, port = text.partition(":")
        self.serving.pop((host, int(port)), None)
        for scope in self._open.pop((host, int(port)), ()):
            scope.cancel()
