"""Events 8000 to 8999: the operators' interface."""

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
    "Follow the remedy in the answer; check the token if it was not you.",
)
REQUEST_FAILED = event(
    8003,
    "operator-request-failed",
    Level.ERROR,
    "an operator's request failed inside the control host",
    "Report the error with this event; the control host goes on.",
)
DRAIN_ASKED = event(
    8004,
    "drain-asked",
    Level.INFO,
    "an operator asked for a target to be drained",
)
VOTERS_ASKED = event(
    8005,
    "voters-asked",
    Level.INFO,
    "an operator asked for a change of voters",
)
