"""Events 4000 to 4999: distribution to proxies."""

from verbenanotch.telemetry import Level, event

VERSION_ACTIVE = event(
    4001, "version-in-force", Level.INFO, "a new version is in force"
)
VERSION_REFUSED = event(
    4002,
    "version-refused",
    Level.ERROR,
    "refused a version that is not whole; asked for it again",
    "Compare the release of the control host with the proxy's.",
)
HOST_CHANGED = event(
    4003, "host-changed", Level.INFO, "a proxy changed what it announces"
)
CONTROL_LOST = event(
    4004,
    "control-lost",
    Level.WARNING,
    "lost the stream from a control host",
    "Check the control host; the proxy keeps its snapshot and dials again.",
)
CONTROL_STALE = event(
    4005,
    "control-stale",
    Level.WARNING,
    "left a control host that stayed behind another one",
    "Check the network between that control host and the voters.",
)
VERSION_TOO_OLD = event(
    4006,
    "version-too-old",
    Level.WARNING,
    "refused a version older than the one held or than the floor",
)
RESYNC_NEEDED = event(
    4007,
    "resync-needed",
    Level.WARNING,
    "an update did not fit; asked for its parts whole",
)
RESYNC_ASKED = event(
    4008, "resync-asked", Level.INFO, "a proxy asked for parts whole"
)
MINIMUM_VERSION_CONFIRMED = event(
    4009, "floor-confirmed", Level.INFO, "a quorum confirmed the floor"
)
MINIMUM_VERSION_DETERMINED = event(
    4010,
    "floor-found",
    Level.INFO,
    "found the floor by all control hosts of the zone, without a quorum",
)
MINIMUM_VERSION_UNDETERMINED = event(
    4011,
    "floor-open",
    Level.WARNING,
    "no quorum, and a control host of the zone is silent; not serving yet",
    "Bring back a quorum or the silent control host.",
)
UPDATE_NOT_SENT = event(
    4012,
    "update-not-sent",
    Level.ERROR,
    "an update could not be sent; closed the proxy's stream",
    "Give the proxy fewer entry services, or the mesh fewer routes.",
)
CONTROL_SILENT = event(
    4013,
    "control-silent",
    Level.WARNING,
    "left a control host that does not answer while others do",
    "Check that control host's process and disk, and the network to it.",
)
