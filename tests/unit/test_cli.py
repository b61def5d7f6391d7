"""The tool's commands, run against an OperatorInterface with fakes."""

import json

import pytest
from click.testing import CliRunner

from tests.support.operator_fakes import TOKEN, serve_fake_host
from verbenanotch.catalog import Unavailable, Unknown, Version
from verbenanotch.cli.tool import main

MESH = 'name = "m"\n[services.a]\nslots = 3\n'
CLOSED_ADDRESS = "127.0.0.1:1"


@pytest.fixture
def host():
    with serve_fake_host() as host:
        yield host


@pytest.fixture
def mesh_file(tmp_path):
    path = tmp_path / "mesh.toml"
    path.write_text(MESH)
    return str(path)


@pytest.fixture
def run(host):
    def run(*arguments, servers=None):
        environ = {
            "VERBENANOTCH_SERVERS": " ".join(servers or [host.server]),
            "VERBENANOTCH_TOKEN": TOKEN,
            "VERBENANOTCH_OPERATOR": "ann",
        }
        return CliRunner().invoke(main, arguments, env=environ)

    return run


def test_check_needs_no_host_and_reports_every_problem(
    tmp_path, mesh_file, run
):
    assert run("check", mesh_file).exit_code == 0
    bad = tmp_path / "bad.toml"
    bad.write_bytes(b'name = "\xff"')
    result = run("check", str(bad), "--json")
    assert result.exit_code == 2
    assert "not UTF-8" in json.loads(result.stdout)["problems"][0]["text"]


def test_a_resent_submission_has_the_same_output(mesh_file, run):
    first = run("submit", mesh_file, "--submission-id", "s1", "--json")
    again = run("submit", mesh_file, "--submission-id", "s1", "--json")
    assert (first.exit_code, again.exit_code) == (0, 0)
    assert json.loads(first.stdout) == json.loads(again.stdout)


def test_exit_codes_depend_on_the_outcome(tmp_path, mesh_file, run, host):
    run("submit", mesh_file)
    conflict = run("submit", mesh_file)
    assert conflict.exit_code == 1
    assert "version 1.1 of ann was accepted first" in conflict.stderr
    bad = tmp_path / "bad.toml"
    bad.write_text("nme = 1")
    assert run("submit", str(bad)).exit_code == 2
    assert run("submit", str(tmp_path / "none")).exit_code == 2
    host.versions.next_outcomes.append(Unavailable(reason="no quorum"))
    assert run("submit", mesh_file).exit_code == 3
    host.versions.next_outcomes.append(Unknown(reason="leader lost"))
    unknown = run("submit", mesh_file, "--submission-id", "s7")
    assert unknown.exit_code == 4
    assert "s7" in unknown.stderr


def test_tries_the_next_server(mesh_file, run, host):
    result = run("submit", mesh_file, servers=[CLOSED_ADDRESS, host.server])
    assert result.exit_code == 0
    assert run("history", servers=[CLOSED_ADDRESS]).exit_code == 3


def test_an_attempt_that_may_have_run_is_not_reported_as_unavailable(
    mesh_file, run, host
):
    host.versions.next_outcomes.append(Unknown(reason="leader lost"))
    result = run("submit", mesh_file, servers=[host.server, CLOSED_ADDRESS])
    assert result.exit_code == 4


def test_history_diff_and_rollback(tmp_path, mesh_file, run):
    run("submit", mesh_file)
    newer = tmp_path / "newer.toml"
    newer.write_text(MESH.replace("3", "5"))
    difference = run("diff", str(newer))
    assert difference.exit_code == 1
    assert "-slots = 3\n+slots = 5" in difference.stdout
    run("submit", str(newer), "--base", "1.1")
    assert run("rollback", "1.1", "--base", "1.1").exit_code == 1
    rollback = run("rollback", "1.1", "--base", "1.2", "--json")
    assert json.loads(rollback.stdout)["version"] == "1.3"
    assert run("diff", "1.3", "--base", "1.1").exit_code == 0
    assert run("history", "--text", "1.3").stdout == MESH + "\n"
    assert len(run("history").stdout.splitlines()) == 3


def test_waits_until_in_force_or_reports_the_proxies_behind(
    mesh_file, run, host
):
    host.control.versions_by_proxy = {"p1": Version(epoch=1, index=1)}
    assert run("submit", mesh_file, "--wait").exit_code == 0
    host.control.versions_by_proxy["p2"] = Version(epoch=1, index=0)
    behind = run("status", "--wait", "1.1", "--timeout", "0")
    assert behind.exit_code == 1
    assert "behind: p2" in behind.stderr
    assert "proxy p2 in z1: 1.0 (behind)" in run("status").stdout


def test_submit_wait_reports_an_accepted_version_not_in_force(
    mesh_file, run, host
):
    host.control.versions_by_proxy = {"p1": Version(epoch=1, index=0)}
    arguments = ("submit", mesh_file, "--wait", "--timeout", "0", "--json")
    result = run(*arguments)
    assert result.exit_code == 1
    value = json.loads(result.stdout)
    assert (value["kind"], value["in_force"]) == ("accepted", False)
    assert "behind: p1" in value["reason"]


def test_in_force_is_unknown_while_a_host_does_not_respond(run, host):
    host.control.versions_by_proxy = {"p1": Version(epoch=1, index=1)}
    arguments = ("status", "--wait", "1.1", "--timeout", "0")
    result = run(*arguments, servers=[host.server, CLOSED_ADDRESS])
    assert result.exit_code == 4
    assert CLOSED_ADDRESS in result.stderr


@pytest.mark.parametrize(
    ("lowest", "live", "code"),
    [("1.1", True, 0), ("1.0", True, 1), ("1.1", False, 4)],
)
def test_in_force_requires_the_version_in_every_zone(
    run, host, lowest, live, code
):
    host.control.versions_by_proxy = {"p1": Version(epoch=1, index=1)}
    host.control.zones = [
        {
            "availability_zone": "z2",
            "lowest_in_force": lowest,
            "proxies": 3,
            "laggards": [],
            "live": live,
        }
    ]
    result = run("status", "--wait", "1.1", "--timeout", "0")
    assert result.exit_code == code, result.output


def test_lists_and_drains_targets(run, host):
    target_id = host.control.target_ids[0]
    assert target_id in run("targets").stdout
    assert target_id not in run("targets", "--service", "other").stdout
    assert run("drain", target_id).exit_code == 0
    assert host.control.drained == [target_id]
    assert run("drain", "billing/127.0.0.1:1").exit_code == 1


def test_changes_voters(run):
    assert run("voters", "add", "z1-c2").exit_code == 0
    refused = run("voters", "remove", "z1-c9")
    assert refused.exit_code == 3
    assert "not caught up" in refused.stderr


def test_a_wrong_token_is_rejected(host):
    result = CliRunner().invoke(
        main, ["history", "--server", host.server, "--token", "wrong"]
    )
    assert result.exit_code == 1
    assert "unauthorized" in result.stderr


def test_servers_and_token_come_from_a_file(tmp_path, host):
    path = tmp_path / "tool.toml"
    path.write_text(f'servers = ["{host.server}"]\ntoken = "{TOKEN}"\n')
    arguments = ["history", "--tool-settings", str(path)]
    assert CliRunner().invoke(main, arguments).exit_code == 0
    path.write_text("servers = 1\n")
    assert CliRunner().invoke(main, arguments).exit_code == 2
    assert CliRunner().invoke(main, ["history"]).exit_code == 2
