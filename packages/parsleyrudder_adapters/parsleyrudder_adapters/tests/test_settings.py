"""Validation of settings files, and the completeness of their documentation."""

import re
from pathlib import Path
from typing import get_args, get_origin

import msgspec
import pytest
from parsleyrudder import FAILURE_KIND_BY_CODE, SettingsError
from parsleyrudder_adapters.settings import Settings, load_settings, parse_settings

OPERATIONS = Path(__file__).resolve().parents[4] / "docs" / "OPERATIONS.md"


def server(number):
    address = f"127.0.0.1:{9000 + number}"
    return {"id": f"s-{number}", "address": address, "failure_domain": "d", "window": 8}


def valid_document():
    router = {
        "name": "r-1",
        "failure_domain": "d",
        "caller_bind": "127.0.0.1:8100",
        "caller_url": "http://127.0.0.1:8100",
        "peer_bind": "127.0.0.1:8200",
    }
    seed = {"name": "r-2", "address": "127.0.0.1:8201", "caller_url": "http://127.0.0.1:8101"}
    route = {"method": "POST", "path_prefix": "/status", "idempotent": True}
    return {
        "router": router,
        "table": {"address": "127.0.0.1:2379"},
        "instances": {"address": "127.0.0.1:2380"},
        "peers": {"public_key": "p" * 40, "secret_key": "s" * 40, "seeds": [seed]},
        "pools": [
            {"name": "a", "kind": "engine", "servers": [server(1), server(2)]},
            {"name": "b", "kind": "service", "servers": [server(3)], "routes": [route]},
        ],
        "limits": {"body_bytes": 4096},
    }


def set_at_path(document, path, value):
    """Set the value at a path such as ``pools[0].name``; None removes it."""
    *parents, last = [int(part) if part.isdigit() else part for part in re.findall(r"\w+", path)]
    for part in parents:
        document = document[part] if isinstance(part, int) else document.setdefault(part, {})
    if value is None:
        del document[last]
    else:
        document[last] = value


# Each row: path of a field, its invalid value (None: field omitted), text that the error contains.
FAULTS: list[tuple] = [
    ("router.name", None, "missing"),
    ("router.name", "Upper", "'Upper'"),
    ("router.name", "a\n", "'a\\n'"),
    ("router.nmae", "x", "unknown field"),
    ("router.caller_bind", "localhost:80", "'localhost:80'"),
    ("router.caller_bind", "127.0.0.256:80", "256"),
    ("router.peer_bind", "127.0.0.1:65536", "65536"),
    ("router.peer_bind", "127.0.0.1:0", "'127.0.0.1:0'"),
    ("router.peer_bind", "127.0.0.1:8100", "caller_bind too"),
    ("router.caller_url", "127.0.0.1:80", "'127.0.0.1:80'"),
    ("router.address_ttl_s", -1.0, "-1.0"),
    ("router.stop_timeout_s", 0, "0"),
    ("router.stop_timeout_s", True, "True"),
    ("router.config_max_age_s", float("inf"), "inf"),
    ("router.config_max_age_s", float("nan"), "nan"),
    ("router.write_stall_s", "20", "'20'"),
    ("router.log_level", "LOUD", "'LOUD'"),
    ("table", None, "missing"),
    ("table.address", 2379, "2379"),
    ("table.timeout_s", 1e9, "1000000000.0"),
    ("instances", "127.0.0.1:1", "not a table"),
    ("peers.public_key", "p" * 39, "'ppp"),
    ("peers.secret_key", "t" * 39, "39 characters"),
    ("peers.gossip_fan_out", 2.5, "2.5"),
    ("peers.gossip_fan_out", 0, "0"),
    ("peers.seeds[0].name", "r-1", "this router"),
    ("peers.seeds[0].address", "r-2:8201", "'r-2:8201'"),
    ("pools", [], "[]"),
    ("pools", {}, "not an array"),
    ("pools[1].name", "a", "pools[0].name"),
    ("pools[0].kind", "model", "'model'"),
    ("pools[0].servers", [], "[]"),
    ("pools[0].servers[1]", 5, "not a table"),
    ("pools[0].servers[1].window", 0, "0"),
    ("pools[0].servers[1].window", 4.5, "4.5"),
    ("pools[1].servers[0].id", "s-1", "pools[0].servers[0].id"),
    ("pools[1].servers[0].address", "127.0.0.1:9001", "pools[0].servers[0].address"),
    ("pools[0].prompt_weight", -0.1, "-0.1"),
    ("pools[0].default_cost", 9000.0, "largest_cost"),
    ("pools[0].report_interval_s", 6.0, "portion_lease_s"),
    ("pools[0].interactive_reserve", 1.0, "1.0"),
    ("pools[0].interactive_reserve", -0.5, "-0.5"),
    ("pools[0].orders_fenced", 1, "1"),
    ("pools[1].routes[0].method", "post", "'post'"),
    ("pools[1].routes[0].path_prefix", "status", "'status'"),
    ("pools[1].routes[0].idempotent", None, "missing"),
    ("limits.connections", 0, "0"),
    ("limits.target_bytes", 20000, "header_bytes"),
    ("limits.request_s", -10, "-10"),
]


