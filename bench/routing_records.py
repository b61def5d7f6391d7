"""Measure idempotency records and views of their holders.

Run: `python -m bench.routing_records`. Prints the memory and time per record,
and the cost of computing views. Memory is measured by tracemalloc and
printed with the bytes that the store itself counts.
"""

import random
import time
import tracemalloc

from verbenanotch.idempotency import (
    Answer,
    RecordHolder,
    RecordStore,
    View,
    new_key,
    next_view,
)
from verbenanotch.idempotency._members import (
    SHARD_COUNT,
    holders_for_shard,
    shards_held,
    updated_holders,
)

NOW_MS = 1_764_800_000_000
RECORDS = 5000
BODY_BYTES = (0, 1024, 16_384)
ZONE_SIZES = (10, 100, 783)


def fill(store, body_bytes):
    """Store `RECORDS` finished records; return the seconds it took."""
    generator = random.Random(1)
    keys = [new_key(now_ms=NOW_MS, random=generator) for _ in range(RECORDS)]
    started = time.perf_counter()
    for number, key in enumerate(keys):
        token = f"host-a/1/{number}"
        store.begin(
            key,
            number.to_bytes(16, "big"),
            token=token,
            timeout_ms=2000,
            wall_ms=NOW_MS,
        )
        answer = Answer(
            status=201,
            headers=(("content-type", f"text/plain; n={number}"),),
            body=bytes(body_bytes),
        )
        store.finish(key, token, answer)
    return time.perf_counter() - started


def measure_records(body_bytes):
    """Print the memory and time per record with a body of this size."""
    timed_store = RecordStore(max_bytes=10**9, max_age_seconds=3600.0)
    seconds = fill(timed_store, body_bytes)
    tracemalloc.start()
    store = RecordStore(max_bytes=10**9, max_age_seconds=3600.0)
    before, _ = tracemalloc.get_traced_memory()
    fill(store, body_bytes)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"record with {body_bytes:6} bytes of body: "
        f"{(after - before) / RECORDS:8.0f} bytes used, "
        f"{store.used_bytes / RECORDS:8.0f} counted, "
        f"{seconds / RECORDS * 1e6:6.1f} us to begin and finish"
    )


def measure_views(size):
    """Print the cost of views of a zone with `size` record holders."""
    members = [
        RecordHolder(
            host=f"host-{number}",
            availability_zone="rennes",
            address="127.0.0.1",
            peer_port=1,
            incarnation=1,
        )
        for number in range(size)
    ]
    empty_view = View(availability_zone="rennes", epoch=0, members=())
    view = next_view(empty_view, members)
    started = time.perf_counter()
    held_shards = shards_held("host-1", view.members)
    apply_seconds = time.perf_counter() - started
    started = time.perf_counter()
    holders_by_shard = {
        number: holders_for_shard(number, view.members)
        for number in range(SHARD_COUNT)
    }
    first_lookup_seconds = (time.perf_counter() - started) / SHARD_COUNT
    smaller_view = next_view(view, members[1:])
    started = time.perf_counter()
    updated_holders(holders_by_shard, view, smaller_view)
    update_seconds = time.perf_counter() - started
    print(
        f"zone of {size:4}: holder applies a view in "
        f"{apply_seconds * 1e3:5.1f} ms ({len(held_shards)} shards held); "
        f"coordinator: {first_lookup_seconds * 1e6:5.0f} us for "
        f"the first lookup of a shard, {update_seconds * 1e3:5.1f} ms "
        "after one member left"
    )


def main():
    """Print all figures."""
    for body_bytes in BODY_BYTES:
        measure_records(body_bytes)
    for size in ZONE_SIZES:
        measure_views(size)


if __name__ == "__main__":
    main()
