"""Test that bad input at any port is refused and does not harm a mesh."""

import contextlib
import json
import os
import socket

import msgpack
import pytest
import urllib3

from examples import topology as plans
from examples.launcher import Child
from tests.support.harness import SECRETS, Mesh
from verbenanotch.cli._timeline import read_timeline
from verbenanotch.wire import Purpose, dial
from verbenanotch.wire._handshake import PROTOCOL_NAME, PROTOCOL_VERSION

VALID_MESH = """\
name = "shop"
[services.stock]
[routes.stock]
prefix = "/stock"
service = "stock"
"""
CYCLE = """\
name = "shop"
[services.a]
calls = ["b"]
[services.b]
calls = ["a"]
"""
TIMEOUT_SECONDS = 10.0
HUGE_BYTES = 5 * 1024 * 1024
PEER_REFUSED_EVENT_NUMBER = 1001


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with Mesh(folder=tmp_path_factory.mktemp("mesh")) as mesh:
        mesh.version = mesh.accept(VALID_MESH)
        mesh.start_target("z1-proxy-1", "stock")
        mesh.wait_until(
            lambda: (
                mesh.call("GET", "/stock", proxy="z1-proxy-2").status == 200
            ),
            what="served request",
        )
        yield mesh


@pytest.fixture
def check_mesh_after_test(mesh):
    """Check after the test that all processes run with the same version.

    A request must still be answered.
    """
    yield
    for name in mesh.topology.hosts_by_name:
        assert mesh.child(name).is_alive, mesh.log_tails()
    status = mesh.status()
    assert status.is_active(mesh.version), status
    answer = mesh.call("GET", "/stock", proxy="z1-proxy-2")
    assert (answer.status, answer.outcome) == (200, "answered")


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        (b"name = ", "not TOML"),
        (b'name = "\xff"', "not UTF-8"),
        (b'name = "s"\nnme = 1\n', "unknown key nme"),
        (CYCLE.encode(), "calls form a cycle"),
        (
            VALID_MESH.replace("[services.stock]", "").encode(),
            "does not exist",
        ),
        (b"a = " + b"[" * 5000, "not TOML"),
        (b"", "required key name is missing"),
    ],
    ids=[
        "malformed",
        "not-utf8",
        "unknown-key",
        "cycle",
        "missing-service",
        "deeply-nested",
        "empty",
    ],
)
def test_an_invalid_mesh_file_is_rejected_with_remedies(
    mesh, check_mesh_after_test, text, expected_text
):
    reply = mesh.submit(text, base=mesh.version)
    assert (reply.status, reply.kind) == (422, "rejected")
    problems = json.dumps(reply.value["problems"])
    assert expected_text in problems
    assert all(problem["remedy"] for problem in reply.value["problems"])


def test_an_oversized_file_is_refused(mesh, check_mesh_after_test):
    reply = mesh.submit(b"#" * (4 * 1024 * 1024 + 1), base=mesh.version)
    assert (reply.status, reply.kind) == (413, "body-too-large")


def hello(version=PROTOCOL_VERSION):
    values = [PROTOCOL_NAME, version, "stranger", "zone", os.urandom(16)]
    return msgpack.packb(values)


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "malformed-frame"),
        (b"\xc1" * 64, "malformed-frame"),
        (b"\xc6\xff\xff\xff\xff" + b"x" * HUGE_BYTES, "frame-too-large"),
        (hello(PROTOCOL_VERSION + 1), "protocol-version-mismatch"),
        (hello() + msgpack.packb(b"x" * 32), "authentication-failed"),
        (hello() + msgpack.packb(None), "authentication-failed"),
    ],
    ids=[
        "http",
        "not-msgpack",
        "huge-length",
        "other-version",
        "wrong-mac",
        "no-mac",
    ],
)
@pytest.mark.parametrize("name", ["z1-control-1", "z1-proxy-1"])
def test_an_unauthenticated_peer_is_refused(
    mesh, check_mesh_after_test, name, data, kind
):
    before = count_refused(mesh, name, kind)
    address = mesh.topology.hosts_by_name[name].address
    endpoint = (address, plans.PEER_PORT)
    with socket.create_connection(endpoint, TIMEOUT_SECONDS) as sock:
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
        read_to_end(sock)
    mesh.wait_until(
        lambda: count_refused(mesh, name, kind) > before,
        what=f"event that {kind} was refused",
    )


