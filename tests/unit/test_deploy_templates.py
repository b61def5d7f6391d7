"""The settings templates accept every value that the platform may fill in."""

import pathlib

import pytest

from tests.support.deploy_templates import DEPLOY, VALUE, render
from verbenanotch import conf
from verbenanotch.documents import Valid

TEMPLATES = ("proxy.toml", "control.toml")
ADDRESS = "10.1.0.41"
FIELDS = {
    "Node": "app-1",
    "Ip": ADDRESS,
    "Zone": "z1",
    "Region": "r",
    "Bootstrap": True,
    "AppAddr": f"{ADDRESS}:8628",
    "Service": "s1",
    "DataDir": "/data",
    "PortRange": [7600, 7615],
    "Seeds": ["10.1.0.45:8620", "10.2.0.28:8620"],
    "Listen": {
        "Outbound": f"{ADDRESS}:8629",
        "Ready": f"{ADDRESS}:8625",
        "Control": f"{ADDRESS}:8620",
    },
    "Tolerate": {"Machines": 1, "Zones": 1, "Regions": 0},
    "Limits": {"LinkMbps": 5.5},
}
# Every bound that the users' pages name.
BOUNDS = (
    "SeedLagS",
    "ReuseAfterS",
    "StableWindowS",
    "AckS",
    "CatchupS",
    "DrainS",
    "GraceS",
    "LossSlackS",
    "ConfigApplyS",
    "RollbackSlackS",
    "SkewMaxS",
    "RevokeS",
    "RetryBudget",
    "BudgetWindowS",
    "BudgetSlack",
    "QuotaWindowS",
    "QuotaOverage",
    "QuotaSlack",
    "CanaryShare",
    "CanarySlack",
    "RollbackS",
    "RecoveryS",
)


@pytest.fixture
def load(tmp_path):
    """Return a function that loads a template filled in with bounds."""

    def load_template(template, *, bounds, **fields):
        path = pathlib.Path(tmp_path) / "settings.toml"
        values = {**FIELDS, "Bounds": bounds, **fields}
        path.write_text(render(template, values), encoding="utf-8")
        return conf.load(path)

    return load_template


def assert_valid(result):
    assert isinstance(result, Valid), [str(p) for p in result.problems]


@pytest.mark.parametrize("template", TEMPLATES)
@pytest.mark.parametrize("closed", [True, False])
@pytest.mark.parametrize("value", [100 / 3, 0.1, 0, 0.0, 1, 192])
def test_bounds_may_be_whole_fractional_or_zero(load, template, value, closed):
    bounds = dict.fromkeys(BOUNDS, value) | {"FailClosed": closed}
    assert_valid(load(template, bounds=bounds))


@pytest.mark.parametrize("template", TEMPLATES)
def test_bounds_may_be_missing(load, template):
    assert_valid(load(template, bounds={}))


@pytest.mark.parametrize("template", TEMPLATES)
@pytest.mark.parametrize("first_start", [True, False, None])
def test_a_first_start_may_be_true_false_or_missing(
    load, template, first_start
):
    assert_valid(load(template, bounds={}, Bootstrap=first_start))


@pytest.mark.parametrize("losses", [0, 1, 2, None])
def test_the_tolerated_losses_may_be_zero_or_missing(load, losses):
    result = load(
        "control.toml", bounds={}, Tolerate={"Machines": losses, "Zones": 1}
    )
    assert_valid(result)
    assert result.value.control.tolerated_losses == (losses or 0)


def test_a_fractional_retry_burst_is_kept(load):
    result = load("proxy.toml", bounds={"BudgetSlack": 33.5})
    assert result.value.proxy.retry_burst == 33.5


@pytest.mark.parametrize(
    ("limits", "expected_bytes"),
    [
        ({"MemoryMb": 300}, 100_000_000),
        ({"MemoryMb": 240.0}, 80_000_000),
        ({"MemoryMb": 1024}, 100_000_000),
        ({"MemoryMb": 0}, 100_000_000),
        ({}, 100_000_000),
    ],
)
def test_the_bodies_fit_into_the_memory_that_is_given(
    load, limits, expected_bytes
):
    """Guard against a process that is killed where memory is scarce."""
    result = load("proxy.toml", bounds={}, Limits=limits)
    assert_valid(result)
    assert result.value.proxy.max_receiving_bytes == expected_bytes


@pytest.mark.parametrize("template", TEMPLATES)
def test_each_bound_in_a_template_is_one_that_is_tested(template):
    text = (DEPLOY / template).read_text(encoding="utf-8")
    used = {
        name.removeprefix("Bounds.")
        for name, _ in VALUE.findall(text)
        if name.startswith("Bounds.")
    }
    assert used <= {*BOUNDS, "FailClosed"}


@pytest.mark.parametrize("seconds", [2, 6, 100 / 3, 60])
def test_a_proxy_knows_when_it_is_killed(load, seconds):
    """Guard against a stop that ends at the same time on each deployment."""
    result = load("proxy.toml", bounds={"GraceS": seconds})
    assert_valid(result)
    assert result.value.proxy.stop_seconds == seconds


def test_without_a_bound_a_stop_takes_the_usual_time(load):
    result = load("proxy.toml", bounds={})
    assert_valid(result)
    assert result.value.proxy.stop_seconds == 0
    assert result.value.proxy.leave_ms == 2500
