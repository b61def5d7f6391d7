"""Errors of the replicated log."""


class ReplicationError(Exception):
    """Base of all errors of the replicated log; `kind` names the error."""

    kind = "replication"


class StorageError(ReplicationError):
    """The data folder cannot be used.

    The message names the file, the byte offset and a remedy.
    """

    kind = "storage"

    def __init__(self, *, file, offset, text, remedy):
        """Describe a fault at byte `offset` of `file`."""
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


class ForeignDirectoryError(StorageError):
    """The data folder belongs to a host of another name."""

    kind = "foreign-folder"


class DiskFailedError(StorageError):
    """A write or a sync failed; the content of the disk is unknown."""

    kind = "disk-failed"


class LogConflictError(ReplicationError):
    """A leader's entry conflicts with an entry that is committed here."""

    kind = "log-conflict"