@pytest.mark.parametrize(
    ("value", "kind"),
    [
        ([1, 999_999, []], "malformed-frame"),
        ([1, 200, []], "malformed-frame"),
        ("text", "malformed-frame"),
        (b"x" * HUGE_BYTES, "frame-too-large"),
    ],
    ids=["unknown-message", "missing-fields", "no-array", "over-the-bound"],
)
@pytest.mark.parametrize(
    ("name", "purpose"),
    [
        ("z1-control-1", Purpose.ZONE),
        ("z1-control-1", Purpose.DISTRIBUTION),
        ("z1-control-1", Purpose.REPLICATION),
        ("z1-proxy-1", Purpose.REQUEST),
    ],
)
def test_malformed_frames_of_an_authenticated_peer_are_refused(
    mesh, check_mesh_after_test, name, purpose, value, kind
):
    before = count_refused(mesh, name, kind)
    connection = dial(
        address=mesh.topology.hosts_by_name[name].address,
        port=plans.PEER_PORT,
        key=SECRETS.peer_key.encode(),
        name="tester",
        purpose=purpose,
    )
    try:
        send_ignoring_close(connection, value)
        mesh.wait_until(
            lambda: count_refused(mesh, name, kind) > before,
            what=f"event that {kind} was refused",
        )
    finally:
        connection.close()


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/v1/targets", b"{", 400),
        ("POST", "/v1/targets", b"[]", 400),
        ("POST", "/v1/targets", b'{"service": "stock"}', 400),
        ("POST", "/v1/targets", b"\xff", 400),
        ("POST", "/v1/targets", b"[" * 10_000, 400),
        ("POST", "/v1/targets", b"x" * 100_000, 413),
        ("DELETE", "/v1/targets/none", None, 404),
        ("GET", "/v1/other", None, 404),
    ],
    ids=[
        "cut",
        "no-object",
        "missing-fields",
        "not-utf8",
        "deeply-nested",
        "oversized",
        "unknown-target",
        "unknown-path",
    ],
)
def test_a_bad_announcement_is_refused(
    mesh, check_mesh_after_test, method, path, body, status
):
    server = mesh.topology.hosts_by_name["z1-proxy-1"].server(
        plans.TARGET_PORT
    )
    response = urllib3.request(
        method,
        f"http://{server}{path}",
        body=body,
        retries=False,
        timeout=TIMEOUT_SECONDS,
    )
    assert response.status == status
    assert json.loads(response.data)["kind"]


@pytest.mark.parametrize(
    "headers",
    [
        {"X-Request-Timeout-Ms": "soon"},
        {"X-Request-Timeout-Ms": "-1"},
        {"X-Request-Timeout-Ms": "9" * 400},
        {"X-Request-Id": "x" * 5_000},
        {"Idempotency-Key": "x" * 5_000},
    ],
    ids=["no-number", "negative", "huge", "long-id", "long-key"],
)
def test_a_request_with_bad_headers_is_answered_not_run(
    mesh, check_mesh_after_test, headers
):
    response = send_to_entry(mesh, "POST", "/stock", headers=headers)
    assert 400 <= response.status < 500
    assert response.headers["X-Verbenanotch-Outcome"] == "not-run"


def test_a_body_over_the_size_limit_is_answered_not_run(
    mesh, check_mesh_after_test
):
    body = b"x" * (1024 * 1024 + 1)
    response = send_to_entry(mesh, "POST", "/stock", body=body)
    assert response.status == 413
    assert response.headers["X-Verbenanotch-Outcome"] == "not-run"


def test_invalid_settings_end_the_daemon_with_exit_code_2(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('[host]\nname = "x"\nrole = "king"\nport = 1\n')
    child = Child(
        name="bad",
        module="verbenanotch.cli.daemon",
        arguments=[f"--settings={path}"],
        log_path=tmp_path / "bad.log",
    )
    child.start()
    assert child.wait() == 2
    assert "unknown key port" in child.tail()
    assert "required key address is missing" in child.tail()


def send_to_entry(mesh, method, path, **options):
    server = mesh.topology.hosts_by_name["z1-proxy-1"].server(
        plans.CALLER_PORT
    )
    return urllib3.request(
        method,
        f"http://{server}{path}",
        retries=False,
        timeout=TIMEOUT_SECONDS,
        **options,
    )


def count_refused(mesh, name, kind):
    """Return how often a host has refused a peer for this reason."""
    timeline = read_timeline([mesh.folder / f"{name}.events.jsonl"])
    return sum(
        entry.number == PEER_REFUSED_EVENT_NUMBER
        and entry.fields["kind"] == kind
        for entry in timeline.entries
    )


def read_to_end(sock):
    """Read until the other side closes; fail if it does not."""
    while sock.recv(65536):
        pass


def send_ignoring_close(connection, value):
    """Send a value; the peer may close before all of it is sent."""
    try:
        connection.send_plain(value)
    except Exception as error:
        assert "send failed" in str(error)


def test_a_corrupt_log_file_is_reported_without_a_traceback(tmp_path):
    """Flip a bit in the log; the daemon must name the file and the byte."""
    with Mesh(folder=tmp_path, control_hosts_per_zone=1) as mesh:
        mesh.accept(VALID_MESH)
        host = "z1-control-1"
        mesh.kill(host)
        log = tmp_path / f"{host}.data" / "log-1"
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(data)
        mesh.start_host(host)
        assert mesh.child(host).wait() == 3
        tail = mesh.child(host).tail()
    assert "start-failed" in tail
    assert "log-1, byte" in tail
    assert "Traceback" not in tail
