"""Events 5000 to 5999: requests and targets at a proxy."""

from verbenanotch.telemetry import Level, event

REQUEST_ENDED = event(5001, "request-ended", Level.DEBUG, "a request ended")
TARGET_ANNOUNCED = event(
    5002, "target-announced", Level.INFO, "a local target announced itself"
)
TARGET_EXPIRED = event(
    5003,
    "target-expired",
    Level.WARNING,
    "a local target stopped renewing its announcement",
    "Check the target; it returns when it announces itself again.",
)
TARGET_DRAINING = event(
    5004, "target-draining", Level.INFO, "a target gets no new work"
)
TARGET_LEFT = event(5005, "target-left", Level.INFO, "a local target left")
CALL_DISPATCHED = event(
    5006, "call-dispatched", Level.DEBUG, "sent a call towards a target"
)
CALL_ENDED = event(5007, "call-ended", Level.DEBUG, "a call ended")
