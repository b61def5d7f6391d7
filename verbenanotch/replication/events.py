"""Events 2000 to 2499: the replicated log."""

from verbenanotch.telemetry import Level, event

ROLE_CHANGED = event(
    2001, "replica-role-changed", Level.INFO, "the replica's role changed"
)
LEADER_CHANGED = event(
    2002, "leader-changed", Level.INFO, "the replica follows another leader"
)
CLUSTER_CREATED = event(
    2003,
    "cluster-created",
    Level.INFO,
    "created a new cluster, as no first voter belonged to one",
)
CLUSTER_JOINED = event(
    2004, "cluster-joined", Level.INFO, "the replica joined a cluster"
)
CLUSTER_MISMATCH = event(
    2005,
    "cluster-mismatch",
    Level.ERROR,
    "a peer belongs to another cluster",
    "Check the addresses; empty the data folder of the host that is in the "
    "wrong cluster.",
)
VOTERS_CHANGED = event(
    2006, "voters-changed", Level.INFO, "a change of voters is in the log"
)
DISK_REPLACED = event(
    2007,
    "disk-replaced",
    Level.WARNING,
    "a voter returned with a new disk; it gets a vote once caught up",
    "Nothing to do if the disk was replaced; else check its data folder.",
)
TAIL_CUT = event(
    2008,
    "torn-tail-cut",
    Level.WARNING,
    "removed a record that was incompletely written in a crash",
)
SNAPSHOT_TAKEN = event(
    2009, "snapshot-taken", Level.INFO, "took a snapshot and shortened the log"
)
SNAPSHOT_INSTALLED = event(
    2010,
    "snapshot-installed",
    Level.INFO,
    "replaced the state by a snapshot from the leader",
)
REPLICA_FAILED = event(
    2011,
    "replica-failed",
    Level.ERROR,
    "the replica stopped because of an error",
    "Check the disk of the data folder; see the error's remedy; restart.",
)
LINK_LOST = event(
    2012, "replica-link-lost", Level.DEBUG, "a link to a peer ended"
)
REPLICA_SUSPENDED = event(
    2013,
    "replica-suspended",
    Level.ERROR,
    "the disk refuses writes; the replica takes no part until it accepts them",
    "Check the disk of the data folder and its free space.",
)
REPLICA_RESUMED = event(
    2014,
    "replica-resumed",
    Level.INFO,
    "the disk accepts writes again; the replica takes part again",
)
DISK_AWAITED = event(
    2015,
    "disk-awaited",
    Level.ERROR,
    "the data folder can't be read or written; the start waits until it can",
    "Check the disk of the data folder and its free space.",
)
DISK_AVAILABLE = event(
    2016,
    "disk-available",
    Level.INFO,
    "the data folder can be read and written; the start goes on",
)
