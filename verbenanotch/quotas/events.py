"""Events 7000 to 7099: rates of client accounts."""

from verbenanotch.telemetry import Level, event

ACCOUNT_LIMITED = event(
    7001,
    "account-limited",
    Level.INFO,
    "the leader limits a client account that may pass its rate",
    "Raise the account's rate, or tell the customer.",
)
ACCOUNT_UNLIMITED = event(
    7002,
    "account-unlimited",
    Level.INFO,
    "a client account stays within its rate again",
)
REQUESTS_REFUSED = event(
    7003,
    "account-requests-refused",
    Level.INFO,
    "refused requests of a client account beyond its rate",
)
LEADER_SILENT = event(
    7004,
    "limits-without-leader",
    Level.WARNING,
    "client accounts are held to this proxy's share of their rates",
    "Restore the leader of the log, or the network to it.",
)
LEADER_HEARD = event(
    7005,
    "limits-with-leader",
    Level.INFO,
    "the leader decides on limits of client accounts again",
)
DECISION_FAILED = event(
    7006,
    "limits-not-decided",
    Level.ERROR,
    "deciding or reporting limits of client accounts failed",
    "Report it with the event.",
)
