"""The address that a proxy announces to other proxies."""

import pytest

from examples import topology as plans
from tests.support.planned_settings import load_planned
from verbenanotch.documents import Invalid, Valid
from verbenanotch.proxy._local_targets import LocalTargets


@pytest.mark.parametrize(
    ("host_values", "announced"),
    [
        ({}, ("127.1.1.51", plans.PEER_PORT)),
        (
            {
                "advertised_address": "127.9.9.9",
                "advertised_peer_port": 7999,
            },
            ("127.9.9.9", 7999),
        ),
    ],
)
def test_a_proxy_announces_its_advertised_address(
    tmp_path, host_values, announced
):
    result = load_planned(tmp_path, "proxy", host=host_values)
    assert isinstance(result, Valid)
    record = LocalTargets(
        settings=result.value, incarnation=1, on_change=lambda: None
    ).announcement()
    assert (record.address, record.peer_port) == announced


@pytest.mark.parametrize(
    ("name", "value"),
    [("advertised_address", "near"), ("advertised_peer_port", 70_000)],
)
def test_an_invalid_advertised_value_is_rejected(tmp_path, name, value):
    result = load_planned(tmp_path, "proxy", host={name: value})
    assert isinstance(result, Invalid)
    assert [problem.key for problem in result.problems] == [f"host.{name}"]
