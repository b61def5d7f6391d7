"""Events 8000 to 8999: the operator interface."""

from verbenanotch.telemetry import Level, event

SUBMISSION_ANSWERED = event(
    8001,
    "submission-answered",
    Level.INFO,
    "answered an operator's submission",
)
REQUEST_REFUSED = event(
    8002,
    "operator-request-refused",
    Level.WARNING,
    "refused an operator's request",
    "Follow the remedy in the response; check the token if it was not you.",
)
REQUEST_FAILED = event(
    8003,
    "operator-request-failed",
    Level.ERROR,
    "an operator's request failed inside the control host",
    "Report the error with this event; the control host keeps running.",
)
DRAIN_REQUESTED = event(
    8004,
    "drain-asked",
    Level.INFO,
    "an operator requested the drain of a target",
)
VOTER_CHANGE_REQUESTED = event(
    8005,
    "voters-asked",
    Level.INFO,
    "an operator requested a change of voters",
)
