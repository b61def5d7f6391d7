"""Events 1000 to 1999: connections between processes."""

from verbenanotch.telemetry import Level, event

PEER_REFUSED = event(
    1001,
    "peer-refused",
    Level.WARNING,
    "refused a peer connection",
    "Check the peer's key and release, and what connects to the peer port.",
)
ACCEPT_FAILED = event(
    1002,
    "accept-failed",
    Level.ERROR,
    "could not accept a connection",
    "Check the limit of open files of the process.",
)
PORT_IN_USE = event(
    1003,
    "peer-port-in-use",
    Level.WARNING,
    "the peer port is in use; the start waits until it is free",
    "If it stays in use, stop the process that uses it.",
)
PEER_UNREAD = event(
    1004,
    "peer-unread",
    Level.WARNING,
    "ended the connection of a peer that does not read, as the `bytes` queued "
    "for it and for others take up the room for all",
    "Find out why the peer stands still, or why so many do at once.",
)
