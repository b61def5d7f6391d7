"""The rank of a request among those that wait.

The load pattern: the requests of several client accounts compete for too
few slots, while requests that run already make calls of their own.
"""

# Ranks of routes within one priority of the accounts.
ROUTE_RANKS = 1 << 16
MAX_ROUTE_RANK = ROUTE_RANKS // 2 - 1


def combined_priority(account_priority, route_priority):
    """Return the priority of a request; the lowest number runs first.

    The account's priority goes before the route's. With None as
    `account_priority` the request belongs to no account: it counts as a call
    of a request that runs already, and goes before all those of accounts.
    Otherwise running requests would keep their slots while their calls wait
    behind new work.
    """
    route_rank = max(-MAX_ROUTE_RANK, min(MAX_ROUTE_RANK, route_priority))
    if account_priority is None:
        return route_rank
    return (account_priority + 1) * ROUTE_RANKS + route_rank
