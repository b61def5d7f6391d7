"""What a deployment may replace at the edges of the daemon."""

import attrs

from verbenanotch.catalog import parse_mesh


def _operator(**parts):
    from verbenanotch.operator import OperatorInterface

    return OperatorInterface(**parts).application


def _targets(**parts):
    from verbenanotch.proxy import TargetInterface

    return TargetInterface(**parts).application


@attrs.frozen(kw_only=True)
class Interfaces:
    """How operators' files are read and how operators and targets call.

    `parse` returns Valid with the Mesh of a file's bytes, or Invalid.
    `make_operator` and `make_targets` return a WSGI application each; they
    take what OperatorInterface and TargetInterface take.
    """

    parse: object = parse_mesh
    make_operator: object = _operator
    make_targets: object = _targets
