"""Reasons of the outcomes NotRun and Unknown."""

NO_ROUTE = "no-route"
DEADLINE_PASSED = "deadline-passed"
CALLER_GONE = "caller-gone"
CANCELLED = "cancelled"
INTERNAL_ERROR = "internal-error"
CRASHES_TARGETS = "crashes-targets"
ACCOUNT_KEY_MISSING = "account-key-missing"
ACCOUNT_KEY_UNKNOWN = "account-key-unknown"

TARGET_GONE = "target-gone"
TARGET_DRAINING = "target-draining"
TARGET_FULL = "target-full"
TARGET_REJECTED = "target-rejected"
TARGET_BUSY = "target-busy"
TARGET_REFUSED = "target-refused"
TARGET_LIMITED = "target-limited"
TARGET_UNREACHABLE = "target-unreachable"
TARGET_BROKE_OFF = "target-broke-off"

# Large answers that are ready occupy the link of the target's host.
LINK_FULL = "link-full"

HOST_LEAVING = "host-leaving"
HOST_STOPPING = "host-stopping"
HOST_FULL = "host-full"
# The bodies that the host keeps leave no room for that of the request.
BODIES_FULL = "bodies-full"
# The large heads of other requests leave no room for that of the request.
HEADS_FULL = "heads-full"

PEER_UNREACHABLE = "peer-unreachable"
PEER_SILENT = "peer-silent"
PEER_LEAVING = "peer-leaving"
PEER_LOST = "peer-lost"

# Refusals because the path to the target is broken, not because it is busy.
UNREACHABLE = frozenset(
    (TARGET_GONE, TARGET_UNREACHABLE, PEER_UNREACHABLE, PEER_SILENT)
)

# Refusals that count as failures of the target or of the path to it, so that
# it is avoided. A target that refuses a request itself is unhealthy, since it
# should have capacity for as many requests as it has slots.
IMPLIES_UNHEALTHY = UNREACHABLE | {TARGET_REFUSED}

# Refusals that concern one host or target only and use none of the target's
# capacity, so that the request can move to another target at no cost.
RETRYABLE_ON_ANOTHER_TARGET = UNREACHABLE | {
    TARGET_DRAINING,
    TARGET_REJECTED,
    HOST_LEAVING,
    PEER_LEAVING,
}

# All targets that could run the request have used up the limits they named.
RATE_LIMITED = "rate-limited"

# The caller's client account has used up its rate over all proxies.
ACCOUNT_LIMITED = "account-limited"

# The request has already been tried at every available target.
EXCLUDED = "excluded"

# Refusals that another attempt would only repeat: target selection has already
# considered every target, or the request itself is blocked.
FINAL = frozenset(
    (
        "no-target",
        "draining",
        EXCLUDED,
        "unhealthy",
        "overloaded",
        CRASHES_TARGETS,
        HOST_STOPPING,
        RATE_LIMITED,
        ACCOUNT_LIMITED,
    )
)
