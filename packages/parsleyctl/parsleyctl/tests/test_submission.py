"""Guards submissions against silent overwrites and against lost answers."""

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


def submit_quietly(table, config, base, author="ana"):
    return submit_config(table, config, base, author, pause=lambda seconds: None)


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
def test_lost_answer_is_settled_and_applied_once(faults, expected):
    table = LocalTable(faults)
    assert submit_quietly(table, config_of(a=1), None) == expected
    assert accepted(table).version == 1
    assert len(table.txn(read_log_txn()).rows[0]) == 1


def test_unsettled_submission_names_its_id():
    table = LocalTable(("ok", "lost", "down", "down", "down", "down"))
    with pytest.raises(TableError, match="look for submission ana-") as error:
        submit_quietly(table, config_of(a=1), None)
    assert error.value.maybe_applied


def test_table_down_before_the_write_is_no_doubt():
    table = LocalTable(("ok", "down"))
    with pytest.raises(TableError) as error:
        submit_quietly(table, config_of(a=1), None)
    assert not error.value.maybe_applied
    assert accepted(table).version == 0


def test_racing_editor_gets_a_conflict_and_changes_nothing():
    table = LocalTable()
    submit_quietly(table, config_of(a=1), None)

    def race(txn):
        if txn.has_writes:
            table.before = lambda txn: None
            submit_quietly(table, config_of(a=2), 1, "bia")

    table.before = race
    outcome = submit_quietly(table, config_of(a=3), 1)
    assert isinstance(outcome, Conflict)
    assert [(entry.version, entry.author) for entry in outcome.newer] == [(2, "bia")]
    assert outcome.newer[0].changes == ("~ member a (share: 1.0 -> 2.0)",)
    assert accepted(table).member_by_name["a"].share == 2.0


def test_stale_base_is_a_conflict():
    table = LocalTable()
    submit_quietly(table, config_of(a=1), None)
    submit_quietly(table, config_of(a=1, b=1), None)
    outcome = submit_quietly(table, config_of(a=5), 1)
    assert isinstance(outcome, Conflict)
    assert accepted(table).version == 2