def toml(document):
    return msgspec.toml.encode(document).decode()


@pytest.mark.parametrize(("path", "value", "expected_text"), FAULTS)
def test_wrong_field_is_named_with_file_value_and_remedy(path, value, expected_text):
    """Guards against starting the daemon with invalid settings."""
    document = valid_document()
    set_at_path(document, path, value)
    with pytest.raises(ExceptionGroup) as caught:
        parse_settings(toml(document), "r.toml")
    (error,) = caught.value.exceptions
    assert isinstance(error, SettingsError)
    assert error.message.startswith(f"r.toml: {path}: ")
    assert expected_text in error.message
    assert error.remedy


def test_all_faults_are_reported_in_one_pass():
    """Guards against faults that are reported only after others have been corrected."""
    document = valid_document()
    chosen = [row for row in FAULTS if "seeds" in row[0] or row[0].startswith("pools[1].servers")]
    chosen += [("pools[0].kind", 1, ""), ("pools[0].x", 1, ""), ("router.log_level", 1, "")]
    # A field that occurs in several rows keeps the value of the last one.
    for path, value, _ in chosen:
        set_at_path(document, path, value)
    with pytest.raises(ExceptionGroup) as caught:
        parse_settings(toml(document), "r.toml")
    found = {str(error).split(": ")[1] for error in caught.value.exceptions}
    assert found == {path for path, _, _ in chosen}
    assert len(caught.value.exceptions) == len(found)


def test_valid_settings_are_accepted_and_secrets_are_never_shown(tmp_path):
    """Guards against rejecting valid settings, and against a secret key in an error message."""
    settings = parse_settings(toml(valid_document()))
    assert settings.pools[1].servers[0].id == "s-3"
    assert settings.limits.body_bytes == 4096
    document = valid_document()
    set_at_path(document, "peers.secret_key", "secret" * 9)
    with pytest.raises(ExceptionGroup) as caught:
        parse_settings(toml(document))
    assert "secretsecret" not in str(caught.value.exceptions)
    broken = tmp_path / "broken.toml"
    for content in (b"[router", b"\xff"):
        broken.write_bytes(content)
        with pytest.raises(SettingsError, match="broken.toml"):
            load_settings(str(broken))
    with pytest.raises(SettingsError, match="none.toml"):
        load_settings(str(tmp_path / "none.toml"))


def table_rows(section):
    """Return the cells of each row of the table in a section of docs/OPERATIONS.md."""
    text = OPERATIONS.read_text().split(f"## {section}\n")[1].split("\n## ")[0]
    rows = [line.strip("|").split("|") for line in text.splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in row] for row in rows]


def documented_fields(struct, prefix=""):
    for field in msgspec.structs.fields(struct):
        path, type_ = prefix + field.name, field.type
        is_array = get_origin(type_) is tuple
        inner = get_args(type_)[0] if is_array else type_
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            yield from documented_fields(inner, path + ("[]." if is_array else "."))
        else:
            default = "required"
            if not field.required:
                default = msgspec.json.encode(field.default).decode().strip('"') or "empty"
            yield f"`{path}`", default


def test_table_of_settings_is_complete():
    """Guards against settings and defaults that are missing from or wrong on the page."""
    rows = table_rows("Settings")
    assert [(row[0], row[2]) for row in rows] == list(documented_fields(Settings))
    assert all(len(row) == 4 and all(row) for row in rows)


def test_table_of_errors_is_complete():
    """Guards against error codes that are missing from or wrong on the page."""
    rows = table_rows("Errors")
    expected = [
        (f"`{kind.code}`", str(kind.status), f"`{kind.outcome}`", kind.remedy)
        for kind in FAILURE_KIND_BY_CODE.values()
    ]
    assert [(row[0], row[1], row[2], row[4]) for row in rows] == expected
    assert all(row[3] for row in rows)


def test_orders_to_engines_without_fencing_need_more_of_the_lease():
    """Guards against a setting ``orders_fenced`` without effect."""
    rules = [
        parse_settings(toml(valid_document())).orders.rules(fenced) for fenced in (True, False)
    ]
    assert [rule.send_margin_s for rule in rules] == [1.0, 1.8]
