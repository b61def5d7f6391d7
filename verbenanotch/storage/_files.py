"""The file operations of storage, which tests replace to inject faults."""

import contextlib
import os
import pathlib

TEMPORARY_SUFFIX = ".tmp"


class Files:
    """The files of one directory, addressed by name.

    Methods raise OSError if the disk or the file system fails.
    """

    def __init__(self, *, directory):
        """Create the directory if it does not exist."""
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)

    def names(self):
        """Return the names of all files, sorted."""
        return sorted(path.name for path in self.directory.iterdir())

    def read(self, name):
        """Return the bytes of a file, or None if it does not exist."""
        try:
            return (self.directory / name).read_bytes()
        except FileNotFoundError:
            return None

    def read_part(self, name, offset, size):
        """Return at most `size` bytes from an offset."""
        with open(self.directory / name, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def replace(self, name, data):
        """Replace a file atomically and sync it.

        After a crash it has either its old or its new content.
        """
        temporary = name + TEMPORARY_SUFFIX
        self.write_temporary(temporary, data)
        self.rename(temporary, name)
        self.sync_directory()

    def write_temporary(self, name, data):
        """Write and sync a file that is not in use yet."""
        with open(self.directory / name, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, name, new_name):
        """Rename a file; replace any file that has the new name."""
        os.replace(self.directory / name, self.directory / new_name)

    def sync_directory(self):
        """Make renames and removals durable (fsync of the directory)."""
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name):
        """Remove a file if it exists."""
        with contextlib.suppress(FileNotFoundError):
            (self.directory / name).unlink()

    def truncate(self, name, size):
        """Truncate a file to `size` bytes and sync it."""
        with open(self.directory / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def append(self, name, data):
        """Append bytes to a file; they are durable only after `sync`."""
        with open(self.directory / name, "ab") as file:
            file.write(data)

    def sync(self, name):
        """Make the content of a file durable (fsync)."""
        with open(self.directory / name, "rb") as file:
            os.fsync(file.fileno())

    def overwrite(self, name, data):
        """Overwrite the start of a short file in place, without a sync."""
        with open(self.directory / name, "r+b") as file:
            file.write(data)
