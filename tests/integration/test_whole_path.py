"""Test the path from a submitted mesh file to a served request."""

import pytest

from tests.support.harness import Mesh

MESH_TEXT = """
name = "whole-path"

[services.orders]
slots = 8

[routes.orders]
prefix = "/orders"
service = "orders"
"""


@pytest.fixture
def mesh(tmp_path):
    with Mesh(folder=tmp_path) as running:
        yield running


def test_a_submitted_file_serves_requests_through_two_proxies(mesh):
    name = mesh.start_target("z1-proxy-1", "orders")
    version = mesh.accept(MESH_TEXT)
    for proxy in ("z1-proxy-1", "z1-proxy-2"):
        answer = mesh.wait_until(
            lambda proxy=proxy: _served(mesh, proxy),
            what=f"served request at {proxy}",
        )
        assert answer.outcome == "answered"
        assert answer.value["target"] == mesh.target_id(name)
    assert set(mesh.status().versions_by_proxy.values()) == {version}


def _served(mesh, proxy):
    answer = mesh.call("GET", "/orders/1", proxy=proxy)
    return answer if answer.status == 200 else None
