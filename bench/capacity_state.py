"""Measure memory and processor time of the tables of each role.

    python -m bench.capacity_state

Everything runs in one process without sockets. Memory is that of the objects
alone, as counted by tracemalloc; processor time is that of the process. For
each quantity the benchmark prints its values at several sizes, such as numbers
of hosts, and the slope and intercept of a least-squares fit over the sizes.
"""

import gc
import statistics
import time
import tracemalloc
import zlib

import attrs
import msgpack
import tomli_w

from verbenanotch.catalog import (
    NO_VERSION,
    Submission,
    Version,
    parse_mesh,
)
from verbenanotch.distribution import SnapshotStore
from verbenanotch.distribution._mesh_state import encode_mesh
from verbenanotch.distribution._messages import Subscribe
from verbenanotch.distribution._session import ProxySession
from verbenanotch.membership import (
    HostRecord,
    RenewLease,
    TargetRecord,
    TargetRegistry,
    ZoneTable,
    ZoneTableUpdate,
)
from verbenanotch.membership._entry_set import EntrySet, encode_entry
from verbenanotch.replication import Position
from verbenanotch.telemetry import configure
from verbenanotch.versions import VersionStateMachine
from verbenanotch.versions._state_machine import encode_submission
from verbenanotch.wire import decode, encode

SERVICES = 550
ZONES = 23
HOST_COUNTS = (2300, 6900, 18000)
SERVICE_COUNTS = (50, 200, 550)
ROUTES_PER_SERVICE = 4
NEEDED_SERVICE_COUNTS = (5, 50, 550)
RENEWALS = 20_000
CHURN_EVENTS = 300
VERSIONS = 50
KIB = 1024
MICROSECONDS_PER_SECOND = 1e6


def make_record(number, *, sequence=1):
    """Return a host with one target.

    Hosts are spread evenly over zones and services.
    """
    service = f"service-{number % SERVICES}"
    address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    target = TargetRecord(
        target_id=f"{service}/{address}:8080",
        service=service,
        address=address,
        port=8080,
        slots=17,
        incarnation=1_796_000_000_000,
    )
    return HostRecord(
        host=f"host-{number}",
        availability_zone=f"zone-{number % ZONES}",
        address=address,
        peer_port=7100,
        incarnation=1_796_000_000_000,
        sequence=sequence,
        targets=(target,),
    )


def make_mesh_text(service_count, *, timeout_ms=2000):
    """Return the bytes of a mesh file with `service_count` services."""
    services = {
        f"service-{n}": {"slots": 17, "max_connections": 110}
        for n in range(service_count)
    }
    routes = {
        f"route-{n}-{r}": {
            "prefix": f"/service-{n}/{r}",
            "service": f"service-{n}",
            "timeout_ms": timeout_ms,
        }
        for n in range(service_count)
        for r in range(ROUTES_PER_SERVICE)
    }
    document = {"name": "mesh", "services": services, "routes": routes}
    return tomli_w.dumps(document).encode()


def measure_memory(make_value):
    """Return the result of `make_value` and the bytes that it occupies."""
    gc.collect()
    tracemalloc.start()
    value = make_value()
    gc.collect()
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return value, memory_bytes


def measure_time(function, count):
    """Return the mean processor seconds of `count` calls."""
    gc.collect()
    started = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - started) / count


def report(name, unit, values_by_size):
    """Print the values of one quantity and its slope over the sizes."""
    sizes = list(values_by_size)
    slope, intercept = statistics.linear_regression(
        sizes, list(values_by_size.values())
    )
    values = ", ".join(
        f"{size}: {value:.4g}" for size, value in values_by_size.items()
    )
    print(f"{name} [{unit}]: {values}")
    print(f"  slope {slope:.4g} {unit} each, base {intercept:.4g}")


def fill_target_registry(records):
    """Return a TargetRegistry in zone-0 with these hosts."""
    table = ZoneTable(availability_zone="zone-0", lease_seconds=3.0)
    target_registry = TargetRegistry(zone_table=table)
    records_by_zone = {}
    for record in records:
        records_by_zone.setdefault(record.availability_zone, []).append(record)
    for record in records_by_zone.pop("zone-0"):
        table.announce(record, now=0.0)
    target_registry.refresh_zone()
    for zone, zone_records in records_by_zone.items():
        target_registry.receive(
            remote_table_update(zone, zone_records), now=0.0
        )
    return target_registry


def remote_table_update(zone, records, *, current=None, sequence=1):
    """Return the update that adds these records to a zone's table.

    `current` are the entries of the table so far; without them, the update
    is a full one.
    """
    changed = {record.host: encode_entry(record) for record in records}
    base = current or EntrySet()
    return ZoneTableUpdate(
        availability_zone=zone,
        source=f"{zone}-control",
        source_incarnation=1,
        sequence=sequence,
        full=current is None,
        base_digest=base.digest,
        digest=base.evolve(changed=changed).digest,
        changed=changed,
        removed=(),
    )


def measure_target_registry():
    """Measure a control host's registry of the targets of all hosts."""
    memory, churn, update_bytes = {}, {}, {}
    for count in HOST_COUNTS:
        records = [make_record(number) for number in range(count)]
        target_registry, memory_bytes = measure_memory(
            lambda r=records: fill_target_registry(r)
        )
        memory[count] = memory_bytes / KIB
        change = _make_remote_change(target_registry, count)
        churn[count] = (
            measure_time(change, CHURN_EVENTS) * MICROSECONDS_PER_SECOND
        )
        example_update = remote_table_update("zone-1", [make_record(1)])
        update_bytes[count] = len(encode(example_update))
    report("control host: memory by hosts", "KiB", memory)
    report("control host: apply one remote change, by hosts", "us", churn)
    print(f"one change between zones: {update_bytes[count]} bytes")


