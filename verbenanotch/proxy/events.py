"""Events 5000 to 5999: requests and targets at a proxy."""

from verbenanotch.telemetry import Level, event

REQUEST_ENDED = event(5001, "request-ended", Level.INFO, "a request ended")
TARGET_ANNOUNCED = event(
    5002, "target-announced", Level.INFO, "a local target announced itself"
)
TARGET_EXPIRED = event(
    5003,
    "target-expired",
    Level.WARNING,
    "a local target stopped renewing its announcement",
    "Check the target; it is used again once it announces itself.",
)
TARGET_DRAINING = event(
    5004,
    "target-draining",
    Level.INFO,
    "a target is draining and receives no new requests",
)
TARGET_LEFT = event(
    5005, "target-left", Level.INFO, "a local target was removed"
)
CALL_STARTED = event(
    5006, "call-started", Level.DEBUG, "a call started at a local target"
)
CALL_ENDED = event(5007, "call-ended", Level.INFO, "a call ended")
CALL_FINISHED = event(
    5015,
    "call-finished",
    Level.DEBUG,
    "a call at a local target has ended",
)
TARGET_CRASHED = event(
    5016,
    "target-died",
    Level.ERROR,
    "a local target broke off a request and no longer accepts connections",
    "Check the target's log; the event names the request that it was running.",
)
REQUEST_BLOCKED = event(
    5017,
    "request-blocked",
    Level.ERROR,
    "a request that crashed several targets is refused for a while",
    "Find the request in its target-died events and stop its caller.",
)
CRASHES_CLEARED = event(
    5026,
    "crashes-cleared",
    Level.INFO,
    "a target answered a request that was in flight when targets crashed; "
    "the crashes no longer count against it",
)
CRASHING_REQUEST_REFUSED = event(
    5027,
    "crashing-request-refused",
    Level.INFO,
    "a request is refused because it crashed several targets",
)
PEER_REFUSED = event(
    5008,
    "request-peer-refused",
    Level.WARNING,
    "closed the connection of a proxy that violated the protocol",
    "Run the same release on every host.",
)
PEER_SILENT = event(
    5009,
    "peer-silent",
    Level.WARNING,
    "a peer proxy does not respond; it receives no new calls",
    "Check the peer's process and the network between the hosts.",
)
PEER_GIVEN_UP = event(
    5010,
    "peer-given-up",
    Level.WARNING,
    "closed the connection to a peer proxy that did not respond",
    "Check the peer's process and the network between the hosts.",
)
SHUTDOWN_STARTED = event(
    5011,
    "shutdown-started",
    Level.INFO,
    "no new requests are accepted; those in flight are completed",
)
SHUTDOWN_CUT = event(
    5012,
    "shutdown-cut",
    Level.ERROR,
    "requests were still in flight when the shutdown grace period ended",
    "Raise proxy.shutdown_grace_ms above the longest timeout of a route.",
)
TARGET_EJECTED = event(
    5013,
    "target-ejected",
    Level.WARNING,
    "a target that keeps failing gets no requests for a while",
    "Check the target's log; the target is tried again automatically.",
)
REQUEST_FAILED = event(
    5014,
    "request-failed",
    Level.ERROR,
    "a request failed by an internal error; its outcome is unknown",
    "Report the traceback to the project.",
)
HOLDERS_AGREED = event(
    5020,
    "holders-agreed",
    Level.INFO,
    "the holders of a service's records agreed on the set of holders",
)
INCARNATION_RAISED = event(
    5021,
    "incarnation-raised",
    Level.WARNING,
    "control hosts have a higher incarnation of this host; its own is "
    "raised above it",
    "Check the host's clock, which was set back between two starts.",
)
TARGET_NOT_FOUND = event(
    5022,
    "target-not-found",
    Level.INFO,
    "the host's target did not report its identity; its announcement is "
    "awaited",
)
HOLDERS_CHANGED = event(
    5023,
    "holders-changed",
    Level.INFO,
    "the hosts that hold the records of a service's keys changed",
)
KEY_NOT_STARTED = event(
    5024,
    "key-not-started",
    Level.INFO,
    "a holder did not start a keyed request, because the holders are not "
    "agreed on or this host may have lost its lease",
)
TARGET_LIMIT_CHANGED = event(
    5028,
    "target-limit-changed",
    Level.WARNING,
    "a target names another limit of its request rate, or none; `source` is "
    "the header, or the proxy that knew the limit",
    "Check why the target is in need; its share goes to other targets.",
)
TARGET_HEADER_INVALID = event(
    5029,
    "target-header-invalid",
    Level.WARNING,
    "a header in which a target tells of its own state can't be read; it is "
    "ignored",
    "Send one positive decimal number as limit, and 1 to say that the target "
    "leaves, each in one header.",
)
RECORDS_NOT_REPLICATED = event(
    5030,
    "records-not-replicated",
    Level.WARNING,
    "this proxy stops although it may hold the only copy of records of keyed "
    "requests; their keys are answered as unknown",
    "Stop the proxies of a service one after the other, at least "
    "`shutdown_grace_ms` apart.",
)
VERSIONS_DIVIDED = event(
    5031,
    "versions-divided",
    Level.INFO,
    "this proxy divides a service's requests otherwise between the software "
    "versions of its targets: by a rollout, or by the version in use if it "
    "holds new ones; with neither, all are equal",
)
ANNOUNCEMENT_INVALID = event(
    5032,
    "announcement-invalid",
    Level.WARNING,
    "refused an announcement whose values can't be those of a target; logged "
    "once a second",
    "Correct what the target, or another writer on its host, announces.",
)
TARGET_END_FORGOTTEN = event(
    5033,
    "target-end-forgotten",
    Level.INFO,
    "forgot that a target has left, as many others have left since; a late "
    "announcement of it would be accepted",
)
TARGET_UNCONFIRMED = event(
    5035,
    "target-unconfirmed",
    Level.INFO,
    "a target that this new process does not know has announced itself, and "
    "does not say in a health answer that it serves; it gets no requests yet",
    "None if the target is leaving or starting; else check its health path.",
)
BODIES_UNFINISHED = event(
    5034,
    "bodies-unfinished",
    Level.WARNING,
    "gave up the bodies of `count` callers that made no progress, as others "
    "needed their room; `unfinished` others have not arrived either; logged "
    "once a second",
    "Find out why callers do not send their bodies to the end.",
)
