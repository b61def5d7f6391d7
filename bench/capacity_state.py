"""Memory and processor time of the tables of each role, with slopes.

    python -m bench.capacity_state

Everything runs in one process without sockets. Memory is what tracemalloc
counts for the objects alone; processor time is that of the process. Each
slope is a least-squares fit over the sizes that are printed.
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
MILLION = 1e6


def make_record(number, *, sequence=1):
    """Return a host with one target; hosts spread over zones, services."""
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


def make_text(service_count, *, timeout_ms=2000):
    """Return an operator's file of so many services."""
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


def measure_memory(make):
    """Return what `make` returns, and the bytes that it keeps."""
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return value, kept


def measure_time(function, count):
    """Return processor seconds of one of `count` calls."""
    gc.collect()
    began = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - began) / count


def report(name, unit, values_by_size):
    """Print the values of one quantity and the slope over its sizes."""
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
    """Return a TargetRegistry of these hosts; zone-0 is its own."""
    table = ZoneTable(availability_zone="zone-0", lease_seconds=3.0)
    target_registry = TargetRegistry(zone_table=table)
    by_zone = {}
    for record in records:
        by_zone.setdefault(record.availability_zone, []).append(record)
    for record in by_zone.pop("zone-0"):
        table.announce(record, now=0.0)
    target_registry.refresh_zone()
    for zone, members in by_zone.items():
        target_registry.receive(remote_table_update(zone, members), now=0.0)
    return target_registry


def remote_table_update(zone, records, *, held=None, sequence=1):
    """Return the update that brings a zone's table to these records."""
    changed = {record.host: encode_entry(record) for record in records}
    base = held or EntrySet()
    return ZoneTableUpdate(
        availability_zone=zone,
        source=f"{zone}-control",
        source_incarnation=1,
        sequence=sequence,
        full=held is None,
        base_digest=base.digest,
        digest=base.evolve(changed=changed).digest,
        changed=changed,
        removed=(),
    )


def measure_directory():
    """Measure a control host's table of all hosts."""
    memory, churn, update_bytes = {}, {}, {}
    for count in HOST_COUNTS:
        records = [make_record(number) for number in range(count)]
        target_registry, kept = measure_memory(
            lambda r=records: fill_target_registry(r)
        )
        memory[count] = kept / KIB
        change = _churn(target_registry, count)
        churn[count] = measure_time(change, CHURN_EVENTS) * MILLION
        one = remote_table_update("zone-1", [make_record(1)])
        update_bytes[count] = len(encode(one))
    report("control host: memory by hosts", "KiB", memory)
    report("control host: take one remote change, by hosts", "us", churn)
    print(f"one change between zones: {update_bytes[count]} bytes")


def _churn(target_registry, count):
    """Return a function that takes one change of a remote host."""

    def change(number):
        sequence = number + 2
        host = 1 + (number % (count // ZONES)) * ZONES
        record = make_record(host, sequence=sequence)
        held = target_registry.remote_tables_by_zone["zone-1"].entries
        update = remote_table_update(
            "zone-1", [record], held=held, sequence=sequence
        )
        target_registry.receive(update, now=0.0)

    return change


def measure_leases():
    """Measure the renewals of one control host's proxies."""
    spent = {}
    for count in (100, 400, 783):
        table = ZoneTable(availability_zone="zone-0", lease_seconds=3.0)
        for number in range(count):
            table.announce(make_record(number * ZONES), now=0.0)
        spent[count] = measure_time(_renew(table, count), RENEWALS) * MILLION
    report("control host: one renewal, by proxies", "us", spent)
    print(f"one renewal: {len(encode(_renewal(0)))} bytes")


def _renewal(number):
    return RenewLease(
        host=f"host-{number * ZONES}",
        incarnation=1_796_000_000_000,
        sequence=1,
        current_version=Version(epoch=3, index=9500),
    )


def _renew(table, count):
    frames = [encode(_renewal(number)) for number in range(count)]

    def renew(number):
        item = decode(msgpack.unpackb(frames[number % count]))
        held = table.renew(
            host=item.host,
            incarnation=item.incarnation,
            sequence=item.sequence,
            now=float(number),
        )
        assert held

    return renew


def measure_versions():
    """Measure an operator's file from its check to its storage."""
    check, kept_bytes, snapshot_bytes = {}, {}, {}
    for count in SERVICE_COUNTS:
        text = make_text(count)
        spent = measure_time(lambda _, t=text: parse_mesh(t), 3)
        check[count] = spent * 1000
        versions, kept = measure_memory(
            lambda c=count: accept_versions(c, count=VERSIONS)
        )
        kept_bytes[count] = kept / VERSIONS / KIB
        snapshot_bytes[count] = len(versions.snapshot()) / VERSIONS / KIB
    report("voter: check one file, by services", "ms", check)
    report("voter: memory of one kept version", "KiB", kept_bytes)
    report("voter: snapshot of one kept version", "KiB", snapshot_bytes)


def accept_versions(service_count, *, count):
    """Return a state machine that accepted so many files."""
    versions = VersionStateMachine()
    base = NO_VERSION
    for index in range(1, count + 1):
        submission = Submission(
            submission_id=f"submission-{index}",
            operator="bench",
            text=make_text(service_count, timeout_ms=1000 + index),
            base=base,
        )
        base = Version(epoch=1, index=index)
        versions.apply(
            Position(term=1, index=index), encode_submission(submission)
        )
    return versions


def measure_proxy():
    """Measure what a proxy holds, by the number of services it needs."""
    memory, first_bytes, sent_bytes, apply_ms = {}, {}, {}, {}
    mesh = parse_mesh(make_text(SERVICES)).value
    state = encode_mesh(
        version=Version(epoch=1, index=1), mesh=mesh, pause=lambda: None
    )
    target_registry = fill_target_registry(
        [make_record(n) for n in range(18000)]
    )
    for count in NEEDED_SERVICE_COUNTS:
        update = _first_update(state, target_registry, count)
        frame = encode(update)
        first_bytes[count] = len(frame) / KIB
        sent_bytes[count] = len(zlib.compress(frame)) / KIB
        snapshot_store = SnapshotStore(minimum_version=NO_VERSION)
        began = time.process_time()
        snapshot_store.apply(update)
        apply_ms[count] = (time.process_time() - began) * 1000
        del snapshot_store
        _, kept = measure_memory(lambda u=update: _hold(u))
        memory[count] = kept / KIB
    report("proxy: memory by needed services", "KiB", memory)
    report("proxy: first update by needed services", "KiB", first_bytes)
    report("proxy: first update as it is sent", "KiB", sent_bytes)
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


def _hold(update):
    snapshot_store = SnapshotStore(minimum_version=NO_VERSION)
    snapshot_store.apply(attrs.evolve(update))
    return snapshot_store


def main():
    """Measure every table."""
    configure(host="bench", level="error")
    measure_directory()
    measure_leases()
    measure_versions()
    measure_proxy()


if __name__ == "__main__":
    main()
