"""Messages with header pairs and plain fields."""

import attrs
import pytest

from verbenanotch.wire import MalformedFrameError, from_plain, to_plain


@attrs.frozen(kw_only=True)
class Headed:
    """A value of this test."""

    number: int
    headers: tuple[tuple[str, str], ...]
    last: bool


@pytest.mark.parametrize("pairs", [(), (("A", "1"), ("a", ""))])
def test_pairs_come_back_as_tuples(pairs):
    item = Headed(number=1, headers=pairs, last=True)
    assert to_plain(item) == (1, pairs, True)
    values = [1, [list(pair) for pair in pairs], True]
    assert from_plain(values, Headed) == item


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
def test_values_of_another_form_are_malformed(values):
    with pytest.raises(MalformedFrameError):
        from_plain(values, Headed)
