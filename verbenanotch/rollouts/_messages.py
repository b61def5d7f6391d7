"""Messages between the leader of the log and the proxies about rollouts."""

import attrs

from verbenanotch.wire import message


@attrs.frozen(kw_only=True)
class OutcomeCount:
    """What became of a proxy's calls to one software version on one route.

    The counts are cumulative since the proxy first counted for the service.
    `calls` are those that have ended. `failures` are those that got a server
    error from the target, a broken connection, or no answer. `late` are those
    that were answered, but took over 3 times the route's expected time, and
    `milliseconds` is the total time of the answered ones.
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
    """A proxy's counts of one service, sent to the leader."""

    service: str
    proxy_incarnation: int
    counts: tuple[OutcomeCount, ...]


@attrs.frozen(kw_only=True)
class WatchedRollout:
    """A service with a rollout, and the version that is brought in."""

    service: str
    candidate: str


@message(751)
@attrs.frozen(kw_only=True)
class RolloutsWatched:
    """The services whose outcomes the leader wants to know."""

    rollouts: tuple[WatchedRollout, ...]
