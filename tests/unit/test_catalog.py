"""Validation of mesh files."""

import pytest

from verbenanotch.catalog import Version, parse_mesh
from verbenanotch.documents import Invalid, Valid

VALID_MESH = b"""
name = "brittany"
[services.billing]
slots = 17
[services.orders]
calls = ["billing"]
[routes.pay]
prefix = "/pay"
service = "billing"
"""


def test_accepts_a_valid_mesh_file():
    result = parse_mesh(VALID_MESH)
    assert isinstance(result, Valid)
    assert result.value.services_by_name["billing"].slots == 17


def test_reports_all_problems_at_once_with_lines():
    result = parse_mesh(
        b'name = "x"\n[services.a]\nslots = 0\n'
        b'[routes.r]\nprefix = "bad"\nservice = "none"\n'
    )
    assert isinstance(result, Invalid)
    assert [(p.key, p.line) for p in result.problems] == [
        ("services.a.slots", 3),
        ("routes.r.prefix", 5),
        ("routes.r.service", 6),
    ]


def test_rejects_a_cycle_of_calls():
    result = parse_mesh(
        b'name = "x"\n[services.a]\ncalls = ["b"]\n'
        b'[services.b]\ncalls = ["a"]\n'
    )
    assert "a -> b -> a" in str(result.problems[0])


def test_rejects_unknown_keys_wrong_types_and_missing_keys():
    result = parse_mesh(
        b'nme = "x"\n[services.a]\nslots = "many"\n[routes.r]\nprefix = "/"\n'
    )
    texts = "\n".join(str(problem) for problem in result.problems)
    assert "unknown key nme" in texts
    assert "expected int" in texts
    assert "required key service" in texts


def test_rejects_bytes_that_are_not_utf8():
    result = parse_mesh(b'name = "\xff"')
    assert "not UTF-8" in str(result.problems[0])


def test_versions_are_totally_ordered():
    assert Version(epoch=2, index=1) > Version(epoch=1, index=99)
    assert Version.parse(str(Version(epoch=3, index=41))) == Version(
        epoch=3, index=41
    )


@pytest.mark.parametrize("prefix", ["/p/../q", "/./p", "/p/.."])
def test_a_prefix_with_dot_segments_is_rejected(prefix):
    text = f'''name = "m"
[services.a]
[routes.r]
prefix = "{prefix}"
service = "a"
'''
    texts = [str(reported) for reported in parse_mesh(text.encode()).problems]
    assert any("dot segments" in text for text in texts)


@pytest.mark.parametrize(
    ("split", "problem"),
    [
        ('[{service = "b", weight = 1}]', "is not part of the split"),
        (
            '[{service = "a", weight = 0}]',
            "a weight is negative, or all are zero",
        ),
        ('[{service = "a", weight = 1}, {service = "x", weight = 1}]', "'x'"),
    ],
)
def test_an_invalid_split_is_rejected(split, problem):
    text = f"""name = "m"
[services.a]
[services.b]
[routes.r]
prefix = "/"
service = "a"
split = {split}
"""
    texts = [str(reported) for reported in parse_mesh(text.encode()).problems]
    assert any(problem in text for text in texts)
