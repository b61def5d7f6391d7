"""Events 3000 to 3999: announcements, leases and zones."""

from verbenanotch.telemetry import Level, event

ZONE_LOST = event(
    3001,
    "zone-lost",
    Level.WARNING,
    "lost the connection for a zone's table; its last known hosts are kept",
    "Check the network between the zones and the named control host.",
)
ZONE_RESYNC = event(
    3002,
    "zone-resync",
    Level.WARNING,
    "a zone's update did not match its base; requested the full table",
)
HOST_EXPIRED = event(
    3003, "host-expired", Level.INFO, "a proxy's lease has ended"
)
HOSTS_SUSPECTED = event(
    3004,
    "hosts-suspected",
    Level.WARNING,
    "many leases ended at once; the hosts are kept and marked suspect",
    "Check the network of this control host and the named hosts.",
)
