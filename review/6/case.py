"""Two disks are full for some seconds, one after the other."""

import asyncio
import math
import pathlib
import resource
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.support.mesh import (  # noqa: E402
    BOUNDS,
    Mesh,
    configuration,
    route,
)
from review.support.runner import run  # noqa: E402

# As long as in the list of troubles of the print queue.
FULL_SECONDS = 4.5
CATCH_UP_SECONDS = BOUNDS["CatchupS"]
# Between the two disturbances: far more than the time to catch up.
CALM_SECONDS = 4 * CATCH_UP_SECONDS
RECOVERY_SECONDS = BOUNDS["RecoveryS"]
READ_BACK_SECONDS = BOUNDS["StableWindowS"] + 2
NO_LIMIT = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
NO_WRITES = (0, resource.RLIM_INFINITY)


def make_configuration(number):
    """Return the configuration of a version."""
    return configuration(
        f"r{number}",
        {"confirm": route("orders.example", f"/v{number}/", "orders")},
        ["orders"],
    )


class Operator:
    """Sends one change after the other, each until it is acknowledged."""

    def __init__(self, mesh):
        """Start with nothing acknowledged."""
        self._mesh = mesh
        self.acknowledged = 0

    async def change(self, seconds):
        """Send the next change for at most some seconds."""
        end = self._mesh.record.seconds() + seconds
        number = self.acknowledged + 1
        while self._mesh.record.seconds() < end:
            for machine in self._mesh.controls:
                status = await self._mesh.put_config(
                    make_configuration(number),
                    base=f"r{self.acknowledged}",
                    machine=machine,
                )
                if status == 200:
                    self.acknowledged = number
                    return True
            await asyncio.sleep(0.2)
        return False

    async def change_forever(self):
        """Send a change each second, and again until it is acknowledged."""
        while True:
            await self.change(math.inf)
            await asyncio.sleep(1.0)


async def fill_disk(mesh, operator, machine, *, trouble):
    """Refuse every write of a process for a while; send changes meanwhile.

    The process may not extend or overwrite any file, like one whose disk is
    full. What it has written stays, and nothing else is limited.
    """
    pid = machine.process.pid
    changes = asyncio.create_task(operator.change_forever())
    try:
        if trouble:
            mesh.record.write("disk-full", machine=machine.name)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, NO_WRITES)
        await asyncio.sleep(FULL_SECONDS)
    finally:
        resource.prlimit(pid, resource.RLIMIT_FSIZE, NO_LIMIT)
        mesh.record.write("disk-free", machine=machine.name)
        changes.cancel()


async def case(record, trouble):
    """Fill two disks in turn, then read the configuration back."""
    mesh = Mesh(record=record)
    try:
        mesh.add_controls(3)
        mesh.start()
        operator = Operator(mesh)
        if not await operator.change(20.0):
            return ["SETUP the first configuration was not acknowledged"]
        for machine in mesh.controls[:2]:
            await asyncio.sleep(CALM_SECONDS)
            await fill_disk(mesh, operator, machine, trouble=trouble)
        await asyncio.sleep(RECOVERY_SECONDS)
        newest = operator.acknowledged
        versions = await read_back(mesh)
        record.write("read-back", newest=f"r{newest}", got=versions)
        for machine in mesh.controls:
            for event in machine.log_lines():
                if event.get("event") == "replica-failed":
                    record.write("log", machine=machine.name, event=event)
        return list(find_breaks(newest, versions))
    finally:
        await mesh.stop()


async def read_back(mesh):
    """Return all versions that any machine answers with status 200."""
    versions = []
    end = mesh.record.seconds() + READ_BACK_SECONDS
    while mesh.record.seconds() < end:
        for machine in mesh.controls:
            status, version = await mesh.get_config(machine)
            if status == 200:
                versions.append(version)
        await asyncio.sleep(0.5)
    return versions


def find_breaks(newest, versions):
    """Yield the breaks: no version came, or an older one."""
    if not versions:
        yield (
            f"CONFIG r{newest} was acknowledged; no machine gives a "
            f"configuration {RECOVERY_SECONDS:g} s and more after the last "
            "disturbance"
        )
    if any(int(version[1:]) < newest for version in versions):
        yield f"CONFIG r{newest} was acknowledged; {versions} came back"


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)
