"""Adapter for the users' platform: its names, formats and HTTP calls.

It only translates; all decisions are made by other packages. The daemon uses
the `interfaces` of this package if it is started with the option
`--interfaces verbenanotch.platform`.
"""

from verbenanotch.daemon import Interfaces
from verbenanotch.platform._configuration import parse_configuration


def _make_operator_application(*, token, versions, control):
    from verbenanotch.platform._operator import ConfigurationInterface

    return ConfigurationInterface(versions=versions).application


def _make_target_application(*, local_targets):
    from verbenanotch.platform._targets import ReportInterface

    return ReportInterface(local_targets=local_targets).application


interfaces = Interfaces(
    parse=parse_configuration,
    make_operator=_make_operator_application,
    make_targets=_make_target_application,
)
