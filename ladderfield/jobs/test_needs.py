"""The jobs API with jobs that need others: accepted and refused submissions, and reported states."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
import trio

from ladderfield.http import Reply, Request
from ladderfield.jobs.accept import Acceptor
from ladderfield.jobs.api import JobsApi
from ladderfield.jobs.model import MalformedJobError, parse_job
from ladderfield.testing import StateService, accepted, job, settings
from ladderfield.testing.jobs_api import serving_jobs_api

A, B, C, D = (f"req-{n:06d}" for n in range(1, 5))
ALL_UPGRADED = {f"lf/v/n{n}": {"level": 1} for n in range(3)}


@pytest.mark.parametrize("needs", ["req-000002", 7, [7], ["job-1"], {}, ["req-000001"], [["req-000002"]], ["req-1/.."]])
def test_malformed_needs_are_refused(needs: Any) -> None:
    with pytest.raises(MalformedJobError):
        parse_job(msgspec.json.encode(job(A, waitsOn=needs)))


def test_absent_null_and_empty_needs_are_equal_and_duplicates_are_removed() -> None:
    assert parse_job(msgspec.json.encode(job(A, waitsOn=None))).needs is None
    assert parse_job(msgspec.json.encode(job(A, waitsOn=[]))).needs is None
    assert parse_job(msgspec.json.encode(job(A))).needs is None
    assert parse_job(msgspec.json.encode(job(A, waitsOn=[C, B, C]))).needs == [C, B]


async def put(service: StateService, values: dict[str, Any]) -> None:
    """Writes records as another client of the state service would."""
    reply = await service._multi(
        {"guards": [], "apply": [{"put": key, "value": value} for key, value in values.items()]}
    )
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


async def test_jobs_with_needs_are_accepted_only_once_every_controller_supports_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A leader of an older version would start their tasks too early."""
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        assert (await submit(api, A))[0] == 201
        await put(service, dict(list(ALL_UPGRADED.items())[:2]))
        assert (await submit(api, B, A))[0] == 503
        await put(service, ALL_UPGRADED)
        await trio.sleep(1)
        assert (await submit(api, B, A))[0] == 201
        service.down = True
        assert api.submissions.rollout.supports_dependencies, "a completed rollout was forgotten"
        nursery.cancel_scope.cancel()


async def test_a_controller_publishes_its_version_level_only_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, {"lf/v/n1": {"level": 2, "more": []}, "lf/v/n2": {"level": 1}})
        nursery.start_soon(api.submissions.rollout.run)
        await trio.sleep(1)
        assert api.submissions.rollout.supports_dependencies
        changes = service.revision
        await trio.sleep(30)
        assert service.revision == changes
        nursery.cancel_scope.cancel()


async def test_a_needed_job_just_accepted_by_another_controller_is_known(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, ALL_UPGRADED)
        await trio.sleep(1)
        service.watch_lag_s = 0.1
        await put(service, {f"lf/j/{A}": accepted(job(A))})
        assert (await submit(api, B, A))[0] == 201
        assert (await submit(api, C, A, "req-777777"))[0] == 422, "a needed job that was never accepted was not refused"
        service.down = True
        assert (await submit(api, C, "req-777777"))[0] == 503, "a job was refused on an outdated view"
        nursery.cancel_scope.cancel()


async def test_a_job_that_needs_a_service_is_refused_but_a_known_job_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(
            service, ALL_UPGRADED | {f"lf/j/{A}": accepted(job(A, shape="daemon")), f"lf/j/{B}": accepted(job(B))}
        )
        assert (await submit(api, C, A))[0] == 422
        assert (await submit(api, B, A))[0] == 200
        assert (await submit(api, C, *(f"req-{n:06d}" for n in range(10, 1200))))[0] in (400, 422)
        nursery.cancel_scope.cancel()


async def test_more_needs_than_fit_into_a_record_are_accepted_once_every_controller_can_read_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        many = [f"req-{n:018d}" for n in range(1000)]
        await put(service, ALL_UPGRADED | {f"lf/f/{uid}": {"phase": "done"} for uid in many})
        assert (await submit(api, C, *many))[0] == 503
        assert (await submit(api, D, *many[:50]))[0] == 201
        await put(service, {f"lf/v/n{n}": {"level": 4} for n in range(3)})
        await trio.sleep(1)
        assert (await submit(api, C, *many))[0] == 201
        assert api.lookup.dependencies._nodes[C].needs == tuple(many)
        nursery.cancel_scope.cancel()


async def test_every_controller_reports_jobs_cancelled_with_another_at_once_without_a_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, ALL_UPGRADED)
        await trio.sleep(1)
        assert [(await submit(api, *names))[0] for names in ((A,), (B, A), (C, A, B))] == [201] * 3
        await put(service, {f"lf/f/{A}": {"phase": "cancelled", "at": 1.0}})  # at another controller
        assert [await phase(api, uid) for uid in (B, C)] == ["cancelled"] * 2
        assert await submit(api, D, C) == (201, {"uid": D, "phase": "cancelled"})
        assert (await submit(api, C, A, B))[1]["phase"] == "cancelled"
        assert (await ask(api, "POST", f"/api/jobs/{B}/cancel"))[1]["phase"] == "cancelled"
        await trio.sleep(1)
        service.down = True
        assert await phase(api, D) == "cancelled", "the cancellation should be reported without the state service too"
        nursery.cancel_scope.cancel()


async def test_a_cancellation_after_the_end_does_not_cancel_dependents(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        await put(service, ALL_UPGRADED)
        await trio.sleep(1)
        assert [(await submit(api, *names))[0] for names in ((A,), (B, A))] == [201] * 2
        await put(service, {f"lf/f/{A}": {"phase": "done", "done": 2}})
        assert (await ask(api, "POST", f"/api/jobs/{A}/cancel"))[1]["phase"] == "done"
        assert await phase(api, B) == "queued"
        nursery.cancel_scope.cancel()


async def test_shared_records_respect_small_limits_of_the_state_service(monkeypatch: pytest.MonkeyPatch) -> None:
    async with trio.open_nursery() as nursery:
        api, service = await serving_jobs_api(monkeypatch, nursery)
        state = msgspec.structs.replace(settings().cluster.state, value_kb=2.0, txn_ops=5)
        small_limits = msgspec.structs.replace(
            settings(), cluster=msgspec.structs.replace(settings().cluster, state=state)
        )
        api.submissions.acceptor = Acceptor(
            small_limits, api.cancellations.client, api.lookup.view, api.lookup.dependencies, 5.0
        )
        nursery.start_soon(api.submissions.acceptor.run)
        await put(service, ALL_UPGRADED | {f"lf/f/req-{n:06d}": {"phase": "done"} for n in range(900, 930)})
        await trio.sleep(1)
        commit, guards = service._multi, []

        async def recorded(body: dict[str, Any]) -> Reply:
            guards.append(len(body["guards"]))
            return await commit(body)

        service._multi = recorded  # type: ignore[method-assign]
        needs = [f"req-{n:06d}" for n in range(900, 930)]
        async with trio.open_nursery() as users:
            for n in range(20):
                users.start_soon(submit, api, f"req-{n:06d}", *needs)
        records = [value for key, (value, _, _) in service.keys.items() if key.startswith("lf/j/")]
        assert sum(len(record["jobs"]) for record in records) == 20 and max(guards) <= 4 * 5
        assert all(len(msgspec.json.encode(record)) <= 2 * 1024 for record in records)
        nursery.cancel_scope.cancel()
