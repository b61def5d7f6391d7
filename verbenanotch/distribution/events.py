"""Events 4000 to 4999: distribution to proxies."""

from verbenanotch.telemetry import Level, event

VERSION_ACTIVE = event(
    4001, "version-in-force", Level.INFO, "a new version is in force"
)
VERSION_REFUSED = event(
    4002,
    "version-refused",
    Level.ERROR,
    "refused an incomplete version; requested it in full",
    "Compare the releases of the control host and the proxy.",
)
HOST_CHANGED = event(
    4003,
    "host-changed",
    Level.INFO,
    "the announced targets of a proxy have changed",
)
CONTROL_LOST = event(
    4004,
    "control-lost",
    Level.WARNING,
    "lost the connection to a control host",
    "Check the control host; the proxy keeps its snapshot and reconnects.",
)
CONTROL_STALE = event(
    4005,
    "control-stale",
    Level.WARNING,
    "unsubscribed from a control host that stayed behind another one",
    "Check the network between that control host and the voters.",
)
VERSION_TOO_OLD = event(
    4006,
    "version-too-old",
    Level.WARNING,
    "refused a version older than the current or the minimum version",
)
RESYNC_NEEDED = event(
    4007,
    "resync-needed",
    Level.WARNING,
    "an update did not match its base; requested its content in full",
)
RESYNC_ASKED = event(
    4008, "resync-asked", Level.INFO, "a proxy requested content in full"
)
MINIMUM_VERSION_CONFIRMED = event(
    4009,
    "floor-confirmed",
    Level.INFO,
    "a quorum confirmed the minimum version",
)
MINIMUM_VERSION_DETERMINED = event(
    4010,
    "floor-found",
    Level.INFO,
    "determined the minimum version without a quorum, as all control hosts "
    "of the zone answered",
)
MINIMUM_VERSION_UNDETERMINED = event(
    4011,
    "floor-open",
    Level.WARNING,
    "no quorum, and a control host of the zone does not answer; not serving "
    "yet",
    "Restore a quorum or the control host that does not answer.",
)
UPDATE_NOT_SENT = event(
    4012,
    "update-not-sent",
    Level.ERROR,
    "an update could not be sent; closed the connection to the proxy",
    "Reduce the proxy's entry services or the routes of the mesh.",
)
CONTROL_SILENT = event(
    4013,
    "control-silent",
    Level.WARNING,
    "unsubscribed from a control host that does not answer while others do",
    "Check that control host's process and disk, and the network to it.",
)
VERSION_NOT_ENCODED = event(
    4014,
    "version-not-encoded",
    Level.ERROR,
    "an accepted version could not be encoded; proxies keep the one before",
    "Submit a corrected configuration, and report the traceback to the "
    "project.",
)
