"""The memory of a process under test."""

import pathlib

# The memory of a host on the users' machines.
MAX_MEMORY_KB = 300 * 1000
# The limits of a proxy on these machines.
BODY_LIMITS = {
    "max_body_bytes": 64 * 1024 * 1024,
    "max_receiving_bytes": 100_000_000,
}


def peak_memory_kb(mesh, name):
    """Return the most memory that a host's process has used, in kilobytes."""
    pid = mesh.child(name).pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1])
