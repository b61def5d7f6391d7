"""Adapter for the users' platform: its names, formats and HTTP calls.

It only translates; all decisions are made by other packages. The daemon's
option `--interfaces` loads `interfaces` from this module.
"""

from verbenanotch.daemon import Interfaces
from verbenanotch.platform._configuration import parse_configuration


def _make_operator(*, token, versions, control):
    from verbenanotch.platform._operator import ConfigurationInterface

    return ConfigurationInterface(versions=versions).application


def _make_targets(*, local_targets):
    from verbenanotch.platform._targets import ReportInterface

    return ReportInterface(local_targets=local_targets).application


interfaces = Interfaces(
    parse=parse_configuration,
    make_operator=_make_operator,
    make_targets=_make_targets,
)
