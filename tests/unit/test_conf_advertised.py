"""Where a proxy tells the others to reach it."""

import pytest
import tomli_w

from examples import topology as plans
from verbenanotch import conf
from verbenanotch.documents import Invalid, Valid
from verbenanotch.proxy._local import LocalTargets


def load(folder, **host_values):
    """Return the result for a planned proxy with other host settings."""
    topology = plans.plan(
        zones=("z1",),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        second_octet=1,
    )
    settings = plans.make_settings(
        topology.proxies[0],
        topology,
        secrets=plans.Secrets(peer_key="k" * 16, operator_token="t"),
        folder=str(folder),
    )
    settings["host"] |= host_values
    path = folder / "settings.toml"
    path.write_text(tomli_w.dumps(settings), encoding="utf-8")
    return conf.load(path)


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
def test_a_proxy_announces_where_others_reach_it(
    tmp_path, host_values, announced
):
    result = load(tmp_path, **host_values)
    assert isinstance(result, Valid)
    record = LocalTargets(
        settings=result.value, incarnation=1, on_change=lambda: None
    ).announcement()
    assert (record.address, record.peer_port) == announced


@pytest.mark.parametrize(
    ("name", "value"),
    [("advertised_address", "near"), ("advertised_peer_port", 70_000)],
)
def test_a_bad_advertised_value_is_refused(tmp_path, name, value):
    result = load(tmp_path, **{name: value})
    assert isinstance(result, Invalid)
    assert [p.key for p in result.problems] == [f"host.{name}"]
