"""Compare repair traffic of replication and of erasure codes.

    python -m bench.replication_repair

Snapshot sizes are measured on real histories of versions and extrapolated;
the losses that each scheme survives are found by trying every pattern of
losses. Source of the hierarchical code and of its conditions: Duminuco and
Biersack, "Hierarchical Codes: How to Make Erasure Codes Attractive for
Peer-to-Peer Storage Systems", 2008, propositions 2 and 3.
"""

import itertools

import attrs

from bench.capacity_state import accept_versions
from verbenanotch.telemetry import configure

HISTORY_SIZES = (25, 50, 100)
SERVICES = 550
KEPT_VERSIONS = 1024
CONTROL_HOSTS = 46
HOSTS = 18_046
HOST_FAILURES_PER_DAY = 73
MIB = 1024 * 1024


@attrs.frozen(kw_only=True)
class Group:
    """Blocks of which at most `degree` are useful for decoding."""

    blocks: frozenset[int]
    degree: int


@attrs.frozen(kw_only=True)
class Scheme:
    """A scheme that stores an object in blocks, one on each of `hosts` hosts.

    A block has 1/`parts` of the object's size, and `parts` useful blocks
    are needed to decode the object.
    """

    name: str
    hosts: int
    parts: int
    groups: tuple[Group, ...] = ()

    def survives(self, available):
        """Return whether the blocks suffice to decode the object."""
        useful = set()
        for block in sorted(available, key=self._depth, reverse=True):
            candidate = useful | {block}
            if all(
                len(group.blocks & candidate) <= group.degree
                for group in self.groups
            ):
                useful = candidate
        return len(useful) >= self.parts

    def repair_degree(self, block, available):
        """Return how many blocks must be read to repair `block`."""
        for group in sorted(self.groups, key=lambda each: each.degree):
            usable = group.blocks & available
            if block in group.blocks and len(usable) >= group.degree:
                return group.degree
        return self.parts

    def _depth(self, block):
        return sum(block in group.blocks for group in self.groups)


SCHEMES = (
    Scheme(name="replication, 5 voters", hosts=5, parts=1),
    Scheme(name="erasure code (3,2)", hosts=5, parts=3),
    Scheme(
        name="hierarchical code (4,3)",
        hosts=7,
        parts=4,
        groups=(
            Group(blocks=frozenset((0, 1, 2)), degree=2),
            Group(blocks=frozenset((3, 4, 5)), degree=2),
        ),
    ),
)


def measure_snapshot():
    """Return the bytes of a full history's snapshot, extrapolated."""
    sizes = {}
    for count in HISTORY_SIZES:
        versions = accept_versions(SERVICES, count=count)
        sizes[count] = len(versions.snapshot())
        print(f"snapshot of {count} versions: {sizes[count]} bytes")
    first, last = HISTORY_SIZES[0], HISTORY_SIZES[-1]
    slope = (sizes[last] - sizes[first]) / (last - first)
    return sizes[first] + slope * (KEPT_VERSIONS - first)


def describe(scheme, object_bytes):
    """Print a scheme's stored bytes, survived losses and repair reads."""
    blocks = frozenset(range(scheme.hosts))
    block_bytes = object_bytes / scheme.parts
    print(f"{scheme.name}: stores {scheme.hosts * block_bytes / MIB:.1f} MiB")
    for losses in range(1, scheme.hosts):
        patterns = [
            blocks - set(lost)
            for lost in itertools.combinations(blocks, losses)
        ]
        lost_count = sum(
            not scheme.survives(available) for available in patterns
        )
        degrees = [
            scheme.repair_degree(block, available)
            for available in patterns
            if scheme.survives(available)
            for block in blocks - available
        ]
        if not degrees:
            print(f"  {losses} losses: lost in every pattern")
            return
        read = sum(degrees) / len(degrees) * block_bytes / MIB
        print(
            f"  {losses} losses: lost in {lost_count} of {len(patterns)} "
            f"patterns; a repair reads {read:.1f} MiB on average "
            f"for a block of {block_bytes / MIB:.1f} MiB"
        )


def main():
    """Measure the snapshot and compare the schemes."""
    configure(host="bench", level="error")
    object_bytes = measure_snapshot()
    print(f"snapshot of {KEPT_VERSIONS} versions: {object_bytes:.0f} bytes")
    for scheme in SCHEMES:
        describe(scheme, object_bytes)
    failures = HOST_FAILURES_PER_DAY * CONTROL_HOSTS / HOSTS
    daily = failures * object_bytes / MIB
    print(
        f"{failures:.2f} control hosts fail a day: replication reads "
        f"{daily:.1f} MiB a day for repairs"
    )


if __name__ == "__main__":
    main()
