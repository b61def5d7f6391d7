"""Adapter for the users' platform: its names, formats and HTTP calls.

It only translates; all decisions are made by other packages. The daemon uses
the `interfaces` of this package if it is started with the option
`--interfaces verbenanotch.platform`.
"""

from verbenanotch.daemon import Interfaces
from verbenanotch.platform._configuration import parse_configuration


def _make_operator_application(*, token, versions, control, rollouts=None):
    from verbenanotch.platform._operator import ConfigurationInterface
    from verbenanotch.platform._rollouts import (
        ROLLOUTS_PATH,
        RolloutInterface,
    )

    configurations = ConfigurationInterface(versions=versions)
    rollout_interface = RolloutInterface(rollouts=rollouts)

    def application(environ, start_response):
        if environ["PATH_INFO"].startswith(ROLLOUTS_PATH):
            return rollout_interface.application(environ, start_response)
        return configurations.application(environ, start_response)

    return application


def _make_target_application(*, local_targets):
    from verbenanotch.platform._targets import ReportInterface

    return ReportInterface(local_targets=local_targets).application


interfaces = Interfaces(
    parse=parse_configuration,
    make_operator=_make_operator_application,
    make_targets=_make_target_application,
)
