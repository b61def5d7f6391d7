"""Messages between the leader, which judges rollouts, and the proxies."""

import attrs

from verbenanotch.wire import message


@attrs.frozen(kw_only=True)
class OutcomeCount:
    """Outcomes of the calls of one route at targets of one software version.

    All numbers are totals since the proxy first counted for the service:
    `calls` that were sent to targets of the version and have ended,
    `failures` among them (server error of the target, connection broken, or
    no answer), `late` ones that took over three times the route's expected
    time and are no failures, and the `milliseconds` of all answered ones.
    """

    route: str
    software_version: str
    calls: int
    failures: int
    late: int
    milliseconds: int


@message(750)
@attrs.frozen(kw_only=True)
class VersionOutcomes:
    """What one proxy has counted for a service."""

    service: str
    proxy_incarnation: int
    counts: tuple[OutcomeCount, ...]


@message(751)
@attrs.frozen(kw_only=True)
class RolloutsWatched:
    """The services whose outcomes the leader wants to know.

    `services` has the candidate of each; the leader repeats the message.
    """

    services: dict[str, str]
