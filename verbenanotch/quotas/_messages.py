"""Messages between the proxies and the leader that decides on limits."""

import attrs

from verbenanotch.quotas._window import RECENT_SECONDS
from verbenanotch.wire import message

# Fractions are sent as whole millionths.
PPM = 1_000_000


@attrs.frozen(kw_only=True)
class LimitedAccount:
    """An account of which proxies admit only a fraction of the requests.

    `debt_ms` is the time in which its rate makes up for what was admitted
    beyond its limit.
    """

    name: str
    admitted_ppm: int
    debt_ms: int


@message(700)
@attrs.frozen(kw_only=True)
class LimitUpdate:
    """All limited accounts; it renews the lease of the proxies' decisions.

    `number` counts the changes of the table in a term. `host_count` is the
    number of hosts that share the limits. `surging` has the accounts that are
    not limited, but may be at the start of a surge.
    """

    term: int
    number: int
    host_count: int
    limited: tuple[LimitedAccount, ...]
    surging: tuple[str, ...]


@message(701)
@attrs.frozen(kw_only=True)
class LimitHeartbeat:
    """Renew the lease of a table that has not changed."""

    term: int
    number: int


@message(702)
@attrs.frozen(kw_only=True)
class UsageRequest:
    """Ask for the recent usage of all accounts; it renews no lease."""


@attrs.frozen(kw_only=True)
class AccountUsage:
    """A proxy's requests of one account.

    `asked` and `admitted` are cumulative for the incarnation, so that a
    report that is lost or repeated does no harm. `recent` has the
    numbers admitted in each of RECENT_SECONDS.
    """

    name: str
    asked: int
    admitted: int
    recent: tuple[(int,) * len(RECENT_SECONDS)]


@message(703)
@attrs.frozen(kw_only=True)
class UsageReport:
    """A proxy's usage of the accounts that have changed.

    `number` counts the reports of an incarnation, which is a random number:
    clocks may be set back between two starts.
    """

    incarnation: int
    number: int
    accounts: tuple[AccountUsage, ...]
