"""Guard against changes that end without an answer as a control host stops.

Real processes; an operator submits while the control host that it asks is
stopped, which may be the leader or another one.
"""

import http.client

import eventlet
import pytest

from examples import topology as plans
from tests.integration.request_load import MESH_TEXT
from tests.support.harness import SECRETS, Mesh

ROUNDS = 4
OPERATORS = 8


@pytest.fixture
def mesh(tmp_path):
    with Mesh(folder=tmp_path, proxies_per_zone=1) as running:
        running.accept(MESH_TEXT)
        yield running


def submit(host, number):
    """Send a submission; return its status, None without an answer.

    A connection that the control host did not accept any more is no request.
    """
    connection = http.client.HTTPConnection(
        host.address, plans.OPERATOR_PORT, timeout=15
    )
    try:
        connection.connect()
    except OSError:
        return 0
    try:
        connection.request(
            "POST",
            "/v1/submissions",
            body=MESH_TEXT.encode(),
            headers={
                "Authorization": f"Bearer {SECRETS.operator_token}",
                "X-Submission-Id": f"s-{number}",
                "X-Operator": "ann",
            },
        )
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def test_submissions_to_a_control_host_that_stops_are_answered(mesh):
    for number in range(ROUNDS):
        leader = mesh.leader()
        names = [host.name for host in mesh.topology.control_hosts]
        name = leader if number % 2 else next(x for x in names if x != leader)
        host = mesh.topology.hosts_by_name[name]
        mesh.wait_until(lambda host=host: submit(host, "w"), what="answer")
        operators = [
            eventlet.spawn(submit, host, f"{number}-{operator}")
            for operator in range(OPERATORS)
        ]
        eventlet.sleep(0.02 * number)
        mesh.terminate(name)
        assert None not in [operator.wait() for operator in operators]
        mesh.wait_until(
            lambda name=name: not mesh.child(name).is_alive, what="exit"
        )
        assert mesh.child(name).exit_code == 0
        mesh.restart(name)
