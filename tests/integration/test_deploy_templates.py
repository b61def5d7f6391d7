"""Real processes start from the rendered templates of `deploy/`."""

import json
import urllib.error
import urllib.request

import pytest

from examples.launcher import Child, stop_all, wait_until
from tests.support.deploy_templates import render
from tests.support.network import accepts_connections, reserve_network

FRACTION = 100 / 3
PEER_PORT, CONTROL_PORT, READY_PORT, OUTBOUND_PORT = 7600, 8620, 8625, 8629
START_TIMEOUT_SECONDS = 30.0


@pytest.fixture
def addresses():
    """Return two loopback addresses of a network of this test's own."""
    octet, reservation = reserve_network()
    with reservation:
        yield f"127.{octet}.0.1", f"127.{octet}.0.2"


@pytest.fixture
def start(tmp_path):
    """Return a function that starts the role of a template at an address."""
    children = []

    def start_role(template, address, *, seed):
        fields = {
            "Node": address,
            "Ip": address,
            "Zone": "z1",
            "Region": "r",
            "Bootstrap": True,
            "AppAddr": f"{address}:8700",
            "Service": "s1",
            "DataDir": str(tmp_path / "data"),
            "PortRange": [PEER_PORT, PEER_PORT + 15],
            "Seeds": [f"{seed}:{CONTROL_PORT}"],
            "Listen": {
                "Outbound": f"{address}:{OUTBOUND_PORT}",
                "Ready": f"{address}:{READY_PORT}",
                "Control": f"{address}:{CONTROL_PORT}",
            },
            "Tolerate": {"Machines": 0},
            "Bounds": {
                "BudgetSlack": FRACTION,
                "CanaryShare": 0.1,
                "CanarySlack": FRACTION,
                "RevokeS": 2.5,
                "FailClosed": False,
            },
        }
        settings = tmp_path / f"{template}.settings.toml"
        settings.write_text(render(template, fields), encoding="utf-8")
        child = Child(
            name=template,
            module="verbenanotch.cli.daemon",
            arguments=[
                "--settings",
                str(settings),
                "--interfaces",
                "verbenanotch.platform",
            ],
            log_path=tmp_path / f"{template}.log",
        )
        children.append(child)
        child.start()
        return child

    yield start_role
    stop_all(children)


def wait_for(predicate, *, what, children):
    wait_until(
        predicate,
        timeout_seconds=START_TIMEOUT_SECONDS,
        what=what,
        explain=lambda: "\n".join(child.tail() for child in children),
    )


def accept_configuration(address):
    """Submit a configuration without routes; return whether it is acked."""
    request = urllib.request.Request(
        f"http://{address}:{CONTROL_PORT}/config",
        method="PUT",
        data=json.dumps(
            {"Version": "r1", "Routes": {}, "Services": {"s1": {}}}
        ).encode(),
        headers={"If-Match": "r0"},
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


def test_both_roles_start_with_fractional_bounds(start, addresses):
    control_address, proxy_address = addresses
    control = start("control.toml", control_address, seed=control_address)
    proxy = start("proxy.toml", proxy_address, seed=control_address)
    children = [control, proxy]
    wait_for(
        lambda: accept_configuration(control_address),
        what="accepted configuration",
        children=children,
    )
    wait_for(
        lambda: accepts_connections(proxy_address, OUTBOUND_PORT),
        what="listener for callers",
        children=children,
    )
    assert all(child.is_alive for child in children)
