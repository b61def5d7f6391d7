"""Events 6000 to 6999: the list of crashes and its storage."""

from verbenanotch.telemetry import Level, event

STORAGE_LOADED = event(
    6001,
    "crashes-loaded",
    Level.INFO,
    "read the crashes of requests that this host had stored",
)
STORAGE_DAMAGED = event(
    6002,
    "crashes-damaged",
    Level.WARNING,
    "the file of crashes is damaged; what follows the damage is dropped",
    "Check the disk. The records come back from other hosts.",
)
STORAGE_FAILED = event(
    6003,
    "crashes-not-stored",
    Level.ERROR,
    "the crashes of requests could not be stored; they are kept in memory",
    "Check the disk and its free space.",
)
RECORDS_RECEIVED = event(
    6004,
    "crash-records-received",
    Level.INFO,
    "merged crashes of requests that another host reported",
)
