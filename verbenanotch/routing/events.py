"""Events 6000 to 6999: choice, limits, retries and fingerprints."""

from verbenanotch.telemetry import Level, event

TARGET_EJECTED = event(
    6001,
    "target-ejected",
    Level.WARNING,
    "ejected a target after errors",
    "Look at the target's own log; it is tried again by itself.",
)
EJECTION_CAPPED = event(
    6002,
    "ejection-capped",
    Level.WARNING,
    "kept a failing target, as too many of its service are ejected",
    "Look at what the targets of the service have in common.",
)
PANIC = event(
    6003,
    "panic",
    Level.WARNING,
    "ignored the health of targets, as most look ill",
    "Check the network of this host, then the targets of the service.",
)
FINGERPRINT_BLOCKED = event(
    6004,
    "fingerprint-blocked",
    Level.ERROR,
    "refusing a request that crashed the targets that ran it",
    "Find the request by its id in the time line and mend the target.",
)
RETRY_BUDGET_EMPTY = event(
    6005,
    "retry-budget-empty",
    Level.WARNING,
    "passed a failure up without a retry, as the budget is used up",
    "Look at the targets of the service; retries start again by themselves.",
)
FINGERPRINTS_FULL = event(
    6006,
    "fingerprints-full",
    Level.WARNING,
    "could not note a death in flight, as every entry is blocked",
    "Look for the cause of so many crashing requests.",
)
