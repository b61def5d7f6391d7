"""Errors of the replicated log."""


class ReplicationError(Exception):
    """Base of all errors of the replicated log; `kind` names it."""

    kind = "replication"


class StorageError(ReplicationError):
    """The data folder cannot be used; names file, offset and remedy."""

    kind = "storage"

    def __init__(self, *, file, offset, text, remedy):
        """Describe a fault at a byte `offset` of a `file`."""
        super().__init__(f"{file}, byte {offset}: {text}. {remedy}")
        self.file = file
        self.offset = offset
        self.remedy = remedy


class DamagedFileError(StorageError):
    """A checksum or the structure of a file is wrong."""

    kind = "damaged-file"


class MissingFileError(StorageError):
    """A file that another one needs is missing."""

    kind = "missing-file"


class ForeignFolderError(StorageError):
    """The data folder belongs to a host of another name."""

    kind = "foreign-folder"


class DiskFailedError(StorageError):
    """A write or a sync failed; what is on the disk is not known."""

    kind = "disk-failed"


class LogConflictError(ReplicationError):
    """A leader asked to replace an entry that is already committed."""

    kind = "log-conflict"
