"""Input from outside the process: invalid HTTP, invalid frames, invalid settings; and budgets."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
import trio
import trio.testing
from click.testing import CliRunner

from ladderfield.budget import Budget
from ladderfield.cli import main
from ladderfield.http import Reply, Request, Server
from ladderfield.peers import FRAME_HEADER, MAGIC, RELAY, BackServer, FrameError, pack, unpack_header
from ladderfield.settings import load
from ladderfield.testing import SETTINGS


async def echo(request: Request) -> Reply:
    """Answers with the request's path and body size."""
    if request.path == "/boom":
        raise RuntimeError("boom")
    return Reply(200, {"path": request.path, "size": len(request.body)})


async def ask(*chunks: bytes, max_connections: int = 10) -> bytes:
    """The server's bytes in response to these, until it closes the connection or waits for more."""
    server = Server(echo, max_connections, 5.0, 60.0)
    answer = bytearray()
    async with trio.open_nursery() as nursery:
        client_stream, server_stream = trio.testing.memory_stream_pair()
        nursery.start_soon(server, server_stream)
        for chunk in chunks:
            await client_stream.send_all(chunk)
            await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(1):
            while data := await client_stream.receive_some():
                answer += data
        nursery.cancel_scope.cancel()
    return bytes(answer)


async def test_a_connection_serves_several_requests() -> None:
    request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
    assert (await ask(request, request)).count(b"200") == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b" 400 "),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n", b" 413 "),
        (b"GET /boom HTTP/1.1\r\nHost: x\r\n\r\n", b" 500 "),
        (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000 + b"\r\n\r\n", b" 4"),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: minus\r\n\r\n", b" 400 "),
    ],
)
async def test_a_bad_request_closes_only_its_connection(data: bytes, status: bytes) -> None:
    assert status in (await ask(data))[:20]


async def test_chunked_bodies_over_the_limit_are_rejected() -> None:
    chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert b" 413 " in (await ask(head, chunk, chunk, chunk))[:20]


async def test_a_slow_request_times_out() -> None:
    started_at = trio.current_time()
    server = Server(echo, 10, 5.0, 60.0)
    client_stream, server_stream = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server, server_stream)
        await client_stream.send_all(b"GET / HT")
    assert trio.current_time() - started_at < 6


async def test_connections_over_the_limit_are_answered_503() -> None:
    assert b" 503 " in (await ask(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", max_connections=0))[:20]


def test_frames_are_encoded_and_invalid_ones_rejected() -> None:
    frame = pack(RELAY, 1, b"body")
    assert unpack_header(frame[: FRAME_HEADER.size]) == (RELAY, 1, 4)
    for bad in (
        FRAME_HEADER.pack(b"xx", 1, RELAY, 0, 0),
        FRAME_HEADER.pack(MAGIC, 9, RELAY, 0, 0),
        FRAME_HEADER.pack(MAGIC, 1, 77, 0, 0),
    ):
        with pytest.raises(FrameError):
            unpack_header(bad)
    with pytest.raises(FrameError):
        unpack_header(FRAME_HEADER.pack(MAGIC, 1, RELAY, 0, 1 << 30))
    with pytest.raises(FrameError):
        pack(RELAY, 0, b"x" * (1 << 17))


async def test_a_malformed_frame_closes_only_its_connection() -> None:
    async def answer(kind: int, status: int, body: bytes) -> tuple[int, bytes]:
        return 200, body

    server = BackServer(answer, 4, 60.0, 5.0)
    client_stream, server_stream = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server, server_stream)
        await client_stream.send_all(b"GET / HTTP/1.1\r\n\r\n")
        assert await client_stream.receive_some() == b""
    assert server.open == 0


async def test_a_budget_delays_all_but_urgent_calls() -> None:
    budget = Budget(10.0)
    for _ in range(10):
        assert await budget.take(max_wait_s=0)
    assert not await budget.take(max_wait_s=0.01)
    started_at = trio.current_time()
    assert await budget.take(urgent=True)
    assert trio.current_time() == started_at
    await budget.take()
    assert trio.current_time() - started_at == pytest.approx(0.2)


def test_settings_ignore_unknown_fields_and_errors_name_the_invalid_field(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS | {"new": 1}))
    assert load(path).cluster.teams[1].cpus_max == 0.0
    for change, field in (({"bind": "here"}, "bind"), ({"cluster": {}}, "cluster"), ({"member": 3}, "member")):
        path.write_text(json.dumps(SETTINGS | change))
        result = CliRunner().invoke(main, ["serve", "--config", str(path)])
        assert result.exit_code != 0 and field in result.output and "Traceback" not in result.output
        assert len(result.output.strip().splitlines()) == 1
    result = CliRunner().invoke(main, ["serve", "--config", str(tmp_path / "none")])
    assert result.exit_code != 0 and "none" in result.output


def test_help_and_version() -> None:
    assert CliRunner().invoke(main, ["--version"]).exit_code == 0
    assert "--config" in CliRunner().invoke(main, ["serve", "--help"]).output


async def test_split_and_pipelined_requests_are_answered_in_order() -> None:
    first = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
    second = b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n"
    answer = await ask(first[:20], first[20:50], first[50:] + second)
    assert answer.index(b'"path":"/a","size":3') < answer.index(b'"path":"/b","size":0')


async def test_expect_100_continue_is_answered_before_the_body() -> None:
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    answer = await ask(head, b"abc")
    assert answer.startswith(b"HTTP/1.1 100 ") and b'"size":3' in answer


async def test_near_the_connection_limit_a_connection_is_closed_after_one_request() -> None:
    """At 1.5 times the machines there are more workers than sockets, and every worker has to be served."""
    server = Server(echo, 20, 5.0, 60.0)
    served = 0
    async with trio.open_nursery() as nursery:

        async def send_reports() -> None:
            nonlocal served
            for _ in range(5):
                client_stream, server_stream = trio.testing.memory_stream_pair()
                nursery.start_soon(server, server_stream)
                await client_stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                data = bytes(await client_stream.receive_some())
                served += b" 200 " in data
                while b"Connection: close" not in data:
                    await client_stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                    data = bytes(await client_stream.receive_some())
                    served += b" 200 " in data
                    await trio.sleep(0.5)
                await trio.sleep(0.5)

        async with trio.open_nursery() as workers:
            for _ in range(30):
                workers.start_soon(send_reports)
                await trio.sleep(0.01)
            await trio.sleep(20)
            workers.cancel_scope.cancel()
        assert served > 30 * 5 and server.open <= server.max_connections + 1
        nursery.cancel_scope.cancel()
