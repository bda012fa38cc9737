"""Loading the view from a store of many pages, with refused calls, changes meanwhile and pages that make no sense."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import trio

from ladderfield.backoff import Backoff
from ladderfield.budget import Budget
from ladderfield.jobs.dependencies import DependencyGraph
from ladderfield.state import Page, Pair, StateClient, StateServiceError, WatchAnswer
from ladderfield.testing import StateService, settings
from ladderfield.testing.cluster import cluster
from ladderfield.view import View

FORGOTTEN_S = 75.0  # protocol: a job about which no question is answered for so long counts as forgotten
FINISHED_JOBS = 4000
PAGE_KEYS = 10  # 400 pages for each controller
CALLS_PER_S = 100.0


async def test_all_controllers_that_start_at_once_load_a_large_store_within_the_call_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against loads that begin anew after each refused page: together they never end. Seen: review/1."""
    async with cluster(monkeypatch) as whole:
        uid = await whole.submit(rungs=1, cores=1.0)
        await whole.wait_for_phase(0, uid, "done", 30.0)
        for number in range(3):
            whole.crash(number)
        state = whole.state
        for number in range(FINISHED_JOBS):
            state.revision += 1
            state.keys[f"lf/f/req-{100_000 + number:06}"] = ({"phase": "done", "done": 1}, state.revision, None)
        state.max_page_keys, state.call_limit = PAGE_KEYS, Budget(CALLS_PER_S)
        await trio.sleep(3.0)
        for number in range(3):
            whole.start(number)
        started_at, calls_before = trio.current_time(), state.calls
        await trio.sleep(1.0)
        for number in range(3):
            while (status := await whole.phase(number, uid)) != "done":
                assert status == "503", "while it loads, a controller refuses to answer"
                assert trio.current_time() - started_at < FORGOTTEN_S
                await trio.sleep(0.5)
        assert state.refused_calls <= 0.05 * (state.calls - calls_before)


async def test_a_controller_that_loads_is_not_ready_while_others_can_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    async with cluster(monkeypatch) as whole:
        loading, *others = sorted(range(3), key=lambda number: number == whole.leader())
        whole.crash(loading)
        whole.state.max_page_keys = 1
        for number in range(400):
            whole.state.revision += 1
            whole.state._change(f"lf/f/req-{100_000 + number:06}", {"phase": "done"}, None)
        whole.state._announce()
        whole.start(loading)
        await trio.sleep(4.0)
        assert (await whole.call(loading, "GET", "/ready"))[0] == 503
        assert [(await whole.call(number, "GET", "/ready"))[0] for number in others] == [200, 200]
        assert await whole.phase(loading, "req-999999") == "503", "it may only not have read the job yet"
        await trio.sleep(30.0)
        assert (await whole.call(loading, "GET", "/ready"))[0] == 200
        assert await whole.phase(loading, "req-999999") == "404"


