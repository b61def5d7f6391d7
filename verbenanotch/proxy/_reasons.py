"""Why a request was not run, or why nobody can tell."""

NO_ROUTE = "no-route"
DEADLINE_PASSED = "deadline-passed"
CALLER_GONE = "caller-gone"
CANCELLED = "cancelled"
INTERNAL_ERROR = "internal-error"
CRASHES_TARGETS = "crashes-targets"

TARGET_GONE = "target-gone"
TARGET_DRAINING = "target-draining"
TARGET_FULL = "target-full"
TARGET_REFUSED = "target-refused"
TARGET_UNREACHABLE = "target-unreachable"
TARGET_BROKE_OFF = "target-broke-off"

HOST_LEAVING = "host-leaving"
HOST_FULL = "host-full"

PEER_UNREACHABLE = "peer-unreachable"
PEER_SILENT = "peer-silent"
PEER_LEAVING = "peer-leaving"
PEER_LOST = "peer-lost"

# Refusals that say that the way to the target is broken, not that it is busy.
UNREACHABLE = frozenset(
    (TARGET_GONE, TARGET_UNREACHABLE, PEER_UNREACHABLE, PEER_SILENT)
)

# Refusals that tell that a target or the way to it is unhealthy: it has to be
# avoided, since within its slots a target has room.
IMPLIES_UNHEALTHY = UNREACHABLE | {TARGET_REFUSED}

# Refusals that concern one host or target and cost its target nothing.
RETRYABLE_ON_ANOTHER_TARGET = UNREACHABLE | {
    TARGET_DRAINING,
    HOST_LEAVING,
    PEER_LEAVING,
}

EXCLUDED = "excluded"

# Refusals of the choice itself, which looked at every target.
FINAL = frozenset(
    (
        "no-target",
        "draining",
        EXCLUDED,
        "unhealthy",
        "overloaded",
        CRASHES_TARGETS,
    )
)
