"""Values that no message can carry are refused where they come in."""

import json

import attrs
import pytest

from tests.unit.test_platform import call, make_configuration  # noqa: F401
from verbenanotch import conf
from verbenanotch.catalog import Route
from verbenanotch.distribution._mesh_state import encode_mesh
from verbenanotch.documents import Invalid, value_problems
from verbenanotch.membership import decode_entry

SURROGATE = "\ud800"
# As JSON, since json.dumps writes a float beyond the range as Infinity.
ODD_VALUES = [
    '"\\ud800"',
    '"/\\ud800/"',
    '"\\ud800.example"',
    '"a\\u0000b"',
    '""',
    str(2**70),
    str(-(2**70)),
    str(2**63),
    str(2**62),
    "1e18",
    "-1e18",
    "1e308",
    "1e400",
    "-1e400",
    "9" * 4299,
    "9" * 5000,
    "-1",
    "0",
    "null",
    "true",
    "[]",
    "{}",
    "[" * 900 + "]" * 900,
    "[" * 100_000,
]
ROUTE_FIELDS = [
    "Host",
    "Prefix",
    "Kind",
    "TimeoutS",
    "SloS",
    "Priority",
    "Service",
    "Attempts",
    "Public",
    "Split",
]
SERVICE_FIELDS = ["HealthPath", "MaxConns"]
ACCOUNT_FIELDS = ["ApiKeys", "Priority", "RatePerS", "Burst"]


def with_odd_value(place, value):
    """Return a configuration with a JSON text at a path of keys."""
    document = json.loads(make_configuration())
    document["Tenants"] = {
        "t": {"ApiKeys": ["k"], "Priority": 1, "RatePerS": 5, "Burst": 1}
    }
    at = document
    for key in place[:-1]:
        at = at.setdefault(key, {})
    at[place[-1]] = "PLACE"
    if "Split" in place[:-1]:
        split = document["Routes"]["r-1"]
        split["Split"] = [{"Service": "one", **split["Split"]}]
    return json.dumps(document).replace('"PLACE"', value).encode()


PLACES = [
    *[("Routes", "r-1", field) for field in ROUTE_FIELDS],
    *[("Services", "one", field) for field in SERVICE_FIELDS],
    *[("Tenants", "t", field) for field in ACCOUNT_FIELDS],
    ("Routes", "r-1", "Split", "Weight"),
    ("Version",),
    ("Routes",),
    ("Services",),
    ("Tenants",),
    ("Routes", "r-1"),
    ("Services", "one"),
    ("Tenants", "t"),
]


@pytest.mark.parametrize("place", PLACES, ids=".".join)
def test_an_odd_configuration_is_refused_or_can_be_distributed(
    call,  # noqa: F811
    place,
):
    """Guard against acknowledged versions that no proxy can get."""
    label = 5
    assert call("PUT", make_configuration("r5"), "0")[0] == 200
    for value in ODD_VALUES:
        body = with_odd_value(place, value)
        label += 1
        if place != ("Version",):
            body = body.replace(b'"r7"', b'"r%d"' % label)
        status, _ = call("PUT", body, f"r{call.versions.current_label}")
        assert status in (200, 400, 412), value[:40]
        assert_can_be_distributed(call.versions.current)


def assert_can_be_distributed(record):
    state = encode_mesh(
        version=record.version, mesh=record.mesh, pause=lambda: None
    )
    for name, data in state.full.routes.entries_by_key.items():
        assert decode_entry(data, Route) == record.mesh.routes[name]


@pytest.mark.parametrize("part", ["Routes", "Services", "Tenants"])
def test_a_name_that_cannot_be_encoded_is_refused(call, part):  # noqa: F811
    document = json.loads(make_configuration())
    document.setdefault(part, {})[SURROGATE] = {}
    status, body = call("PUT", json.dumps(document).encode(), "0")
    assert status == 400
    assert body


def test_the_error_names_the_value(call):  # noqa: F811
    status, body = call("PUT", make_configuration(Priority=2**70), "0")
    assert status == 400
    assert b"routes.r-1.priority" in body
    assert b"64 bits" in body


def test_problems_are_found_in_every_collection():
    @attrs.frozen(kw_only=True)
    class Values:
        texts: tuple
        table: dict

    values = Values(
        texts=("a", SURROGATE), table={"n": [1, 2**64], "x": float("inf")}
    )
    keys = [problem.key for problem in value_problems(values, key="v")]
    assert sorted(keys) == ["v.table.n.2", "v.table.x", "v.texts.2"]


def test_what_messages_can_carry_is_no_problem():
    values = [None, True, b"\xff", -(2**63), 2**63 - 1, 1e308, "é\0", {}]
    assert list(value_problems(values)) == []


HOST_SETTINGS = {
    "name": '"p"',
    "role": '"proxy"',
    "availability_zone": '"z1"',
    "region": '"r"',
    "address": '"127.0.0.1"',
    "peer_port": "7000",
    "peer_key": '"a key of sixteen letters"',
}


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("host", "peer_port", str(2**70)),
        ("proxy", "retry_burst", "inf"),
        ("proxy", "stop_seconds", "nan"),
        ("proxy", "max_in_flight", str(2**64)),
    ],
)
def test_settings_with_odd_numbers_are_refused(tmp_path, section, key, value):
    sections = {
        "host": dict(HOST_SETTINGS),
        "proxy": {"caller_port": "7001", "target_port": "7002"},
        "discovery": {"seeds": '["127.0.0.1"]', "peer_port": "7000"},
    }
    sections[section][key] = value
    text = "\n".join(
        line
        for name, values in sections.items()
        for line in (
            f"[{name}]",
            *(f"{key} = {value}" for key, value in values.items()),
        )
    )
    path = tmp_path / "settings.toml"
    path.write_text(text, encoding="utf-8")
    match conf.load(path):
        case Invalid(problems=problems):
            assert {p.key for p in problems} == {f"{section}.{key}"}
        case _:
            pytest.fail("the settings were accepted")
