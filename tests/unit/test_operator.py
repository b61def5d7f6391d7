"""HTTP requests to an OperatorInterface whose collaborators are fakes."""

import json
import socket

import pytest
import urllib3

from tests.support.operator_fakes import TOKEN, serve_fake_host
from verbenanotch.catalog import Unavailable, Unknown, Version

MESH = b'name = "m"\n[services.a]\n'
HEADERS = {
    "Authorization": f"Bearer {TOKEN}",
    "X-Submission-Id": "s1",
    "X-Operator": "ann",
}


@pytest.fixture
def host():
    with serve_fake_host() as host:
        yield host


@pytest.fixture
def send(host):
    pool = urllib3.PoolManager(retries=False, timeout=5)

    def send(method, path, body=None, **headers):
        extra = {name.replace("_", "-"): headers[name] for name in headers}
        response = pool.request(
            method,
            f"http://{host.server}/v1/{path}",
            body=body,
            headers=HEADERS | extra,
        )
        return response, json.loads(response.data)

    return send


def test_accepts_lists_and_shows_a_version(send):
    response, value = send("POST", "submissions", MESH)
    assert (response.status, value["kind"]) == (201, "accepted")
    _, listed = send("GET", "versions")
    assert listed["versions"][0]["operator"] == "ann"
    assert listed["versions"][0]["mesh"] == "m"
    _, shown = send("GET", f"versions/{value['version']}")
    assert shown["text"].encode() == MESH


def test_a_resent_submission_gets_the_first_response(send, host):
    first = send("POST", "submissions", MESH)[1]
    assert send("POST", "submissions", MESH)[1] == first
    assert len(host.versions.records) == 1


def test_a_submission_on_an_old_base_conflicts_and_names_the_winner(send):
    send("POST", "submissions", MESH)
    response, value = send("POST", "submissions", MESH, X_Submission_Id="s2")
    assert response.status == 409
    assert value["kind"] == "conflict"
    assert value["winner"] == "1.1"
    assert value["remedy"]


def test_an_invalid_mesh_file_is_rejected_with_every_problem(send, host):
    body = b'name = "m"\n[routes.r]\nprefix = "x"\nservice = "none"\n'
    response, value = send("POST", "submissions", body)
    assert response.status == 422
    assert [p["line"] for p in value["problems"]] == [3, 4]
    assert host.versions.records == []


@pytest.mark.parametrize(
    ("outcome", "status"), [(Unavailable, 503), (Unknown, 504)]
)
def test_unavailable_and_unknown_outcomes_differ_in_status(
    send, host, outcome, status
):
    host.versions.next_outcomes.append(outcome(reason="no quorum"))
    response, value = send("POST", "submissions", MESH)
    assert response.status == status
    assert "same submission id" in value["remedy"]
    assert ("Retry-After" in response.headers) == (status == 503)


def test_a_rollback_makes_a_new_version(send):
    send("POST", "submissions", MESH)
    response, value = send(
        "POST",
        "rollbacks",
        b'{"to": "1.1"}',
        X_Submission_Id="s2",
        X_Base_Version="1.1",
    )
    assert (response.status, value["version"]) == (
        201,
        str(Version(epoch=1, index=2)),
    )


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "kind"),
    [
        ("GET", "status", None, {"Authorization": ""}, "unauthorized"),
        ("GET", "status", None, {"Authorization": "Bearer é"}, "unauthorized"),
        ("GET", "nothing", None, {}, "not-found"),
        ("GET", "versions/9.9", None, {}, "not-found"),
        ("GET", "versions/x", None, {}, "invalid-request"),
        ("PUT", "status", b"", {}, "method-not-allowed"),
        ("POST", "submissions", MESH, {"X-Operator": ""}, "invalid-request"),
        (
            "POST",
            "submissions",
            MESH,
            {"X-Base-Version": "new"},
            "invalid-request",
        ),
        (
            "POST",
            "submissions",
            MESH,
            {"X-Timeout-Seconds": "nan"},
            "invalid-request",
        ),
        ("POST", "rollbacks", b"[]", {}, "invalid-request"),
        ("POST", "rollbacks", b"[" * 100_000, {}, "invalid-request"),
        ("POST", "voters", b"{}", {}, "invalid-request"),
        ("POST", "voters", b'{"add": 1}', {}, "invalid-request"),
        (
            "POST",
            "voters",
            b'{"add": "a", "remove": "b"}',
            {},
            "invalid-request",
        ),
        ("POST", "targets/x/drain", b"", {}, "not-found"),
    ],
)
def test_rejects_invalid_requests(
    send, host, method, path, body, headers, kind
):
    _, value = send(method, path, body, **headers)
    assert value["kind"] == kind
    assert value["remedy"]
    assert host.versions.records == []


