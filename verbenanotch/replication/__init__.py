"""The replicated log of accepted versions, an implementation of Raft."""

from verbenanotch.replication._entries import Position
from verbenanotch.replication._outcomes import (
    Committed,
    ReadConfirmed,
    ReadUnavailable,
    ReplicaStatus,
    Unavailable,
    Unknown,
)
from verbenanotch.replication._replica import Replica
from verbenanotch.replication.exceptions import (
    DamagedFileError,
    DiskFailedError,
    ForeignDirectoryError,
    LogConflictError,
    MissingFileError,
    ReplicationError,
    StorageError,
)

__all__ = [
    "Committed",
    "DamagedFileError",
    "DiskFailedError",
    "ForeignDirectoryError",
    "LogConflictError",
    "MissingFileError",
    "Position",
    "ReadConfirmed",
    "ReadUnavailable",
    "Replica",
    "ReplicaStatus",
    "ReplicationError",
    "StorageError",
    "Unavailable",
    "Unknown",
]
