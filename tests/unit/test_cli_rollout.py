"""The commands of rollouts, over HTTP, with a log of the tests."""

import json

import eventlet
import pytest
from click.testing import CliRunner
from eventlet import wsgi

from tests.unit.test_rollouts_state import MESH, finish, make_control
from tests.unit.test_versions import submit
from verbenanotch.cli.tool import main
from verbenanotch.operator import OperatorInterface
from verbenanotch.replication import Unavailable
from verbenanotch.rollouts._commands import Action

TOKEN = "token-of-the-tests"


@pytest.fixture
def control():
    control = make_control()
    submit(control.versions, "first", text=MESH)
    return control


@pytest.fixture
def run(control):
    interface = OperatorInterface(
        token=TOKEN,
        versions=control.versions,
        control=None,
        rollouts=control.rollouts,
    )
    sock = eventlet.listen(("127.0.0.1", 0))
    server = eventlet.spawn(
        wsgi.server, sock, interface.application, log_output=False
    )
    address, port = sock.getsockname()
    environ = {
        "VERBENANOTCH_SERVERS": f"{address}:{port}",
        "VERBENANOTCH_TOKEN": TOKEN,
        "VERBENANOTCH_OPERATOR": "ann",
    }

    def invoke(*arguments):
        return CliRunner().invoke(main, ["rollout", *arguments], env=environ)

    yield invoke
    server.kill()
    sock.close()


def test_a_rollout_is_started_again_and_shown(run, control):
    assert run("status", "a").exit_code == 1
    for _ in range(2):
        started = run("start", "a", "v2", "--within", "12")
        assert started.exit_code == 0, started.output
    control.step(Action.EXPOSE, share_ppm=15_000, reason="why", evidence="e")
    shown = run("status", "a")
    assert shown.exit_code == 0
    assert "running, share 1.5%, step 1" in shown.output
    assert "why" in shown.output
    value = json.loads(run("status", "a", "--json").output)
    assert (value["candidate"], value["phase"]) == ("v2", "running")


@pytest.mark.parametrize(
    "arguments",
    [
        ("none", "v2", "--within", "12"),
        ("a", "v2", "--within", "0"),
        ("a", "v2", "--within", "nan"),
        ("a", "v 2", "--within", "12"),
    ],
)
def test_a_senseless_order_exits_with_1(run, arguments):
    result = run("start", *arguments)
    assert result.exit_code == 1
    assert "refused" in result.output


def test_waiting_ends_with_the_rollout(run, control):
    control.order()
    finish(control)
    done = run("start", "a", "v2", "--within", "12", "--wait")
    assert (done.exit_code, "completed" in done.output) == (0, True)
    control.order("v3")
    control.step(Action.ROLL_BACK, reason="bad")
    back = run("start", "a", "v3", "--within", "12", "--wait", "--json")
    assert back.exit_code == 1
    assert json.loads(back.output)["reason"] == "bad"


def test_an_abort_and_the_history(run, control):
    control.order()
    assert run("abort", "a", "v3").exit_code == 1
    aborted = run("abort", "a", "v2")
    assert (aborted.exit_code, "rolled_back" in aborted.output) == (0, True)
    control.order("v3")
    lines = run("history", "a").output.splitlines()
    assert [line.split()[2] for line in lines if line[0] != " "] == [
        "v2:",
        "v3:",
    ]


def test_without_a_quorum_the_commands_exit_with_3(run, control):
    control.replica.has_quorum = False
    control.replica.outcome = Unavailable(reason="no leader")
    assert run("start", "a", "v2", "--within", "12").exit_code == 3
    assert run("status", "a").exit_code == 3
