"""Responses to repeated calls with an idempotency key, and the transactions of key rows."""

import pytest
from parsleyrudder import (
    Failure,
    KeyBatcher,
    KeyFree,
    KeyLimits,
    KeyReplay,
    KeyRow,
    KeyState,
    KeyWrite,
    Row,
    expired_row_deletes,
    is_valid_key,
    key_txn,
    lost_row,
    resolve_repeat,
    result_row,
)

RUNNING = KeyRow(KeyState.RUNNING, "a1", "r1", 7, "digest", run_until=100.0, expires_at=500.0)
DONE = result_row(RUNNING, 201, "text/plain", b"ok")


@pytest.mark.parametrize(
    ("row", "digest", "live", "wall", "expected"),
    [
        (RUNNING, "digest", True, 50.0, "still_running"),
        (RUNNING, "digest", False, 50.0, "result_lost"),
        # By then the call has ended, although its router is live; the result was never stored.
        (RUNNING, "digest", True, 100.0, "result_lost"),
        (RUNNING, "other", True, 50.0, "key_reused"),
        (DONE, "other", True, 50.0, "key_reused"),
        (DONE, "digest", False, 50.0, KeyReplay(201, "text/plain", b"ok")),
        (result_row(RUNNING, 200, "", b""), "digest", False, 50.0, KeyReplay(200, "", b"")),
        (result_row(RUNNING, 200, "", None), "digest", True, 50.0, "result_lost"),
        (lost_row(RUNNING), "digest", True, 50.0, "result_lost"),
        # A repeated call runs only if the row has expired and still has the revision that was read.
        (DONE, "other", True, 500.0, KeyFree(9)),
        (RUNNING, "digest", False, 499.0, "result_lost"),
    ],
)
def test_repeated_call_never_runs_before_the_row_expires(row, digest, live, wall, expected):
    result = resolve_repeat(KeyRow.decode(row.encode()), 9, digest, live, wall)
    assert (result.kind.code if isinstance(result, Failure) else result) == expected


@pytest.mark.parametrize(
    ("sizes", "limits", "expected"),
    [
        ([1] * 5, KeyLimits(batch_writes=2), [2, 2, 1]),
        ([400, 400, 400], KeyLimits(batch_bytes=1000), [2, 1]),
        ([4000, 1], KeyLimits(batch_bytes=1000), [1, 1]),
        ([1] * 200, KeyLimits(), [60, 60, 60, 20]),
    ],
)
def test_batches_respect_the_limits_of_the_table(sizes, limits, expected):
    batcher = KeyBatcher(limits)
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
    batcher = KeyBatcher(KeyLimits(batch_writes=1))
    writes = [KeyWrite("a", 0, b"1"), KeyWrite("b", 0, b"2"), KeyWrite("b", 3, None)]
    for write in writes:
        batcher.add(write)
    assert [batcher.take()[0] for _ in writes] == writes


def test_only_expired_rows_are_deleted_and_only_at_the_revision_read():
    rows = [Row("keys/m/1", DONE.encode(), 5), Row("keys/m/2", b"no row", 6)]
    assert expired_row_deletes(rows, 499.0) == []
    assert expired_row_deletes(rows, 500.0) == [KeyWrite("keys/m/1", 5, None)]


@pytest.mark.parametrize("key", ["", "a b", "a\n", "é", "x" * 256])
def test_invalid_key_is_rejected(key):
    assert not is_valid_key(key)
