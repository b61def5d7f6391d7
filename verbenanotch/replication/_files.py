"""The few operations on files that storage needs; tests replace them."""

import contextlib
import os
import pathlib

TEMPORARY_SUFFIX = ".tmp"


class Files:
    """Files of one folder, by name."""

    def __init__(self, *, folder):
        """Create the folder if it does not exist."""
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)

    def names(self):
        """Return the names of all files."""
        return sorted(path.name for path in self.folder.iterdir())

    def read(self, name):
        """Return the bytes of a file, or None if there is none."""
        try:
            return (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def read_part(self, name, offset, size):
        """Return at most `size` bytes from an offset."""
        with open(self.folder / name, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def replace(self, name, data):
        """Write a whole file, synced, so that a crash leaves old or new."""
        temporary = name + TEMPORARY_SUFFIX
        self.write_temporary(temporary, data)
        self.rename(temporary, name)
        self.sync_folder()

    def write_temporary(self, name, data):
        """Write and sync a file that nobody reads yet."""
        with open(self.folder / name, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def rename(self, name, new_name):
        """Rename a file over another one."""
        os.replace(self.folder / name, self.folder / new_name)

    def sync_folder(self):
        """Make renames and removals last."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, name):
        """Remove a file if it exists."""
        with contextlib.suppress(FileNotFoundError):
            (self.folder / name).unlink()

    def truncate(self, name, size):
        """Cut a file and sync it."""
        with open(self.folder / name, "r+b") as file:
            file.truncate(size)
            os.fsync(file.fileno())

    def append(self, name, data):
        """Add bytes to the end of a file; they last only once synced."""
        with open(self.folder / name, "ab") as file:
            file.write(data)

    def sync(self, name):
        """Make a file's bytes last."""
        with open(self.folder / name, "rb") as file:
            os.fsync(file.fileno())

    def overwrite(self, name, data):
        """Replace a short file in place, without a sync."""
        with open(self.folder / name, "r+b") as file:
            file.write(data)
