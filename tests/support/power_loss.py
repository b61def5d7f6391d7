"""Files in memory that lose what was not synced when power is lost."""

import attrs

from verbenanotch.storage import Files

SECTOR_BYTES = 64


@attrs.define(kw_only=True)
class File:
    """The bytes of a file, and what of them a loss of power can take."""

    content: bytes = b""
    synced: bytes = b""
    later_writes: list = attrs.field(factory=list)

    def write(self, offset, data):
        """Write bytes that are not synced."""
        self.later_writes.append((offset, data))
        self.content = _written(self.content, offset, data)

    def sync(self):
        """Make the content durable."""
        self.synced = self.content
        self.later_writes = []

    def lose_power(self, random):
        """Keep, lose or tear each write since the last sync."""
        content = self.synced
        keeps_any = random.random() < 0.8
        for offset, data in self.later_writes:
            fate = random.choice(("kept", "lost", "prefix", "sectors"))
            if not keeps_any or fate == "lost":
                continue
            if fate == "prefix":
                data = data[: random.randrange(len(data) + 1)]
            if fate == "sectors":
                content = _write_some_sectors(content, offset, data, random)
            else:
                content = _written(content, offset, data)
        self.content = content
        self.sync()


def _written(content, offset, data):
    if not data:
        return content
    content = content.ljust(offset, b"\0")
    return content[:offset] + data + content[offset + len(data) :]


def _write_some_sectors(content, offset, data, random):
    size = random.choice((1, 8, SECTOR_BYTES))
    for start in range(0, len(data), size):
        if random.random() < 0.5:
            part = data[start : start + size]
            content = _written(content, offset + start, part)
    return content


class PowerLossFiles(Files):
    """One folder whose later changes a loss of power keeps or takes.

    A new file becomes durable with its own sync, other changes of names with
    a sync of the folder. `interrupt` is called before each operation that
    changes something; it may raise, as if the process were killed there.
    """

    def __init__(self, *, interrupt=lambda: None):
        """Start with an empty folder."""
        self.interrupt = interrupt
        self.files_by_name = {}
        self._durable_by_name = {}
        self._later_changes = []

    def lose_power(self, random):
        """Take what is not durable, as drawn by `random`."""
        files_by_name = dict(self._durable_by_name)
        for old_name, new_name, file in self._later_changes:
            if random.random() < 0.5:
                files_by_name.pop(old_name, None)
                if new_name:
                    files_by_name[new_name] = file
        for file in files_by_name.values():
            file.lose_power(random)
        self.files_by_name = files_by_name
        self._set_durable()

    def wipe(self):
        """Lose all files, as a new disk has none."""
        self.files_by_name = {}
        self._set_durable()

    def names(self):
        """Return the names of all files, sorted."""
        return sorted(self.files_by_name)

    def read(self, name):
        """Return the bytes of a file, or None if it does not exist."""
        file = self.files_by_name.get(name)
        return None if file is None else file.content

    def write_temporary(self, name, data):
        """Write and sync a file that is not in use yet."""
        self.interrupt()
        file = File()
        self.files_by_name[name] = file
        file.write(0, data)
        self.interrupt()
        file.sync()
        self._durable_by_name[name] = file

    def rename(self, name, new_name):
        """Rename a file; durable with the next sync of the folder."""
        self.interrupt()
        file = self.files_by_name.pop(name)
        self.files_by_name[new_name] = file
        self._later_changes.append((name, new_name, file))

    def sync_directory(self):
        """Make the names durable."""
        self.interrupt()
        self._set_durable()

    def remove(self, name):
        """Remove a file; durable with the next sync of the folder."""
        self.interrupt()
        if self.files_by_name.pop(name, None) is not None:
            self._later_changes.append((name, "", None))

    def truncate(self, name, size):
        """Truncate a file and sync it."""
        self.interrupt()
        file = self.files_by_name[name]
        file.content = file.content[:size]
        file.sync()

    def append(self, name, data):
        """Append bytes that are not synced."""
        self.interrupt()
        file = self.files_by_name[name]
        file.write(len(file.content), data)

    def sync(self, name):
        """Make the content of a file durable."""
        self.interrupt()
        self.files_by_name[name].sync()

    def overwrite(self, name, data):
        """Overwrite the start of a file without a sync."""
        self.interrupt()
        self.files_by_name[name].write(0, data)

    def _set_durable(self):
        self._durable_by_name = dict(self.files_by_name)
        self._later_changes = []
