"""Keys of client accounts in a mesh of real processes."""

import json
import uuid

import eventlet
import pytest
from click.testing import CliRunner

from tests.support.harness import Mesh
from verbenanotch.cli.tool import main

FIRST_KEY = "first-key-of-north"
SECOND_KEY = "second-key-of-north"
SOUTH_KEY = "only-key-of-south"
BAD_KEY = "key-of-nobody"
KEYS = (FIRST_KEY, SECOND_KEY, SOUTH_KEY, BAD_KEY)
PROXIES = ("z1-proxy-1", "z1-proxy-2")
PATH = "/pay/1"
MESH_TEXT = """
name = "accounts"

[services.pay]
slots = 8
cold_start_ms = 0

[routes.pay]
prefix = "/pay"
service = "pay"
"""


def make_text(**keys_by_account):
    accounts = "".join(
        f"[client_accounts.{name}]\nkeys = {json.dumps(keys)}\n"
        for name, keys in keys_by_account.items()
    )
    return MESH_TEXT + accounts


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        zones=("z1",),
        overrides={
            "proxy": {"keyless_requests": "local-calls"},
            "telemetry": {"log_level": "debug"},
        },
    ) as running:
        running.start_target(PROXIES[0], "pay")
        yield running


def call(mesh, key, proxy, **options):
    return mesh.call("GET", PATH, proxy=proxy, account_key=key, **options)


def wait_until_served(mesh, key, proxy):
    mesh.wait_until(
        lambda: call(mesh, key, proxy).status == 200,
        what=f"an answer at {proxy}",
    )


def assert_refused(mesh, key, proxy):
    """Check that a key is refused as soon as the version is confirmed."""
    statuses = set()
    while 401 not in statuses:
        statuses.add(call(mesh, key, proxy).status)
        assert statuses <= {401, 503}


def explain(mesh, request_id):
    """Return what `explain` finds about a request."""
    # The log lines are written after the caller received its answer.
    eventlet.sleep(0.3)
    result = CliRunner().invoke(
        main, ["explain", request_id, str(mesh.folder), "--json"]
    )
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def assert_no_output_has_a_key(mesh, *texts):
    """Check `texts`, and all logs, events and ledgers of the processes."""
    paths = [
        path
        for pattern in ("*.log", "*.jsonl")
        for path in mesh.folder.glob(pattern)
    ]
    assert len(paths) > 5
    outputs = [*texts, *(path.read_text() for path in paths)]
    for key in KEYS:
        assert [text for text in outputs if key in text] == []


def test_a_key_is_added_used_and_withdrawn(mesh):
    version = mesh.accept(make_text(north=[FIRST_KEY]))
    for proxy in PROXIES:
        wait_until_served(mesh, FIRST_KEY, proxy)
        assert call(mesh, FIRST_KEY, proxy).value["account"] == "north"
        assert call(mesh, None, proxy).value["account"] == ""
        assert_refused(mesh, BAD_KEY, proxy)

    version = mesh.accept(
        make_text(north=[FIRST_KEY, SECOND_KEY], south=[SOUTH_KEY]),
        base=version,
    )
    for proxy in PROXIES:
        assert call(mesh, SECOND_KEY, proxy).value["account"] == "north"
        assert call(mesh, SOUTH_KEY, proxy).value["account"] == "south"

    version = mesh.accept(
        make_text(north=[SECOND_KEY], south=[SOUTH_KEY]), base=version
    )
    for proxy in PROXIES:
        assert_refused(mesh, FIRST_KEY, proxy)
        assert call(mesh, SECOND_KEY, proxy).status == 200

    restarted = PROXIES[1]
    mesh.restart(restarted)
    assert_refused(mesh, FIRST_KEY, restarted)
    wait_until_served(mesh, SECOND_KEY, restarted)
    assert_refused(mesh, FIRST_KEY, restarted)

    refused = mesh.submit(
        make_text(north=[SECOND_KEY], south=[SECOND_KEY]), base=version
    )
    assert refused.kind != "accepted"
    assert "is also a key of account" in repr(refused)
    request_id = uuid.uuid4().hex
    answer = call(mesh, FIRST_KEY, restarted, request_id=request_id)
    explanation = explain(mesh, request_id)
    assert "no client account" in " ".join(explanation["findings"])
    assert "it did not run" in explanation["findings"]
    assert_no_output_has_a_key(
        mesh, repr(refused), repr(answer), json.dumps(explanation)
    )


def test_without_a_quorum_unknown_keys_are_postponed(mesh):
    mesh.accept(make_text(north=[FIRST_KEY]))
    entry = PROXIES[0]
    wait_until_served(mesh, FIRST_KEY, entry)
    assert_refused(mesh, BAD_KEY, entry)
    lost, also_lost, _ = mesh.topology.control_hosts
    for host in (lost, also_lost):
        mesh.kill(host.name)
    mesh.wait_until(
        lambda: call(mesh, BAD_KEY, entry).status == 503,
        what="a postponed check",
    )
    request_id = uuid.uuid4().hex
    answer = call(mesh, BAD_KEY, entry, request_id=request_id)
    assert (answer.status, answer.outcome) == (503, "not-run")
    assert answer.value["reason"] == "accounts-behind"
    assert call(mesh, FIRST_KEY, entry).status == 200
    explanation = explain(mesh, request_id)
    findings = " ".join(explanation["findings"])
    assert "not refused for good" in findings
    assert "control-lost" in findings
    assert_no_output_has_a_key(mesh, json.dumps(explanation))
