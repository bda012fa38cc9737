"""The jobs API and jobs that wait for others: what it takes, what it refuses, what it tells of them."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio

from ladderfield.http import Reply, Request
from ladderfield.jobs.accept import Acceptor
from ladderfield.jobs.api import JobsApi
from ladderfield.jobs.model import MalformedJobError, parse
from ladderfield.testing import StateService, accepted, job, settings
from ladderfield.testing.jobs_api import serving_jobs_api

A, B, C, D = (f"req-{n:06d}" for n in range(1, 5))
ALL_NEW = {f"lf/v/n{n}": {"level": 1} for n in range(3)}


@pytest.mark.parametrize("needs", ["req-000002", 7, [7], ["job-1"], {}, ["req-000001"], [["req-000002"]], ["req-1/.."]])
def test_malformed_needs_are_refused(needs: Any) -> None:
    with pytest.raises(MalformedJobError):
        parse(msgspec.json.encode(job(A, waitsOn=needs)))


def test_absent_null_and_empty_are_the_same_and_a_name_counts_once() -> None:
    assert parse(msgspec.json.encode(job(A, waitsOn=None))).needs is None
    assert parse(msgspec.json.encode(job(A, waitsOn=[]))).needs is None
    assert parse(msgspec.json.encode(job(A))).needs is None
    assert parse(msgspec.json.encode(job(A, waitsOn=[C, B, C]))).needs == [C, B]


async def put(service: StateService, values: dict[str, Any]) -> None:
    """Records written by others."""
    reply = await service._multi({"guards": [], "apply": [{"put": key, "value": one} for key, one in values.items()]})
    assert reply.status == 200


async def ask(api: JobsApi, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
    reply = await api(Request(method, path, b"" if body is None else msgspec.json.encode(body)))
    assert isinstance(reply, Reply)
    return reply.status, msgspec.json.decode(reply.body)


async def submit(api: JobsApi, uid: str, *needs: str, **changes: Any) -> tuple[int, dict[str, Any]]:
    return await ask(api, "POST", "/api/jobs", job(uid, waitsOn=list(needs), **changes))


async def phase(api: JobsApi, uid: str) -> str:
    status, answer = await ask(api, "GET", f"/api/jobs/{uid}")
    return answer["phase"] if status == 200 else str(status)


async def test_waiting_jobs_are_taken_only_once_every_controller_is_known_to_understand_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader of the older version would start their tasks too early."""
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        assert (await submit(api, A))[0] == 201
        await put(service, dict(list(ALL_NEW.items())[:2]))
        assert (await submit(api, B, A))[0] == 503
        await put(service, ALL_NEW)
        await trio.sleep(1)
        assert (await submit(api, B, A))[0] == 201
        service.down = True
        assert api.submissions.rollout.complete, "once known it stays known"
        nursery.cancel_scope.cancel()


async def test_a_controller_says_once_and_for_good_what_it_understands(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, {"lf/v/n1": {"level": 2, "more": []}, "lf/v/n2": {"level": 1}})
        nursery.start_soon(api.submissions.rollout.run)
        await trio.sleep(1)
        assert api.submissions.rollout.complete
        changes = service.ledger
        await trio.sleep(30)
        assert service.ledger == changes
        nursery.cancel_scope.cancel()


async def test_a_name_that_another_door_has_just_accepted_is_known(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, ALL_NEW)
        await trio.sleep(1)
        service.watch_lag = 0.1
        await put(service, {f"lf/j/{A}": accepted(job(A))})
        assert (await submit(api, B, A))[0] == 201
        assert (await submit(api, C, A, "req-777777"))[0] == 422, "never accepted"
        service.down = True
        assert (await submit(api, C, "req-777777"))[0] == 503, "not on an old view"
        nursery.cancel_scope.cancel()


async def test_a_service_can_not_be_waited_for_and_what_is_known_is_never_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, ALL_NEW | {f"lf/j/{A}": accepted(job(A, shape="daemon")), f"lf/j/{B}": accepted(job(B))})
        assert (await submit(api, C, A))[0] == 422
        assert (await submit(api, B, A))[0] == 200
        assert (await submit(api, C, *(f"req-{n:06d}" for n in range(10, 1200))))[0] in (400, 422)
        nursery.cancel_scope.cancel()


async def test_too_many_names_for_a_record_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        many = [f"req-{n:018d}" for n in range(1000)]
        await put(service, ALL_NEW | {f"lf/f/{uid}": {"phase": "done"} for uid in many})
        assert (await submit(api, C, *many))[0] == 400
        assert (await submit(api, C, *many[:50]))[0] == 201
        nursery.cancel_scope.cancel()


async def test_every_door_tells_at_once_what_is_cancelled_with_a_job_though_there_is_no_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, ALL_NEW)
        await trio.sleep(1)
        assert [(await submit(api, *names))[0] for names in ((A,), (B, A), (C, A, B))] == [201] * 3
        await put(service, {f"lf/f/{A}": {"phase": "cancelled", "at": 1.0}})  # at another controller
        assert [await phase(api, uid) for uid in (B, C)] == ["cancelled"] * 2
        assert await submit(api, D, C) == (201, {"uid": D, "phase": "cancelled"})
        assert (await submit(api, C, A, B))[1]["phase"] == "cancelled"
        assert (await ask(api, "POST", f"/api/jobs/{B}/cancel"))[1]["phase"] == "cancelled"
        await trio.sleep(1)
        service.down = True
        assert await phase(api, D) == "cancelled", "and for good, whatever is out"
        nursery.cancel_scope.cancel()


async def test_a_cancellation_that_comes_too_late_lets_the_rest_go_on(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, ALL_NEW)
        await trio.sleep(1)
        assert [(await submit(api, *names))[0] for names in ((A,), (B, A))] == [201] * 2
        await put(service, {f"lf/f/{A}": {"phase": "done", "done": 2}})
        assert (await ask(api, "POST", f"/api/jobs/{A}/cancel"))[1]["phase"] == "done"
        assert await phase(api, B) == "queued"
        nursery.cancel_scope.cancel()


async def test_shared_records_fit_the_smaller_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        state = msgspec.structs.replace(settings().cluster.state, value_kb=2.0, txn_ops=5)
        small = msgspec.structs.replace(settings(), cluster=msgspec.structs.replace(settings().cluster, state=state))
        api.submissions.acceptor = Acceptor(
            small, api.cancellations.client, api.lookup.view, api.lookup.dependencies, 5.0
        )
        nursery.start_soon(api.submissions.acceptor.run)
        await put(service, ALL_NEW | {f"lf/f/req-{n:06d}": {"phase": "done"} for n in range(900, 930)})
        await trio.sleep(1)
        real, guards = service._multi, []

        async def noted(body: dict[str, Any]) -> Reply:
            guards.append(len(body["guards"]))
            return await real(body)

        service._multi = noted  # type: ignore[method-assign]
        needs = [f"req-{n:06d}" for n in range(900, 930)]
        async with trio.open_nursery() as users:
            for n in range(20):
                users.start_soon(submit, api, f"req-{n:06d}", *needs)
        records = [value for key, (value, _, _) in service.keys.items() if key.startswith("lf/j/")]
        assert sum(len(record["jobs"]) for record in records) == 20 and max(guards) <= 4 * 5
        assert all(len(msgspec.json.encode(record)) <= 2 * 1024 for record in records)
        nursery.cancel_scope.cancel()
