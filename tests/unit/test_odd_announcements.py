"""Announcements with odd values name no target and harm no other."""

import io
import itertools
import json
import time

import pytest

from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.conf import HeaderNames
from verbenanotch.membership import HostRecord, decode_entry, encode_entry
from verbenanotch.platform import interfaces
from verbenanotch.proxy import LocalTargets, TargetInterface
from verbenanotch.proxy._outcome import Answered
from verbenanotch.proxy._probe import _load_percent
from verbenanotch.proxy._target_discovery import parse_identity

BORN_MS = int(time.time() * 1000) - 60_000
REPORT = {
    "Service": "pay",
    "Addr": "127.0.0.1:7500",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdLeftS": 0,
    "Seq": 1,
    "born": BORN_MS,
}
ANNOUNCEMENT = {
    "service": "pay",
    "address": "127.0.0.1",
    "port": 7500,
    "slots": 4,
    "incarnation": 100,
    "software_version": "v1",
}
# As JSON, since json.dumps writes a float beyond the range as Infinity.
ODD_NUMBERS = [
    str(2**70),
    str(2**63),
    str(2**62),
    str(-(2**70)),
    "-1",
    "1e400",
    "1.5",
    "true",
    "9" * 4299,
]
ODD_VALUES = [
    *ODD_NUMBERS,
    '"\\ud800"',
    '"a\\r\\nb: c"',
    '""',
    "null",
    "[]",
    "{}",
    "[" * 900 + "]" * 900,
    "[" * 9000,
]
ODD_ADDRESSES = [
    '"127.0.0.1:0"',
    '"127.0.0.1:65536"',
    '"127.0.0.1:-1"',
    f'"127.0.0.1:{"9" * 5000}"',
    '"127.0.0.1"',
    '"nowhere.example:80"',
    '"256.0.0.1:80"',
    '":80"',
]


@pytest.fixture
def targets():
    """Return LocalTargets whose changes are encoded, as for the peers."""

    def encode():
        encode_entry(local_targets.announcement())

    local_targets = LocalTargets(
        settings=SETTINGS,
        incarnation=1,
        on_change=encode,
        known_services=lambda: {"pay": None},
    )
    return local_targets


@pytest.fixture
def request_platform(targets):
    return requester(interfaces.make_targets(local_targets=targets))


@pytest.fixture
def request_native(targets):
    return requester(TargetInterface(local_targets=targets).application)


def requester(application):
    def request(method, path, text):
        body = text.encode()
        statuses = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        b"".join(application(environ, lambda line, _: statuses.append(line)))
        return int(statuses[0][:3])

    return request


def with_value(document, key, text):
    return json.dumps({**document, key: "PLACE"}).replace('"PLACE"', text)


def assert_only_target(targets, target_id):
    assert list(targets.targets_by_id) == [target_id]
    announced = targets.announcement()
    assert decode_entry(encode_entry(announced), HostRecord) == announced


@pytest.mark.parametrize("target_id", ["i-real", "i-other"])
@pytest.mark.parametrize(
    ("key", "values"),
    [
        ("Service", ODD_VALUES),
        ("Addr", ODD_VALUES + ODD_ADDRESSES),
        ("Zone", [*ODD_NUMBERS, '"\\ud800"', "null", "[]", "{}"]),
        ("Slots", [*ODD_VALUES, "0"]),
        ("State", ODD_VALUES),
        ("ColdLeftS", [value for value in ODD_VALUES if value != "1.5"]),
        ("Seq", ODD_VALUES),
        ("born", [*ODD_VALUES, str(BORN_MS + 10**8)]),
        ("Version", ['"\\ud800"']),
    ],
)
def test_an_odd_report_is_refused_and_its_neighbour_stays(
    request_platform, targets, target_id, key, values
):
    """Guard against one odd report that takes a real target away."""
    sequence = itertools.count(1)

    def report_real():
        text = json.dumps({**REPORT, "Seq": next(sequence)})
        return request_platform("PUT", "/instances/i-real", text)

    assert report_real() == 200
    for value in values:
        text = with_value({**REPORT, "Seq": 1000}, key, value)
        status = request_platform("PUT", f"/instances/{target_id}", text)
        assert status in (400, 409), value[:40]
        assert report_real() == 200, value[:40]
        assert_only_target(targets, "i-real")


@pytest.mark.parametrize("target_id", ["a\r\nb: c", "\xe9", "a" * 300])
def test_an_id_that_fits_into_no_header_is_refused(
    request_platform, targets, target_id
):
    text = json.dumps(REPORT)
    assert request_platform("PUT", f"/instances/{target_id}", text) == 400
    assert targets.targets_by_id == {}


@pytest.mark.parametrize(
    ("key", "values"),
    [
        ("service", ODD_VALUES),
        ("address", [*ODD_VALUES, '"nowhere.example"', '"256.0.0.1"']),
        ("port", [*ODD_VALUES, "0", "65536"]),
        ("slots", [*ODD_VALUES, "0"]),
        (
            "incarnation",
            [value for value in ODD_VALUES if value != str(2**62)],
        ),
        ("software_version", ['"\\ud800"']),
    ],
)
def test_an_odd_announcement_is_refused_and_its_neighbour_stays(
    request_native, targets, key, values
):
    for value in values:
        real = json.dumps(ANNOUNCEMENT)
        assert request_native("POST", "/v1/targets", real) == 200
        text = with_value(ANNOUNCEMENT, key, value)
        status = request_native("POST", "/v1/targets", text)
        assert status in (400, 409), value[:40]
        assert_only_target(targets, "pay/127.0.0.1:7500")


def test_a_discovered_target_has_plausible_slots(targets):
    """Guard against slots that a target names in an answer."""
    names = HeaderNames(target_id="X-Id", target_load="X-Load")
    headers = {"X-Id": "i-1", "X-Load": f"0,0,{2**70}"}
    identity = parse_identity(200, headers, names)
    assert identity is None


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 9000,
        b'{"in_flight": 1e400, "slots": 1}',
        b'{"in_flight": 1, "slots": 0}',
        b'{"in_flight": "many", "slots": 1}',
        b"\xff",
    ],
)
def test_an_odd_load_answer_counts_as_no_load(body):
    """Guard against one target's answer that ends the round of probes."""
    answer = Answered(status=200, headers=(), body=body)
    assert _load_percent(answer) == 0