def _make_remote_change(target_registry, count):
    """Return a function that applies one change of a remote host."""

    def change(number):
        sequence = number + 2
        host = 1 + (number % (count // ZONES)) * ZONES
        record = make_record(host, sequence=sequence)
        current = target_registry.remote_tables_by_zone["zone-1"].entries
        update = remote_table_update(
            "zone-1", [record], current=current, sequence=sequence
        )
        target_registry.receive(update, now=0.0)

    return change


def measure_leases():
    """Measure lease renewals by the proxies of one control host."""
    renewal_microseconds = {}
    # 783 hosts are one of 23 zones of 18,000 hosts.
    for count in (100, 400, 783):
        table = ZoneTable(availability_zone="zone-0", lease_seconds=3.0)
        for number in range(count):
            table.announce(make_record(number * ZONES), now=0.0)
        renewal_microseconds[count] = (
            measure_time(_make_renew(table, count), RENEWALS)
            * MICROSECONDS_PER_SECOND
        )
    report("control host: one renewal, by proxies", "us", renewal_microseconds)
    print(f"one renewal: {len(encode(_renewal(0)))} bytes")


def _renewal(number):
    return RenewLease(
        host=f"host-{number * ZONES}",
        incarnation=1_796_000_000_000,
        sequence=1,
        current_version=Version(epoch=3, index=9500),
    )


def _make_renew(table, count):
    frames = [encode(_renewal(number)) for number in range(count)]

    def renew(number):
        renewal = decode(msgpack.unpackb(frames[number % count]))
        is_renewed = table.renew(
            host=renewal.host,
            incarnation=renewal.incarnation,
            sequence=renewal.sequence,
            now=float(number),
        )
        assert is_renewed

    return renew


def measure_versions():
    """Measure the check and the storage of mesh files."""
    check_ms, memory_kib, snapshot_kib = {}, {}, {}
    for count in SERVICE_COUNTS:
        text = make_mesh_text(count)
        seconds = measure_time(lambda _, t=text: parse_mesh(t), 3)
        check_ms[count] = seconds * 1000
        versions, memory_bytes = measure_memory(
            lambda c=count: accept_versions(c, count=VERSIONS)
        )
        memory_kib[count] = memory_bytes / VERSIONS / KIB
        snapshot_kib[count] = len(versions.snapshot()) / VERSIONS / KIB
    report("voter: check one file, by services", "ms", check_ms)
    report("voter: memory of one kept version", "KiB", memory_kib)
    report("voter: snapshot of one kept version", "KiB", snapshot_kib)


def accept_versions(service_count, *, count):
    """Return a state machine that has accepted `count` mesh files."""
    versions = VersionStateMachine()
    base = NO_VERSION
    for index in range(1, count + 1):
        submission = Submission(
            submission_id=f"submission-{index}",
            operator="bench",
            text=make_mesh_text(service_count, timeout_ms=1000 + index),
            base=base,
        )
        base = Version(epoch=1, index=index)
        versions.apply(
            Position(term=1, index=index), encode_submission(submission)
        )
    return versions


def measure_proxy():
    """Measure a proxy's snapshot, by the number of services it needs."""
    memory, first_update_kib, compressed_kib, apply_ms = {}, {}, {}, {}
    mesh = parse_mesh(make_mesh_text(SERVICES)).value
    state = encode_mesh(
        version=Version(epoch=1, index=1), mesh=mesh, pause=lambda: None
    )
    target_registry = fill_target_registry(
        [make_record(n) for n in range(18000)]
    )
    for count in NEEDED_SERVICE_COUNTS:
        update = _first_update(state, target_registry, count)
        frame = encode(update)
        first_update_kib[count] = len(frame) / KIB
        compressed_kib[count] = len(zlib.compress(frame)) / KIB
        snapshot_store = SnapshotStore(minimum_version=NO_VERSION)
        started = time.process_time()
        snapshot_store.apply(update)
        apply_ms[count] = (time.process_time() - started) * 1000
        del snapshot_store
        _, memory_bytes = measure_memory(
            lambda u=update: _apply_to_new_store(u)
        )
        memory[count] = memory_bytes / KIB
    report("proxy: memory by needed services", "KiB", memory)
    report("proxy: first update by needed services", "KiB", first_update_kib)
    report("proxy: first update, compressed as sent", "KiB", compressed_kib)
    report("proxy: apply the first update", "ms", apply_ms)


def _first_update(state, target_registry, count):
    session = ProxySession(host="host-0", connection=None)
    session.subscription = Subscribe(
        entry_services=tuple(f"service-{n}" for n in range(count)),
        current_version=NO_VERSION,
        current_digest=0,
        digests_by_service={},
        starting=True,
        minimum_version=NO_VERSION,
    )
    return session.next_update(
        state=state, tables_by_service=target_registry.entries_by_service
    )


def _apply_to_new_store(update):
    snapshot_store = SnapshotStore(minimum_version=NO_VERSION)
    snapshot_store.apply(attrs.evolve(update))
    return snapshot_store


def main():
    """Measure every table."""
    configure(host="bench", level="error")
    measure_target_registry()
    measure_leases()
    measure_versions()
    measure_proxy()


if __name__ == "__main__":
    main()