class PagedStore:
    """A store whose pages are handed out one by one; ``before_page`` is called with the number of each call."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, keys: int) -> None:
        self.service, self.after_keys = StateService(), list[str]()
        self.before_page: Callable[[int], Page | None] = lambda call: None
        client = StateClient(settings())
        monkeypatch.setattr(client, "page", self.page)
        monkeypatch.setattr(client, "watch", self.watch)
        self.view = View(client, settings())
        self.lost_history = 0  # watches that are answered with 410
        for number in range(keys):
            self.put(f"lf/x/{number:03}", number)

    def put(self, key: str, value: Any) -> None:
        """Change a key; None deletes it."""
        self.service.revision += 1
        self.service._change(key, value, None)

    async def page(self, after: str, timeout: float) -> Page:
        """The next five keys."""
        self.after_keys.append(after)
        if (instead := self.before_page(len(self.after_keys))) is not None:
            return instead
        found = sorted(key for key in self.service.keys if key > after)
        pairs = [Pair(key, self.service.keys[key][1], self.service.keys[key][0]) for key in found[:5]]
        return Page(pairs, self.service.revision, len(found) > 5)

    async def watch(self, after: int, wait_s: float) -> WatchAnswer | None:
        """All changes after a revision, or nothing if they are no longer kept."""
        await trio.sleep(0.01)
        if self.lost_history:
            self.lost_history -= 1
            return None
        reply = await self.service._watch({"after": str(after), "waitMs": "1000", "starts": "lf/"})
        return msgspec.json.decode(reply.body, type=WatchAnswer)

    def expected(self) -> dict[str, tuple[Any, int]]:
        """What the view should hold."""
        return {key: (value, revision) for key, (value, revision, _) in self.service.keys.items()}

    async def load(self) -> None:
        """Run the view until it has what the store has."""
        with trio.move_on_after(60.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.view.run)
                while self.view.data != self.expected() or not self.view._has_consistent(self.service.revision):
                    await trio.sleep(0.05)
                nursery.cancel_scope.cancel()


async def test_keys_that_change_appear_or_vanish_between_pages_are_right_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = PagedStore(monkeypatch, 20)

    def change(call: int) -> None:
        if call == 3:
            for key, value in (("000", "changed"), ("001", None), ("0005", "new"), ("012", None), ("018", "changed")):
                store.put(f"lf/x/{key}", value)
            store.put("lf/x/018", "changed again")
            store.put("lf/x/019", None)
            store.put("lf/x/019", "back")
        if call == 4:
            store.put("lf/x/012", None)
            store.put("lf/x/018", "and again")

    store.before_page = change
    seen: list[tuple[str, int]] = []
    store.view.listeners.append(lambda change: seen.append((change.key, change.revision)))
    await store.load()
    assert store.view.data == store.expected() and len(store.after_keys) == 4
    last: dict[str, int] = {}
    for key, revision in seen:
        assert revision > last.get(key, 0), f"{key} goes back"
        last[key] = revision


def test_a_pause_stays_bounded_however_often_a_call_fails() -> None:
    backoff = Backoff(0.25, 1.0)
    pauses = [backoff.next_pause_s() for _ in range(5000)]
    assert 0.125 <= pauses[0] <= 0.25 and all(0.5 <= pause <= 1.0 for pause in pauses[2:])


async def test_a_refused_page_is_asked_for_again_after_a_growing_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    store, asked_at = PagedStore(monkeypatch, 20), list[float]()

    def refuse(call: int) -> None:
        asked_at.append(trio.current_time())
        if 2 <= call <= 7:
            raise StateServiceError("429")

    store.before_page = refuse
    await store.load()
    assert store.view.data == store.expected()
    assert store.after_keys == ["", *["lf/x/004"] * 7, "lf/x/009", "lf/x/014"]
    pauses = [after - before for before, after in itertools.pairwise(asked_at[1:8])]
    assert pauses[0] <= 0.25 and all(0.5 <= pause <= 1.0 for pause in pauses[2:]), pauses


@pytest.mark.parametrize(
    "page",
    [
        Page([], 99, True),
        Page([Pair("lf/x/004", 5, 4), Pair("lf/x/005", 6, 5)], 99, True),
        Page([Pair("lf/x/005", 6, 5)], 3, True),
    ],
    ids=["empty, with more to follow", "repeats a key", "goes back in revision"],
)
async def test_keys_are_read_anew_after_a_page_that_contradicts_those_before(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, page: Page
) -> None:
    store = PagedStore(monkeypatch, 20)
    store.before_page = lambda call: page if call in (2, 4) else None
    await store.load()
    assert store.view.data == store.expected()
    assert store.after_keys.count("") == 3 and caplog.text.count("all keys have to be read again: page 2") == 2


async def test_keys_are_read_anew_if_the_changes_since_the_first_page_are_no_longer_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With pauses, however often that happens; in the end the view is right and has forgotten what was deleted."""
    store = PagedStore(monkeypatch, 20)
    store.lost_history = 3
    store.before_page = lambda call: store.put("lf/x/000", None if call == 3 else call)
    began = trio.current_time()
    await store.load()
    assert store.view.data == store.expected() and store.after_keys.count("") >= 4
    assert trio.current_time() - began >= 0.5 * (0.25 + 0.5 + 1.0)


async def test_a_key_that_can_not_be_read_does_not_keep_the_others_from_being_loaded(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Neither one whose pair is malformed, nor one whose record a listener can't use."""
    client = StateClient(settings())
    pairs = [{"key": "lf/f/req-000001", "value": [], "stamp": 1}, {"key": 7}, {"key": "lf/x/2", "value": 2, "stamp": 2}]

    async def call(*_: Any) -> tuple[int, dict[str, Any]]:
        return 200, {"pairs": pairs, "hasNext": False, "ledger": 5}

    monkeypatch.setattr(client, "_call", call)
    view = View(client, settings())
    await view._load()
    assert not view.complete, "a key that it lacks may exist"
    view = View(client, settings())
    view.listeners.append(DependencyGraph(view.get).apply_change)
    await view._load()
    assert view.synced and set(view.data) == {"lf/f/req-000001", "lf/x/2"}
    assert not view.complete, "what it lacks may exist"
    assert "left out a key that can't be read: {'key': 7}" in caplog.text
    assert "the record lf/f/req-000001 of revision 1 can't be used" in caplog.text
