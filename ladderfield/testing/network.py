"""An in-memory network of addresses and servers, with links that can be cut."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from typing import Any, NamedTuple, Protocol

import trio
import trio.testing

from ladderfield.http import Server
from ladderfield.testing.repeater import Handler, Repeater

origin: ContextVar[str] = ContextVar("origin", default="")  # the host on which the current task runs
ALL_WORKERS = "workers"  # stands for every worker's host in a link
WORKER_PREFIXES = ("10.9.", "127.9.")  # prefixes of their addresses, in memory and on loopback


class Link(NamedTuple):
    """One direction between two hosts."""

    source: str
    target: str


class Network:
    """Servers by address; connection attempts to addresses in ``cut`` never complete."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.serving: dict[tuple[str, int], Callable[[Any], Awaitable[None]]] = {}
        self.cut: set[str] = set()
        self.cut_ports: set[tuple[str, int]] = set()  # like ``cut``, for single ports
        self.silent: set[Link] = set()  # data sent over these links waits until they heal
        self.refused: set[Link] = set()  # connections over these links are refused, open ones reset
        self.healed = trio.Event()
        self._connections: dict[tuple[str, int], list[trio.CancelScope]] = {}  # open connections by target address
        self.repeater = Repeater(nursery, seed=0, share=0.0)

    def listen(self, address: str, serve: Callable[[Any], Awaitable[None]]) -> None:
        """Serve connections to an address."""
        host, _, port = address.partition(":")
        self.serving[host, int(port)] = serve

    def http(self, address: str, handler: Handler, max_connections: int = 100) -> None:
        """Serve HTTP at an address; the repeater may deliver its requests again."""
        self.listen(address, Server(self.repeater.wrap(address, handler), max_connections, 5.0, 60.0))

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Replacement for ``ladderfield.http.connect``."""
        link = Link(origin.get(), host)
        if blocked(link, self.refused) or blocked(Link(host, link.source), self.refused):
            raise OSError("refused")
        await self.wait_open(link)
        await self.wait_open(Link(host, link.source))
        if host in self.cut or (host, port) in self.cut_ports:
            await trio.sleep_forever()
        if (host, port) not in self.serving:
            raise OSError("refused")
        client_end, server_end = trio.testing.memory_stream_pair()
        scope = trio.CancelScope()
        self._connections.setdefault((host, port), []).append(scope)
        self.nursery.start_soon(self._serve, host, self.serving[host, port], server_end, scope)
        return LinkedStream(client_end, self, link)

    async def wait_open(self, link: Link) -> None:
        """Wait until the link is open; raises OSError if connections over it are reset."""
        while blocked(link, self.silent):
            await self.healed.wait()
        if blocked(link, self.refused):
            raise OSError("reset")

    def heal(self, links: set[Link] | None = None) -> None:
        """Open these links, or all of them, again; delayed data is delivered."""
        for blocked_links in (self.silent, self.refused):
            blocked_links.difference_update(blocked_links.copy() if links is None else links)
        self.healed.set()
        self.healed = trio.Event()

    async def _serve(
        self, host: str, serve: Callable[[Any], Awaitable[None]], stream: Any, scope: trio.CancelScope
    ) -> None:
        origin.set(host)
        with scope:
            await serve(stream)
        await trio.aclose_forcefully(stream)

    def close(self, address: str) -> None:
        """Stop the server at an address and drop its connections."""
        host, _, port = address.partition(":")
        self.serving.pop((host, int(port)), None)
        for scope in self._connections.pop((host, int(port)), ()):
            scope.cancel()


def blocked(link: Link, links: set[Link]) -> bool:
    """Whether a link is among these, directly or through ``ALL_WORKERS``."""
    if not links:
        return False
    source = ALL_WORKERS if link.source.startswith(WORKER_PREFIXES) else link.source
    target = ALL_WORKERS if link.target.startswith(WORKER_PREFIXES) else link.target
    return link in links or Link(source, target) in links


class LinkGate(Protocol):
    """Blocks until a link is open."""

    async def wait_open(self, link: Link) -> None:
        """Wait until the link is open; raises OSError if connections over it are reset."""


class LinkedStream(trio.abc.Stream):
    """The client's side of a connection, which a cut link delays or resets in either direction."""

    def __init__(self, stream: trio.abc.Stream, gate: LinkGate, link: Link) -> None:
        self.stream, self.gate, self.link = stream, gate, link

    async def send_all(self, data: Any) -> None:
        """Send once the link to the server is open."""
        await self.gate.wait_open(self.link)
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Delegate to the stream."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes | bytearray:
        """Receive once the link from the server is open."""
        data = await self.stream.receive_some(max_bytes)
        await self.gate.wait_open(Link(self.link.target, self.link.source))
        return data

    async def aclose(self) -> None:
        """Close the stream."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self.stream.aclose()
