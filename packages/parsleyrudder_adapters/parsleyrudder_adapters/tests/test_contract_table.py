"""Contract of the table service, checked on the stand-in through both adapters."""

import base64
import json
import socket

import pytest
from parsleyrudder import Compare, Put, Range, TableError, Txn
from parsleyrudder_adapters.etcd import BlockingEtcdTable, EtcdTable
from parsleyrudder_standins.table import TableStandIn

TIMEOUT_S = 0.3
SEEDED = ["a", "b/1", "b/2", "b/3", "b0", "c"]  # One transaction: all have the same revision.
READ_B = Range("b/", prefix=True)


@pytest.fixture(params=["loop", "blocking"])
def table(request, start_server, loop, client):
    """Return the server of a seeded table, and a function that runs a transaction on it."""
    server = start_server(TableStandIn().handle)
    if request.param == "blocking":
        run = BlockingEtcdTable(server.address, TIMEOUT_S).txn
    else:
        adapter = EtcdTable(client, server.address, TIMEOUT_S)

        def run(txn):
            results: list = []
            loop.call(lambda: adapter.txn(txn, results.append))
            loop.wait_until(lambda: results)
            if isinstance(results[0], TableError):
                raise results[0]
            return results[0]

    run(Txn(puts=tuple(Put(key, key.encode()) for key in SEEDED)))
    return server, run


def rows(result):
    return [[row.key for row in read] for read in result.rows]


