"""Client accounts in mesh files and the platform's configurations."""

import json

import pytest

from tests.unit.test_platform import make_configuration
from verbenanotch.catalog import ClientAccount, parse_mesh
from verbenanotch.documents import Invalid, Valid
from verbenanotch.platform import parse_configuration

SECRET = "a-secret-key"
MESH = """
name = "brittany"
[services.billing]
[routes.pay]
prefix = "/pay"
service = "billing"
public = true
"""


def problems_of(accounts):
    result = parse_mesh((MESH + accounts).encode())
    assert isinstance(result, Invalid), result
    text = "\n".join(str(problem) for problem in result.problems)
    assert SECRET not in text
    return text


def test_a_mesh_file_has_accounts_and_public_routes():
    result = parse_mesh(
        f'{MESH}[client_accounts.North]\nkeys = ["{SECRET}", "b c"]\n'
        "priority = 2\nrate = 0.5\nburst = 3\n".encode()
    )
    assert isinstance(result, Valid)
    assert result.value.accounts_by_name == {
        "North": ClientAccount(
            keys=(SECRET, "b c"), priority=2, rate=0.5, burst=3.0
        )
    }
    assert result.value.routes["pay"].public


@pytest.mark.parametrize(
    ("accounts", "problem"),
    [
        (f'[client_accounts.a]\nkeys = ["{SECRET}", "{SECRET}"]', "twice"),
        ('[client_accounts.a]\nkeys = [""]', "key 1 is empty"),
        (f'[client_accounts.a]\nkeys = ["x", "{SECRET}é"]', "key 2 cannot"),
        (f'[client_accounts.a]\nkeys = [" {SECRET}"]', "key 1 cannot"),
        (f'[client_accounts.a]\nkeys = ["{SECRET}\\r\\nB: c"]', "cannot be"),
        (f'[client_accounts.a]\nkeys = ["{SECRET * 50}"]', "600 characters"),
        ("[client_accounts.a]\nrate = -0.1", "a.rate: is negative"),
        ("[client_accounts.a]\nrate = nan", "a.rate: is negative or not"),
        ("[client_accounts.a]\nburst = -1", "a.burst: is negative"),
        ("[client_accounts.a]\nburst = inf", "a.burst: is negative or not"),
        ("[client_accounts.a]\npriority = -1", "-1 is out of range"),
        ('[client_accounts."a\\nb"]\n', "name of the account"),
        (f'[client_accounts.a]\nkeys = "{SECRET}"', "expected a list"),
        (f'[client_accounts.a]\nkeys = [["{SECRET}"]]', "one of list"),
    ],
)
def test_an_invalid_account_is_rejected_without_its_keys(accounts, problem):
    assert problem in problems_of(accounts)


def test_a_shared_key_and_all_other_problems_are_reported_at_once():
    text = problems_of(
        f'[client_accounts.a]\nkeys = ["{SECRET}"]\nrate = -1\n'
        f'[client_accounts.b]\nkeys = ["x", "{SECRET}"]\npriority = -2\n'
    )
    assert "client_accounts.b.keys: key 2 is also a key of account 'a'" in text
    assert "client_accounts.a.rate" in text
    assert "client_accounts.b.priority" in text


def make_platform_text(accounts, **route):
    document = json.loads(make_configuration(**route))
    return json.dumps({**document, "Tenants": accounts}).encode()


def test_a_configuration_of_the_platform_has_accounts():
    text = make_platform_text(
        {
            "North": {
                "ApiKeys": [SECRET, "k2"],
                "Priority": 1,
                "RatePerS": 12.5,
                "Burst": 4,
            },
            "South": {"ApiKeys": ["k3"], "RatePerS": 0},
        },
        Public=True,
    )
    mesh = parse_configuration(text).value
    assert mesh.accounts_by_name == {
        "North": ClientAccount(
            keys=(SECRET, "k2"), priority=1, rate=12.5, burst=4.0
        ),
        "South": ClientAccount(keys=("k3",)),
    }
    assert mesh.routes["r-1"].public


def test_accounts_are_optional():
    mesh = parse_configuration(make_configuration()).value
    assert mesh.accounts_by_name == {}
    assert not mesh.routes["r-1"].public


@pytest.mark.parametrize(
    "accounts",
    [
        [{"Name": "a", "ApiKeys": [SECRET]}],
        SECRET,
        {"a": SECRET},
        {"a": {"ApiKeys": SECRET}},
        {"a": {"ApiKeys": [[SECRET]]}},
        {"a": {"ApiKeys": [SECRET, SECRET]}},
        {"a": {"ApiKeys": [SECRET]}, "b": {"ApiKeys": [SECRET]}},
        {"a": {"ApiKeys": [SECRET], "Priority": SECRET}},
        {"a": {"ApiKeys": [SECRET], "RatePerS": SECRET}},
        {"a": {"ApiKeys": [SECRET], "Burst": -1}},
        {"a": {"ApiKeys": [SECRET], "RatePerS": 10**400}},
    ],
)
def test_an_invalid_account_of_the_platform_is_rejected(accounts):
    result = parse_configuration(make_platform_text(accounts))
    assert isinstance(result, Invalid)
    assert SECRET not in str(result.problems)
