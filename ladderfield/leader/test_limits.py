"""The state service lowers its limits: every record fits them, and larger records from before are read and kept."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from ladderfield.http import encode
from ladderfield.leader.ledger import Ledger, Transaction
from ladderfield.leader.pages import encoded_size
from ladderfield.settings import MAX_RECORD_SHARE, StateLimits
from ladderfield.testing import SETTINGS, accepted, job
from ladderfield.testing.leader import EPOCH_NOW, SchedulerHarness, launch_job, reported_task

VALUE_LIMIT_BYTES = 2 * 1024
MAX_OPS = 5
OLD_ATTEMPT = (EPOCH_NOW - 1) << 32


def harness_with_small_limits(data: dict[str, Any] | None = None) -> SchedulerHarness:
    """A leader that writes within the smaller limits."""
    harness = SchedulerHarness(data)
    harness.scheduler.pages.max_page_bytes = int(VALUE_LIMIT_BYTES * MAX_RECORD_SHARE)
    harness.ledger = Ledger(harness.scheduler, 3, MAX_OPS)
    return harness


def write_due(harness: SchedulerHarness, record: dict[str, Any], max_ops: int | None = None, times: int = 10**6) -> int:
    """Write what is due, checked against the smaller limits; returns the number of operations."""
    ops = 0
    while times and (txn := harness.ledger.collect(True, max_ops)) is not None:
        check_transaction(txn)
        record.update(txn.puts)
        for key in txn.deletes:
            record.pop(key, None)
        harness.revision += 1
        harness.ledger.applied(txn, harness.revision, 2.0)
        ops += txn.ops
        times -= 1
    return ops


def check_transaction(txn: Transaction) -> None:
    """Check a transaction against the protocol and the smaller limits."""
    assert 0 < txn.ops <= MAX_OPS and len(txn.guards) <= 4 * MAX_OPS
    assert all(len(encode(value)) <= VALUE_LIMIT_BYTES for value in txn.puts.values())


def read_back(record: dict[str, Any]) -> tuple[set[tuple[str, int, int]], set[tuple[str, int]]]:
    """What a successor would load: binding claims and finished tasks."""
    harness = SchedulerHarness({key: (value, 5) for key, value in record.items()})
    claims = {
        (claim.job.uid, claim.index, claim.attempt)
        for owner in harness.scheduler.jobs.values()
        for claim in owner.claims.values()
    }
    done = {(owner.uid, index) for owner in harness.scheduler.jobs.values() for index in owner.finished}
    return claims, done


def old_page(number: int, services: int, arrays: int) -> dict[str, Any]:
    """A page of the larger size: claims of replicas and of array tasks, and finished ranges."""
    hosts = {f"i-{number}{n:05}": ["za", f"10.1.{number}.{n}:9000", "m4", False] for n in range(services + arrays)}
    names = list(hosts)
    return {
        "hosts": hosts,
        "req-000001": {
            "a": {str(number * 1000 + n): [OLD_ATTEMPT + number * 1000 + n, names[n]] for n in range(services)}
        },
        "req-000002": {
            "a": {
                str(number * 1000 + n): [OLD_ATTEMPT + 50_000 + number * 1000 + n, names[services + n]]
                for n in range(arrays)
            },
            "d": [[number * 1000 + 300 + 2 * n] * 2 for n in range(150)],
        },
    }


def old_record(pages: int = 3) -> dict[str, Any]:
    """Records that a leader with the larger limits wrote."""
    record: dict[str, Any] = {
        "lf/j/req-000001": accepted(job("req-000001", shape="daemon", rungs=9000, owner="blue", rank="production")),
        "lf/j/req-000002": accepted(job("req-000002", rungs=9000, owner="blue")),
    }
    record |= {f"lf/p/{number}": old_page(number, 60, 60) for number in range(pages)}
    assert all(len(encode(record[f"lf/p/{number}"])) > 5 * VALUE_LIMIT_BYTES for number in range(pages))
    return record


def test_the_smaller_of_present_and_next_limit_applies_per_setting() -> None:
    raw = {"rps": 100, "write_rps": 25, "value_kb": 16, "txn_ops": 20}
    both = msgspec.convert(raw | {"next": {"write_rps": 18, "value_kb": 2, "txn_ops": 40}}, StateLimits)
    assert (both.rps, both.write_rps, both.value_kb, both.txn_ops) == (100, 18, 2, 20)
    assert msgspec.convert(raw | {"next": None}, StateLimits).value_kb == 16
    assert msgspec.convert(raw | {"next": {"later": 1}}, StateLimits).txn_ops == 20
    for nonsense in (7, {"value_kb": 0}, {"txn_ops": "many"}, {"rps": -1}):
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert(raw | {"next": nonsense}, StateLimits)


def test_every_page_of_1500_machines_fits_the_smaller_limit_and_holds_many_claims() -> None:
    harness = harness_with_small_limits()
    long_name = "machine-with-an-odd-and-rather-long-name-" + "\u00e9\u0001" * 40
    for number in range(100):
        harness.submit(f"req-{10**17 + number}", owner="blue", rungs=99_999, cores=2.0)
    for host in range(1499):
        harness.report(f"i-{host:06}", endpoint=f"10.1.{host // 250}.{host % 250}:9000")
    harness.report(long_name, endpoint="10.2.0.1:9000")
    while harness.scheduler.changed:
        harness.scheduler.schedule(2.0)
    claims = list(harness.scheduler.unrecorded_claims)
    assert len(claims) == 3000
    record = dict[str, Any]()
    ops = write_due(harness, record)
    assert all(claim.recorded for claim in claims) and ops < len(claims) / 15, "each change records many claims"
    for claim in claims[::2]:
        harness.scheduler.end(claim, True, 3.0)
    write_due(harness, record)
    assert all(encoded_size(page) <= page.size for page in harness.scheduler.pages.pages)


def test_task_ends_written_with_claims_never_overfill_a_page() -> None:
    """Ends of tasks filled a page to two bytes over its size, so that it was not written.

    The claims on that page then waited 112 s to be launched.
    """
    for padding in range(12):  # one of these leaves exactly the space that the claims need
        harness = harness_with_small_limits()
        harness.submit("req-000001", owner="blue", rungs=700, cores=2.0)
        for host in range(3):
            harness.report(f"m{host}" + "x" * padding * (host == 0))
        array = harness.scheduler.jobs["req-000001"]
        array.unrecorded_done |= set(range(100, 600, 2))
        array.finished |= array.unrecorded_done
        harness.scheduler.unrecorded_ends[array] = None
        write_due(harness, {}, MAX_OPS - 1)
        assert all(claim.recorded for claim in array.claims.values()) and not array.unrecorded_done


def test_a_machine_whose_name_fits_no_record_is_deleted_and_blocks_no_other() -> None:
    harness = harness_with_small_limits()
    harness.submit(rungs=4, owner="blue")
    harness.report("x" * 3000)
    assert harness.scheduler.machines["x" * 3000].faulty and not harness.scheduler.unrecorded_claims
    harness.report("m")
    write_due(harness, {})
    assert harness.report("m") and harness.scheduler.sweep(2.0) == ["x" * 3000]


def test_no_write_loses_anything_on_pages_of_the_old_size() -> None:
    """The process may stop after any write, so the records must be complete after each."""
    record = old_record()
    claims, done = read_back(record)
    assert len(claims) == 360 and len(done) == 450
    harness = harness_with_small_limits({key: (value, 5) for key, value in record.items()})
    writes = 0
    while write_due(harness, record, times=1):
        writes += 1
        assert read_back(record) == (claims, done)
    assert writes < 60 and all(
        len(encode(value)) <= VALUE_LIMIT_BYTES for key, value in record.items() if key.startswith("lf/p/")
    )


def test_nothing_that_moves_to_a_nearly_full_page_is_lost() -> None:
    """Moved claims filled their new page to two bytes over its size, so that it was not written.

    The large page was then written without them, the next leader found the claims nowhere, and tasks ran twice
    (`ran_twice`).
    """
    for padding in range(14):
        hosts = {f"i-0{n:05}" + "x" * padding: ["za", f"10.1.0.{n}:9000", "m4", False] for n in range(8)}
        claims = {str(100 + n): [OLD_ATTEMPT + n, host] for n, host in enumerate(hosts)}
        page = {"hosts": hosts, "req-000002": {"a": claims, "d": [[3000 + 2 * n] * 2 for n in range(210)]}}
        record = {"lf/j/req-000002": accepted(job("req-000002", rungs=9000, owner="blue")), "lf/p/0": page}
        before = read_back(record)
        harness = harness_with_small_limits({key: (value, 5) for key, value in record.items()})
        for _ in range(9):
            write_due(harness, record, times=1)
            assert read_back(record) == before


def test_changes_to_pages_of_the_old_size_are_written_to_other_pages() -> None:
    record = old_record(1)
    harness = harness_with_small_limits({key: (value, 5) for key, value in record.items()})
    ended = harness.scheduler.jobs["req-000002"].claims[3]
    harness.scheduler.end(ended, True, 1.0)
    again = harness.scheduler.jobs["req-000002"].claims[4]
    harness.scheduler.end(again, False, 1.0)
    moved = harness.scheduler.claim(again.job, 4, harness.scheduler.machines[ended.host], ended.host, 1.0)
    txn = harness.ledger.collect(False)
    assert txn is not None and "lf/p/0" not in txn.puts, "a page over the limit can't be written"
    check_transaction(txn)
    record.update(txn.puts)
    claims, done = read_back(record)
    assert ("req-000002", 3) in done and ("req-000002", 4, moved.attempt) in claims
    assert not any(index == 3 for uid, index, _ in claims if uid == "req-000002")


def test_moved_entries_are_written_again_before_the_page_they_came_from() -> None:
    """After a write whose guards failed, the moved entries stand only on the large page, which must be written last."""
    record = old_record(1)
    harness = harness_with_small_limits({key: (value, 5) for key, value in record.items()})
    while (txn := harness.ledger.collect(True)) is not None:
        check_transaction(txn)
        harness.ledger.retry_with_revisions(txn, {})
        again = harness.ledger.collect(True, 1)
        assert again is not None and set(again.puts) <= set(txn.puts)
        record.update(again.puts)
        harness.revision += 1
        harness.ledger.applied(again, harness.revision, 2.0)
        assert len(read_back(record)[0]) == 120


def test_a_transaction_refused_for_good_is_split_and_blocks_no_later_one() -> None:
    harness = SchedulerHarness()
    harness.submit(rungs=400, owner="blue")
    for host in range(200):
        harness.report(f"m{host}")
    claims = list(harness.scheduler.unrecorded_claims)
    refused = 0
    record = dict[str, Any]()
    while (txn := harness.ledger.collect(True)) is not None:
        if max(len(encode(value)) for value in txn.puts.values()) > VALUE_LIMIT_BYTES:
            refused += 1
            harness.ledger.refused(txn)
            continue
        record.update(txn.puts)
        harness.revision += 1
        harness.ledger.applied(txn, harness.revision, 2.0)
    assert 0 < refused < 5 and all(claim.recorded for claim in claims)
    harness.records.update({key: (value, 5) for key, value in record.items()})
    assert len({claim.attempt for claim in claims}) == 400 and sorted(record) == sorted(set(record))


def test_a_refused_transaction_undoes_its_moves() -> None:
    record = old_record(1)
    harness = harness_with_small_limits({key: (value, 5) for key, value in record.items()})
    before = read_back(record)
    txn = harness.ledger.collect(True)
    assert txn is not None and txn.moved
    harness.ledger.refused(txn)
    while write_due(harness, record, times=1):
        assert read_back(record) == before


# Guards against: with values over 51 KiB no page fitted into a transaction, so that no claim was ever recorded.
@pytest.mark.parametrize("value_kb", [2.0, 16.0, 48.0, 64.0, 512.0])
def test_claims_are_recorded_whatever_the_limit_on_values(monkeypatch: pytest.MonkeyPatch, value_kb: float) -> None:
    monkeypatch.setitem(SETTINGS["cluster"], "state", SETTINGS["cluster"]["state"] | {"value_kb": value_kb})
    harness = SchedulerHarness()
    launch_job(harness)


def test_a_stop_of_a_cancelled_task_does_not_wait_for_page_moves() -> None:
    record = old_record(1)
    harness = harness_with_small_limits({key: (value, 5) for key, value in record.items()})
    claim = harness.scheduler.jobs["req-000002"].claims[7]
    harness.record_final_state("req-000002", "cancelled")
    orders = harness.report(claim.host, (reported_task(7, claim.attempt, uid="req-000002"),))
    assert [order["verb"] for order in orders] == ["stop"]
