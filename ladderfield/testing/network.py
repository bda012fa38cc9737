"""A network in memory: addresses, who answers there, and cuts."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any, NamedTuple, Protocol

import trio
import trio.testing

from ladderfield.http import Reply, Request, Server

Handler = Callable[[Request], Awaitable[Reply]]
origin: ContextVar[str] = ContextVar("origin", default="")  # the host on which the present task runs


WORKERS = "workers"  # stands for all of them in a link
WORKER_NETS = ("10.9.", "127.9.")  # how their addresses begin, in memory and on loopback


class Link(NamedTuple):
    """One direction between two hosts."""

    source: str
    target: str


class Network:
    """Addresses and who answers there; ``cut`` addresses are silent."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.serving: dict[tuple[str, int], Callable[[Any], Awaitable[None]]] = {}
        self.cut: set[str] = set()
        self.cut_ports: set[tuple[str, int]] = set()  # the same for single ports
        self.silent: set[Link] = set()  # what is sent there waits until it is mended
        self.refused: set[Link] = set()  # connections are reset, and refused
        self.mended = trio.Event()
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
        link = Link(origin.get(), host)
        if blocked(link, self.refused) or blocked(Link(host, link.source), self.refused):
            raise OSError("refused")
        await self.passes(link)
        await self.passes(Link(host, link.source))
        if host in self.cut or (host, port) in self.cut_ports:
            await trio.sleep_forever()
        if (host, port) not in self.serving:
            raise OSError("refused")
        ours, theirs = trio.testing.memory_stream_pair()
        scope = trio.CancelScope()
        self._open.setdefault((host, port), []).append(scope)
        self.nursery.start_soon(self._serve, host, self.serving[host, port], theirs, scope)
        return LinkedStream(ours, self, link)

    async def passes(self, link: Link) -> None:
        """Wait until what is sent in this direction arrives; OSError if it is reset."""
        while blocked(link, self.silent):
            await self.mended.wait()
        if blocked(link, self.refused):
            raise OSError("reset")

    def mend(self, links: set[Link] | None = None) -> None:
        """These links, or all, are whole again; what was held goes on."""
        for closed in (self.silent, self.refused):
            closed.difference_update(closed.copy() if links is None else links)
        self.mended.set()
        self.mended = trio.Event()

    async def _serve(
        self, host: str, serve: Callable[[Any], Awaitable[None]], stream: Any, scope: trio.CancelScope
    ) -> None:
        origin.set(host)
        with scope:
            await serve(stream)
        await trio.aclose_forcefully(stream)

    def close(self, text: str) -> None:
        """Who answered at an address is gone, and with it its connections."""
        host, _, port = text.partition(":")
        self.serving.pop((host, int(port)), None)
        for scope in self._open.pop((host, int(port)), ()):
            scope.cancel()


def blocked(link: Link, links: set[Link]) -> bool:
    """Whether a link is among these, by itself or as one of all workers."""
    if not links:
        return False
    source = WORKERS if link.source.startswith(WORKER_NETS) else link.source
    target = WORKERS if link.target.startswith(WORKER_NETS) else link.target
    return link in links or Link(source, target) in links


class Passage(Protocol):
    """What tells whether a link is open."""

    async def passes(self, link: Link) -> None:
        """Wait until what is sent in this direction arrives; OSError if it is reset."""


class LinkedStream(trio.abc.Stream):
    """The asking side of a connection, which a cut holds up or resets in either direction."""

    def __init__(self, stream: trio.abc.Stream, network: Passage, link: Link) -> None:
        self.stream, self.network, self.link = stream, network, link

    async def send_all(self, data: Any) -> None:
        """Send, once the way there is open."""
        await self.network.passes(self.link)
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """As the stream itself."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive, once the way back is open."""
        data = await self.stream.receive_some(max_bytes)
        await self.network.passes(Link(self.link.target, self.link.source))
        return data

    async def aclose(self) -> None:
        """Close."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.aclose()