# Each row: transaction (-1 stands for the revision of the seeded rows), whether it succeeds, and
# the keys that each read returns.
CASES = {
    "read one": (Txn(reads=(Range("a"),)), True, [["a"]]),
    "read none": (Txn(reads=(Range("x"),)), True, [[]]),
    "prefix": (Txn(reads=(READ_B,)), True, [["b/1", "b/2", "b/3"]]),
    "prefix, limit": (Txn(reads=(Range("b/", True, limit=2),)), True, [["b/1", "b/2"]]),
    "prefix, after": (Txn(reads=(Range("b/", True, after="b/1"),)), True, [["b/2", "b/3"]]),
    "after, limit": (Txn(reads=(Range("b/", True, "b/1", 1),)), True, [["b/2"]]),
    "after the last": (Txn(reads=(Range("b/", True, after="b/3"),)), True, [[]]),
    "after lies before": (
        Txn(reads=(Range("b/", True, after="a"),)),
        True,
        [["b/1", "b/2", "b/3"]],
    ),
    "all keys": (Txn(reads=(Range("", True),)), True, [SEEDED]),
    "several reads": (Txn(reads=(Range("a"), READ_B)), True, [["a"], ["b/1", "b/2", "b/3"]]),
    "writes of several keys": (
        Txn(
            (Compare("a", -1), Compare("b/9", 0)), (Put("a", b"n"), Put("b/9", b"n")), (), (READ_B,)
        ),
        True,
        [["b/1", "b/2", "b/3", "b/9"]],
    ),
    "one condition fails": (
        Txn((Compare("a", -1), Compare("c", 0)), (Put("b/9", b"n"),), ("b/1",), (READ_B,)),
        False,
        [["b/1", "b/2", "b/3"]],
    ),
    "revision is too high": (
        Txn((Compare("a", 99),), (Put("b/9", b"n"),), (), (READ_B,)),
        False,
        [["b/1", "b/2", "b/3"]],
    ),
    "delete": (Txn(deletes=("b/2", "x"), reads=(READ_B,)), True, [["b/1", "b/3"]]),
    "delete on condition": (
        Txn((Compare("b/2", -1),), (), ("b/2",), (READ_B,)),
        True,
        [["b/1", "b/3"]],
    ),
    "empty value": (Txn(puts=(Put("b/0", b""),), reads=(Range("b/0"),)), True, [["b/0"]]),
    "any bytes": (
        Txn(puts=(Put("\u00e9", bytes(range(256))),), reads=(Range("\u00e9"),)),
        True,
        [["\u00e9"]],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_transaction(table, name):
    """Guards against partial writes, ignored conditions, and reads beyond their range."""
    _, run = table
    txn, succeeded, keys = CASES[name]
    seeded = run(Txn(reads=(Range("a"),))).rows[0][0].revision
    compares = tuple(Compare(c.key, seeded if c.revision < 0 else c.revision) for c in txn.compares)
    result = run(Txn(compares, txn.puts, txn.deletes, txn.reads))
    assert result.succeeded is succeeded
    assert rows(result) == keys
    changed = succeeded and txn.has_writes
    assert result.revision == seeded + int(changed)
    for put in txn.puts:
        found = run(Txn(reads=(Range(put.key),))).rows[0]
        if succeeded:
            assert (found[0].value, found[0].revision) == (put.value, result.revision)
        else:
            assert not found


WRITE = Txn(puts=(Put("w", b"1"),), reads=(Range("w"),))
READ = Txn(reads=(Range("a"),))
# Each row: fault, transaction, `maybe_applied`, whether the write took effect (None: either).
FAULTS: dict[str, tuple] = {
    "outage, write": ({"mode": "down"}, WRITE, True, False),
    "outage, read": ({"mode": "down"}, READ, False, False),
    "refused, write": ({"mode": "refuse"}, WRITE, False, False),
    "slow past the timeout, write": ({"mode": "slow", "delay_s": 0.6}, WRITE, True, None),
    "slow past the timeout, read": ({"mode": "slow", "delay_s": 0.6}, READ, False, False),
    "lost response": ({"mode": "lose_answers"}, WRITE, True, True),
    "too many operations": (
        {"mode": "up"},
        Txn(puts=tuple(Put(f"w{i}", b"") for i in range(129))),
        False,
        False,
    ),
    "one key twice": ({"mode": "up"}, Txn(puts=(Put("w", b"1"),), deletes=("w",)), False, False),
}


@pytest.mark.parametrize("name", FAULTS)
def test_fault_tells_whether_a_write_may_have_taken_effect(table, name):
    """Guards against repeating or abandoning a write because of a wrong ``maybe_applied``."""
    server, run = table
    fault, txn, maybe_applied, applied = FAULTS[name]
    server.set_fault(**fault)
    with pytest.raises(TableError) as caught:
        run(txn)
    assert caught.value.maybe_applied is maybe_applied
    assert caught.value.remedy
    server.set_fault("up")
    if applied is not None:
        assert bool(run(Txn(reads=(Range("w"),))).rows[0]) is applied
    assert run(READ).succeeded


def test_no_listener_means_not_applied(loop, client):
    """Guards against reporting ``maybe_applied`` for a write of which no byte was sent."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = f"127.0.0.1:{closed.getsockname()[1]}"
    results: list = []
    loop.call(lambda: EtcdTable(client, address, TIMEOUT_S).txn(WRITE, results.append))
    loop.wait_until(lambda: results)
    with pytest.raises(TableError) as caught:
        BlockingEtcdTable(address, TIMEOUT_S).txn(WRITE)
    assert results[0].maybe_applied is caught.value.maybe_applied is False


def _kvs(**kv):
    return json.dumps(
        {"header": {"revision": "2"}, "responses": [{"response_range": {"kvs": [kv]}}]}
    )


GARBAGE = [
    "",
    "no JSON",
    "[]",
    "{}",
    "null",
    '{"header": null}',
    '{"header": {"revision": "x"}}',
    '{"header": {"revision": "2"}, "responses": null}',
    '{"header": {"revision": "2"}, "responses": [5]}',
    '{"header": {"revision": "2"}, "responses": []}',
    _kvs(key="!", mod_revision="1"),
    _kvs(key=base64.b64encode(b"\xff").decode(), mod_revision="1"),
    _kvs(key="YQ=="),
    _kvs(key="YQ==", mod_revision="1", value=5),
]


@pytest.mark.parametrize("body", GARBAGE)
def test_garbage_is_an_error_and_not_an_empty_table(table, body):
    """Guards against treating an invalid response as empty, or raising in the event loop."""
    server, run = table
    server.set_fault("garbage", body=body)
    for txn, maybe in ((READ, False), (WRITE, True)):
        with pytest.raises(TableError) as caught:
            run(txn)
        assert caught.value.maybe_applied is maybe
