"""The platform adapter: its documents, HTTP calls and errors."""

import io
import json

import pytest

from tests.unit.test_versions import LocalReplica
from verbenanotch.catalog import (
    METHODS,
    Version,
    WeightedService,
)
from verbenanotch.documents import Invalid, Valid
from verbenanotch.platform import interfaces, parse_configuration
from verbenanotch.platform._targets import read_report
from verbenanotch.platform.exceptions import MalformedDocumentError
from verbenanotch.versions import VersionService, VersionStateMachine

ROUTE = {
    "Host": "a.example",
    "Prefix": "/p/",
    "Kind": "safe",
    "TimeoutS": 0.5,
    "SloS": 0.2,
    "Priority": 2,
    "Service": "one",
    "Attempts": 2,
}
REPORT = {
    "Service": "one",
    "Addr": "10.0.0.1:8080",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 14,
    "State": "ready",
    "ColdLeftS": 0,
    "Seq": 4,
    "born": 1796337870882,
}


def make_configuration(version="r7", routes=None, **route):
    services = {"one": {"HealthPath": "/h", "MaxConns": 110}, "two": {}}
    document = {
        "Version": version,
        "Routes": routes or {"r-1": {**ROUTE, **route}},
        "Services": services,
        "Limits": {"MaxHeaderBytes": 16384},
    }
    return json.dumps(document).encode()


def test_a_configuration_is_converted_to_a_mesh():
    match parse_configuration(make_configuration()):
        case Valid(value=mesh):
            route = mesh.routes["r-1"]
    assert (route.host, route.prefix, route.service) == (
        "a.example",
        "/p/",
        "one",
    )
    assert (route.timeout_ms, route.objective_ms) == (500, 200)
    assert (route.max_attempts, route.priority) == (2, 2)
    assert set(route.idempotent_methods) == METHODS
    assert mesh.services["one"].max_connections == 110


def test_an_unsafe_route_has_no_idempotent_methods():
    mesh = parse_configuration(make_configuration(Kind="unsafe")).value
    assert mesh.routes["r-1"].idempotent_methods == ()


def test_fractional_weights_are_scaled_to_exact_integers():
    split = [
        {"Service": "one", "Weight": 0.1},
        {"Service": "two", "Weight": 99.9},
    ]
    route = {key: ROUTE[key] for key in ROUTE if key != "Service"}
    text = make_configuration(routes={"r": {**route, "Split": split}})
    assert parse_configuration(text).value.routes["r"].split == (
        WeightedService(service="one", weight=100_000),
        WeightedService(service="two", weight=99_900_000),
    )


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"[]",
        b"\xff",
        make_configuration()[:-20],
        make_configuration(Service="none"),
        make_configuration(Host=""),
        make_configuration(Kind="maybe"),
        make_configuration(TimeoutS=601),
        make_configuration(TimeoutS="1"),
        make_configuration(TimeoutS=True),
        make_configuration(version="7x"),
        make_configuration(version=7),
        make_configuration().replace(b"0.5", b"NaN"),
        make_configuration(Split=[{"Service": "gone", "Weight": 1}]),
        b"[" * 100_000,
    ],
)
def test_an_invalid_configuration_is_rejected(text):
    assert isinstance(parse_configuration(text), Invalid)


@pytest.fixture
def call():
    versions = VersionStateMachine(parse=parse_configuration)
    service = VersionService(replica=LocalReplica(versions), versions=versions)
    service.replica.confirm_read = lambda timeout_seconds: None
    application = interfaces.make_operator(
        token="", versions=service, control=None
    )

    def send(method, body=b"", base=None, path="/config"):
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        if base is not None:
            environ["HTTP_IF_MATCH"] = base
        statuses = []
        chunks = application(environ, lambda line, _: statuses.append(line))
        return int(statuses[0][:3]), b"".join(chunks)

    send.versions = versions
    return send


def test_submissions_are_decided_by_base_and_label(call):
    first = make_configuration("r5")
    assert call("PUT", first, "0")[0] == 200
    assert call("PUT", first, "0")[0] == 200
    assert call("PUT", make_configuration("r6"), "r4")[0] == 412
    assert call("PUT", make_configuration("r5", TimeoutS=1), "r5")[0] == 400
    assert call("PUT", make_configuration("r9"), "r5")[0] == 200
    assert call("PUT", make_configuration("r9", Priority=1), "r5")[0] == 412
    assert call("PUT", make_configuration("r9"), "r5")[0] == 200
    assert call.versions.current_label == 9


@pytest.mark.parametrize(
    ("body", "base"),
    [
        (make_configuration()[:40], "0"),
        (make_configuration(), None),
        (make_configuration(), "five"),
        (make_configuration(Host=""), "0"),
    ],
)
def test_an_invalid_submission_is_not_accepted(call, body, base):
    assert call("PUT", body, base)[0] == 400
    assert call.versions.current is None


def test_a_read_without_a_quorum_gets_status_503(call):
    call("PUT", make_configuration(), "0")
    assert call("GET")[0] == 503


def test_other_paths_and_methods_are_rejected(call):
    assert call("GET", path="/x")[0] == 404
    assert call("POST")[0] == 405


def test_labels_are_restored_from_a_snapshot():
    versions = VersionStateMachine(parse=parse_configuration)
    service = VersionService(replica=LocalReplica(versions), versions=versions)
    from verbenanotch.platform._operator import _make_submission

    service.submit(submission=_make_submission(make_configuration("r5"), "0"))
    restored = VersionStateMachine(parse=parse_configuration)
    restored.restore(versions.snapshot())
    assert restored.current_label == 5
    assert restored.current.version == Version(epoch=1, index=1)
    assert restored.current.mesh.routes["r-1"].host == "a.example"


def test_a_report_has_the_target_and_its_incarnation():
    report = read_report("i-1", json.dumps(REPORT).encode())
    assert report.sequence == 4
    assert report.target.target_id == "i-1"
    assert report.target.incarnation == REPORT["born"]
    assert (report.target.address, report.target.port) == ("10.0.0.1", 8080)
    assert not report.target.draining
    assert report.target.software_version == "v1"


@pytest.mark.parametrize("version", [None, 7, ["v1"], {}, 1.5, True])
def test_a_report_without_a_readable_version_is_accepted(version):
    report = read_report(
        "i-1", json.dumps({**REPORT, "Version": version}).encode()
    )
    assert report.target.software_version == ""
    without = {key: REPORT[key] for key in REPORT if key != "Version"}
    report = read_report("i-1", json.dumps(without).encode())
    assert report.target.software_version == ""


@pytest.mark.parametrize(
    "changed",
    [
        {"State": "odd"},
        {"State": None},
        {"Service": 7},
        {"Addr": "nowhere"},
        {"Addr": "10.0.0.1:99999"},
        {"Slots": 0},
        {"Slots": "14"},
        {"Seq": 1.5},
        {"born": None},
    ],
)
def test_a_malformed_report_is_rejected(changed):
    text = json.dumps({**REPORT, **changed}).encode()
    with pytest.raises(MalformedDocumentError):
        read_report("i-1", text)
