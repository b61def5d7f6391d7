"""The external interfaces that a deployment may replace."""

import attrs

from verbenanotch.catalog import parse_mesh


def _make_operator(**arguments):
    from verbenanotch.operator import OperatorInterface

    return OperatorInterface(**arguments).application


def _make_targets(**arguments):
    from verbenanotch.proxy import TargetInterface

    return TargetInterface(**arguments).application


@attrs.frozen(kw_only=True)
class Interfaces:
    """Parser of mesh files, and HTTP interfaces for operators and targets.

    `parse` takes the bytes of a mesh file and returns Valid with the Mesh,
    or Invalid. `make_operator` and `make_targets` each return a WSGI
    application; their arguments are those of OperatorInterface and of
    TargetInterface.
    """

    parse: object = parse_mesh
    make_operator: object = _make_operator
    make_targets: object = _make_targets
