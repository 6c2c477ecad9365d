"""Entries of targets that another program may have written, without a network."""

import logging

import pytest
from parsleyrudder import DocumentError, FeedPage, Row, Target, TargetDirectory
from parsleyrudder_daemon.relay import ignored_rows
from parsleyrudder_daemon.relay.target_entries import TargetEntries


class Decoder:
    """Takes a row with the value ``odd`` for an invalid one."""

    def decode_target(self, row):
        if row.value == b"odd":
            raise DocumentError(f"row {row.key!r}", "it is odd")
        return Target(row.key, "pool", "127.0.0.1:1", "a", slots=1)


class Scene:
    def __init__(self):
        self.directory = TargetDirectory()
        self.changes = 0
        self.entries = TargetEntries(Decoder(), self.directory, self._count)  # type: ignore[arg-type]

    def _count(self):
        self.changes += 1

    def read(self, after_outage=False, **value_by_key):
        self.entries.on_read(page(value_by_key), after_outage)

    def change(self, **value_by_key):
        self.entries.on_changes(page(value_by_key))

    @property
    def ids(self):
        return sorted(self.directory.by_id)


def page(value_by_key):
    rows = [Row(key, value, 1) for key, value in value_by_key.items()]
    return FeedPage(rows, {}, 1, 0.0)


@pytest.mark.parametrize("value_by_key", [{"t0": b"odd", "t1": b""}, {"t1": b"", "t0": b"odd"}])
def test_an_odd_entry_hides_no_other_one(value_by_key):
    scene = Scene()
    scene.read(**value_by_key)
    assert scene.ids == ["t1"]
    scene.change(t0=b"odd", t2=b"")
    assert scene.ids == ["t1", "t2"]
    assert scene.changes == 2


@pytest.mark.parametrize("step", ["change", "read", "read after an outage"])
def test_an_odd_entry_of_a_known_target_is_not_taken_for_the_earlier_one(step):
    """After an outage, the target stayed in use for 2 s as one whose entry had lapsed."""
    scene = Scene()
    scene.read(t0=b"", t1=b"")
    if step == "change":
        scene.change(t0=b"odd")
    else:
        scene.read(after_outage=step != "read", t0=b"odd", t1=b"")
    assert scene.ids == ["t1"]
    scene.change(t0=b"")
    assert scene.ids == ["t0", "t1"]


def test_an_odd_entry_that_is_written_every_second_is_logged_once_a_minute(monkeypatch, caplog):
    time_s = 0.0
    monkeypatch.setattr(ignored_rows, "now", lambda: time_s)
    scene = Scene()
    with caplog.at_level(logging.WARNING):
        for second in range(120):
            time_s = float(second)
            scene.change(t0=b"odd")
    assert [r.getMessage().count("unlogged=59") for r in caplog.records] == [0, 1]


def test_many_odd_entries_are_logged_in_a_bounded_number_of_lines(caplog):
    with caplog.at_level(logging.WARNING):
        Scene().read(**{f"t{n}": b"odd" for n in range(1000)})
    assert len(caplog.records) == 100
