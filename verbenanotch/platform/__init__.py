"""The users' platform: its names, formats and calls, and no decision.

`interfaces` is for the daemon's option `--interfaces`.
"""

from verbenanotch.daemon import Interfaces
from verbenanotch.platform._configuration import parse_configuration


def _operator(*, token, versions, control):
    from verbenanotch.platform._operator import ConfigurationInterface

    return ConfigurationInterface(versions=versions).application


def _targets(*, local_targets):
    from verbenanotch.platform._targets import ReportInterface

    return ReportInterface(local_targets=local_targets).application


interfaces = Interfaces(
    parse=parse_configuration,
    make_operator=_operator,
    make_targets=_targets,
)
