"""The outer edges: bytes that are no HTTP, frames that are none, settings that can't be used, budgets."""

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
    """Tells what it was asked."""
    if request.path == "/boom":
        raise RuntimeError("boom")
    return Reply(200, {"path": request.path, "size": len(request.body)})


async def ask(*chunks: bytes, most: int = 10) -> bytes:
    """What the server answers to these bytes, until it closes or waits for more."""
    server = Server(echo, most, 5.0, 60.0)
    answer = bytearray()
    async with trio.open_nursery() as nursery:
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(server, theirs)
        for chunk in chunks:
            await ours.send_all(chunk)
            await trio.testing.wait_all_tasks_blocked()
        with trio.move_on_after(1):
            while data := await ours.receive_some():
                answer += data
        nursery.cancel_scope.cancel()
    return bytes(answer)


async def test_requests_follow_one_another_on_a_connection() -> None:
    one = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
    assert (await ask(one, one)).count(b"200") == 2


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
async def test_bad_requests_end_no_more_than_their_connection(data: bytes, status: bytes) -> None:
    assert status in (await ask(data))[:20]


async def test_chunked_bodies_over_the_limit_are_cut_off() -> None:
    chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    assert b" 413 " in (await ask(head, chunk, chunk, chunk))[:20]


async def test_a_slow_request_times_out() -> None:
    begin = trio.current_time()
    server = Server(echo, 10, 5.0, 60.0)
    ours, theirs = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server, theirs)
        await ours.send_all(b"GET / HT")
    assert trio.current_time() - begin < 6


async def test_over_the_limit_of_connections_the_answer_is_503() -> None:
    assert b" 503 " in (await ask(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", most=0))[:20]


def test_frames_keep_their_form() -> None:
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


async def test_a_malformed_frame_ends_only_its_connection() -> None:
    async def answer(kind: int, status: int, body: bytes) -> tuple[int, bytes]:
        return 200, body

    server = BackServer(answer, 4, 60.0, 5.0)
    ours, theirs = trio.testing.memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server, theirs)
        await ours.send_all(b"GET / HTTP/1.1\r\n\r\n")
        assert await ours.receive_some() == b""
    assert server.open == 0


async def test_a_budget_makes_callers_wait_but_not_safety() -> None:
    budget = Budget(10.0)
    for _ in range(10):
        assert await budget.take(patience=0)
    assert not await budget.take(patience=0.01)
    begin = trio.current_time()
    assert await budget.take(urgent=True)
    assert trio.current_time() == begin
    await budget.take()
    assert trio.current_time() - begin == pytest.approx(0.2)


def test_settings_ignore_what_they_do_not_know_and_name_what_is_wrong(tmp_path: Path) -> None:
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


async def test_requests_in_pieces_and_two_at_once_are_answered_in_order() -> None:
    one = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
    two = b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n"
    answer = await ask(one[:20], one[20:50], one[50:] + two)
    assert answer.index(b'"path":"/a","size":3') < answer.index(b'"path":"/b","size":0')


async def test_a_body_that_waits_to_be_asked_for_is_asked_for() -> None:
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
    answer = await ask(head, b"abc")
    assert answer.startswith(b"HTTP/1.1 100 ") and b'"size":3' in answer


async def test_where_connections_run_short_each_is_given_back_after_its_request() -> None:
    """At half as many machines again there are more workers than sockets: all have to get their turn."""
    server = Server(echo, 20, 5.0, 60.0)
    served = 0
    async with trio.open_nursery() as nursery:

        async def report() -> None:
            nonlocal served
            for _ in range(5):
                ours, theirs = trio.testing.memory_stream_pair()
                nursery.start_soon(server, theirs)
                await ours.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                data = bytes(await ours.receive_some())
                served += b" 200 " in data
                while b"Connection: close" not in data:
                    await ours.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                    data = bytes(await ours.receive_some())
                    served += b" 200 " in data
                    await trio.sleep(0.5)
                await trio.sleep(0.5)

        async with trio.open_nursery() as workers:
            for _ in range(30):
                workers.start_soon(report)
                await trio.sleep(0.01)
            await trio.sleep(20)
            workers.cancel_scope.cancel()
        assert served > 30 * 5 and server.open <= server.most + 1
        nursery.cancel_scope.cancel()
