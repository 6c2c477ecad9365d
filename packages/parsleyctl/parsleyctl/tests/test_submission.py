"""Guards submissions against silent overwrites and lost responses."""

import pytest
from parsleyctl.submission import submit_config
from parsleyrudder import (
    Accepted,
    Config,
    Conflict,
    Member,
    Plan,
    TableError,
    decode_config,
    key_digest,
    read_config_txn,
    read_log_txn,
)
from parsleyrudder_standins.local_table import LocalTable

PLAN = Plan("small", ("chat",), 10, 5.0, 100.0, 50.0, 10, 3.0)


def config_of(**share_by_member):
    members = {
        name: Member(name, "small", float(share), key_digest(name))
        for name, share in share_by_member.items()
    }
    return Config(0, members, {"small": PLAN})


def submit_without_delay(table, config, base, author="ana"):
    return submit_config(table, config, base, author, sleep=lambda seconds: None)


def accepted(table):
    return decode_config(table.txn(read_config_txn()))[0]


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        (("ok", "ok"), Accepted(1)),
        (("ok", "lost"), Accepted(1)),
        (("ok", "lost", "down", "down"), Accepted(1)),
        (("ok", "lost", "lost", "lost"), Accepted(1)),
    ],
)
def test_submission_is_applied_once_if_a_response_is_lost(faults, expected):
    table = LocalTable(faults)
    assert submit_without_delay(table, config_of(a=1), None) == expected
    assert accepted(table).version == 1
    assert len(table.txn(read_log_txn()).rows[0]) == 1


def test_error_of_an_unknown_result_names_the_submission():
    table = LocalTable(("ok", "lost", "down", "down", "down", "down"))
    with pytest.raises(TableError, match="look for submission ana-") as error:
        submit_without_delay(table, config_of(a=1), None)
    assert error.value.maybe_applied


def test_table_down_before_the_write_is_reported_as_not_applied():
    table = LocalTable(("ok", "down"))
    with pytest.raises(TableError) as error:
        submit_without_delay(table, config_of(a=1), None)
    assert not error.value.maybe_applied
    assert accepted(table).version == 0


def test_concurrent_submission_is_a_conflict_and_changes_nothing():
    table = LocalTable()
    submit_without_delay(table, config_of(a=1), None)

    def race(txn):
        if txn.has_writes:
            table.before_txn = lambda txn: None
            submit_without_delay(table, config_of(a=2), 1, "bia")

    table.before_txn = race
    outcome = submit_without_delay(table, config_of(a=3), 1)
    assert isinstance(outcome, Conflict)
    assert [(entry.version, entry.author) for entry in outcome.newer] == [(2, "bia")]
    assert outcome.newer[0].changes == ("~ member a (share: 1.0 -> 2.0)",)
    assert accepted(table).member_by_name["a"].share == 2.0


def test_stale_base_is_a_conflict():
    table = LocalTable()
    submit_without_delay(table, config_of(a=1), None)
    submit_without_delay(table, config_of(a=1, b=1), None)
    outcome = submit_without_delay(table, config_of(a=5), 1)
    assert isinstance(outcome, Conflict)
    assert accepted(table).version == 2
