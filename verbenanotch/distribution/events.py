"""Events 4000 to 4999: distribution to proxies."""

from verbenanotch.telemetry import Level, event

VERSION_IN_FORCE = event(
    4001, "version-in-force", Level.INFO, "a new version is in force"
)
VERSION_REFUSED = event(
    4002,
    "version-refused",
    Level.ERROR,
    "refused a version that is not whole",
    "Compare the release of the control host with the proxy's.",
)
HOST_ANNOUNCED = event(
    4003, "host-announced", Level.INFO, "a proxy announced its targets"
)
CONTROL_LOST = event(
    4004,
    "control-lost",
    Level.WARNING,
    "lost the stream from a control host",
    "Check the control host; the proxy keeps its snapshot and dials again.",
)