@pytest.mark.parametrize("token", [TOKEN, "wrong"])
def test_rejects_an_oversized_body_without_reading_it(host, token):
    address, port = host.server.split(":")
    with socket.create_connection((address, int(port)), 5) as sock:
        sock.sendall(
            b"POST /v1/submissions HTTP/1.1\r\nHost: x\r\n"
            b"X-Submission-Id: s\r\nX-Operator: ann\r\n"
            + f"Authorization: Bearer {token}\r\n".encode()
            + b"Content-Length: 99999999999\r\n\r\n"
        )
        data = b"".join(iter(lambda: sock.recv(65536), b""))
    expected = b"body-too-large" if token == TOKEN else b"unauthorized"
    assert expected in data


def test_requires_a_declared_length(send):
    response, value = send("POST", "submissions", iter([MESH]))
    assert (response.status, value["kind"]) == (411, "length-required")


def test_changing_voters_requires_an_operator_name(send, host):
    body = b'{"add": "z1-c2"}'
    response, value = send("POST", "voters", body, X_Operator="")
    assert (response.status, value["kind"]) == (400, "invalid-request")
    assert host.versions.voter_changes == []
    assert send("POST", "voters", body)[0].status == 200
    assert host.versions.voter_changes == [("z1-c2", "")]


def test_an_unconfirmed_history_is_returned_only_with_local(send, host):
    send("POST", "submissions", MESH)
    host.versions.has_quorum = False
    response, value = send("GET", "versions")
    assert (response.status, value["kind"]) == (503, "not-current")
    assert send("GET", "versions/1.1")[0].status == 503
    assert len(send("GET", "versions?local=1")[1]["versions"]) == 1


def test_drains_a_target_and_readiness_needs_no_token(send, host):
    response, _ = send("POST", "targets/billing/127.0.0.1:9000/drain", b"")
    assert response.status == 202
    assert host.control.drained == ["billing/127.0.0.1:9000"]
    assert send("GET", "ready", Authorization="")[0].status == 200
    host.control.is_ready = False
    assert send("GET", "ready", Authorization="")[0].status == 503


def test_an_unexpected_error_gets_status_500_and_is_counted(send, host):
    host.versions.next_outcomes.append("no outcome")
    response, value = send("POST", "submissions", MESH)
    assert (response.status, value["kind"]) == (500, "internal-error")
    assert send("GET", "metrics")[1]["counters"]["operator.failed"] >= 1


ODD_BODIES = [
    '{"%s": "\\ud800"}',
    '{"%s": ' + str(2**70) + "}",
    '{"%s": 1e400}',
    '{"%s": ' + "9" * 5000 + "}",
    '{"%s": ' + "[" * 900 + "]" * 900 + "}",
    '{"%s": ' + "[" * 5000,
]


@pytest.mark.parametrize("body", ODD_BODIES)
@pytest.mark.parametrize(
    ("path", "key"),
    [
        ("rollback", "to"),
        ("voters", "add"),
        ("rollouts", "finish_by_seconds"),
        ("rollouts", "version"),
        ("rollouts", "service"),
    ],
)
def test_an_order_with_an_odd_value_is_refused(send, path, key, body):
    """Guard against orders that no log entry can hold."""
    response, value = send("POST", path, (body % key).encode())
    assert 400 <= response.status < 500, value
    assert value["remedy"]


@pytest.mark.parametrize(
    "text", ["1." + "9" * 30, "-1.0", "1.-1", "1", "1.2.3", "1_0.1", "\xb2.1"]
)
def test_a_version_of_another_form_is_refused(send, text):
    response, _ = send("POST", "submissions", MESH, X_Base_Version=text)
    assert response.status == 400
