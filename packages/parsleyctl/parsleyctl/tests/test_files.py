"""Guards the lists as files: a fetch loses nothing, and every fault is reported at once."""

import pytest
from parsleyctl.files import base_version, read_lists, write_lists
from parsleyrudder import Config, Member, Plan, key_digest

PLAN = Plan("small", ("chat",), 10, 5.0, 100.0, 50.0, 10, 3.0)
MEMBER = Member("a", "small", 2.5, key_digest("a"))


def test_fetched_files_read_back_as_the_same_lists(tmp_path):
    config = Config(7, {"a": MEMBER}, {"small": PLAN})
    write_lists(tmp_path, config)
    assert base_version(tmp_path) == 7
    read = read_lists(tmp_path, frozenset({"chat"}))
    assert (read.member_by_name, read.plan_by_name) == (config.member_by_name, config.plan_by_name)


ROW = 'name = "a"\nplan = "small"\nshare = 1.0\nkey_digest = "{}"\n'.format("0" * 64)


@pytest.mark.parametrize(
    ("members", "faults"),
    [
        ("[[member]\n", ["TOML"]),
        ("[[member]]\n" + ROW.replace("1.0", "-1.0"), ["member[0].share"]),
        ("[[member]]\n" + ROW.replace("1.0", "nan"), ["member[0].share"]),
        ("[[member]]\n" + ROW.replace("1.0", '"x"'), ["member[0].share"]),
        ("[[member]]\n" + ROW + "colour = 1\n", ["member[0].colour"]),
        ("[[member]]\n" + ROW + "\n[[member]]\n" + ROW, ["member[1].name"]),
        ("[[member]]\nshare = 0.0\n", ["name", "plan", "key_digest"]),
        ("[[member]]\n" + ROW.replace("small", "huge"), ["plan 'huge' is not listed"]),
        ('[[member]]\nname = "B!"\nplan = "small"\nshare = 0\nkey_digest = "x"\n[other]\n',
         ["unknown key", "not a name", "share", "digest"]),
    ],
)  # fmt: skip
def test_every_fault_is_reported(tmp_path, members, faults):
    write_lists(tmp_path, Config(0, {}, {"small": PLAN}))
    (tmp_path / "members.toml").write_text(members)
    with pytest.raises(ExceptionGroup) as caught:
        read_lists(tmp_path)
    texts = [str(error) for error in caught.value.exceptions]
    for fault in faults:
        assert any(fault in text for text in texts), (fault, texts)
