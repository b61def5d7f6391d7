"""Events 6500 to 6599: the check of callers' keys."""

from verbenanotch.telemetry import Level, event

KEY_REFUSED = event(
    6501,
    "account-key-refused",
    Level.INFO,
    "refused requests without a key, or with one that no client account holds",
    "Compare the caller's key with the client accounts of the newest version.",
)
KEY_CHECK_POSTPONED = event(
    6502,
    "account-key-check-postponed",
    Level.WARNING,
    "could not check callers' keys, as this proxy may not have the newest "
    "version; their requests were answered as not run",
    "Check the connections of this proxy to its control hosts.",
)
