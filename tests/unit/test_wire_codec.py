"""Encoding of header pairs and plain fields."""

import attrs
import pytest

from verbenanotch.wire import MalformedFrameError, from_plain, to_plain


@attrs.frozen(kw_only=True)
class WithHeaders:
    """A value with header pairs and plain fields."""

    number: int
    headers: tuple[tuple[str, str], ...]
    last: bool


@pytest.mark.parametrize("pairs", [(), (("A", "1"), ("a", ""))])
def test_pairs_are_decoded_as_tuples(pairs):
    instance = WithHeaders(number=1, headers=pairs, last=True)
    assert to_plain(instance) == (1, pairs, True)
    values = [1, [list(pair) for pair in pairs], True]
    assert from_plain(values, WithHeaders) == instance


@pytest.mark.parametrize(
    "values",
    [
        [True, [], True],
        [1, [], 1],
        [1, [], b""],
        [1, [], True, True],
        [1, []],
        [1, None, True],
        [1, "ab", True],
        [1, ["ab"], True],
        [1, [{"a": 1, "b": 2}], True],
        [1, [["A"]], True],
        [1, [["A", "1", "2"]], True],
        [1, [["A", b"1"]], True],
        [1, [[1, "A"]], True],
        [1, {"ab": 1}, True],
    ],
)
def test_values_that_do_not_match_are_malformed(values):
    with pytest.raises(MalformedFrameError):
        from_plain(values, WithHeaders)
