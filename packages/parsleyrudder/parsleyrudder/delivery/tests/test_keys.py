"""Guards what a repeat with an idempotency key is told, and the transactions of its rows."""

import pytest
from parsleyrudder import (
    Failure,
    KeyBatcher,
    KeyFree,
    KeyReplay,
    KeyRow,
    KeyRules,
    KeyState,
    KeyWrite,
    Row,
    expired_writes,
    is_valid_key,
    judge_repeat,
    key_txn,
    lost_row,
    result_row,
)

RUNNING = KeyRow(KeyState.RUNNING, "a1", "r1", 7, "digest", run_until=100.0, expires_at=500.0)
DONE = result_row(RUNNING, 201, "text/plain", b"ok")


@pytest.mark.parametrize(
    ("row", "digest", "live", "wall", "expected"),
    [
        (RUNNING, "digest", True, 50.0, "still_running"),
        (RUNNING, "digest", False, 50.0, "result_lost"),
        # The call of a live router has ended by then; its result was never stored.
        (RUNNING, "digest", True, 100.0, "result_lost"),
        (RUNNING, "other", True, 50.0, "key_reused"),
        (DONE, "other", True, 50.0, "key_reused"),
        (DONE, "digest", False, 50.0, KeyReplay(201, "text/plain", b"ok")),
        (result_row(RUNNING, 200, "", b""), "digest", False, 50.0, KeyReplay(200, "", b"")),
        (result_row(RUNNING, 200, "", None), "digest", True, 50.0, "result_lost"),
        (lost_row(RUNNING), "digest", True, 50.0, "result_lost"),
        # Only an expired row lets a repeat run, and only as the row's next writer.
        (DONE, "other", True, 500.0, KeyFree(9)),
        (RUNNING, "digest", False, 499.0, "result_lost"),
    ],
)
def test_repeat_never_runs_before_the_row_expires(row, digest, live, wall, expected):
    verdict = judge_repeat(KeyRow.decode(row.encode()), 9, digest, live, wall)
    assert (verdict.kind.code if isinstance(verdict, Failure) else verdict) == expected


@pytest.mark.parametrize(
    ("sizes", "rules", "expected"),
    [
        ([1] * 5, KeyRules(batch_writes=2), [2, 2, 1]),
        ([400, 400, 400], KeyRules(batch_bytes=1000), [2, 1]),
        ([4000, 1], KeyRules(batch_bytes=1000), [1, 1]),
        ([1] * 200, KeyRules(), [60, 60, 60, 20]),
    ],
)
def test_batches_keep_the_limits_of_the_table(sizes, rules, expected):
    batcher = KeyBatcher(rules)
    for index, size in enumerate(sizes):
        batcher.add(KeyWrite(f"keys/m/{index}", 0, b"x" * size, read=True))
    batches = [batcher.take() for _ in expected]
    assert [len(batch) for batch in batches] == expected
    assert not len(batcher)
    for batch in batches:
        txn = key_txn(batch)
        assert len(txn.puts) + len(txn.reads) <= 128
        assert len({put.key for put in txn.puts}) == len(txn.puts)


def test_later_write_of_a_row_does_not_overtake_an_earlier_one():
    batcher = KeyBatcher(KeyRules(batch_writes=1))
    writes = [KeyWrite("a", 0, b"1"), KeyWrite("b", 0, b"2"), KeyWrite("b", 3, None)]
    for write in writes:
        batcher.add(write)
    assert [batcher.take()[0] for _ in writes] == writes


def test_only_expired_rows_are_removed_and_only_as_they_were_read():
    rows = [Row("keys/m/1", DONE.encode(), 5), Row("keys/m/2", b"no row", 6)]
    assert expired_writes(rows, 499.0) == []
    assert expired_writes(rows, 500.0) == [KeyWrite("keys/m/1", 5, None)]


@pytest.mark.parametrize("key", ["", "a b", "a\n", "é", "x" * 256])
def test_key_that_cannot_name_a_row_is_refused(key):
    assert not is_valid_key(key)
