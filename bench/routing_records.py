"""Print memory per record and the cost of views and begins.

Run: `python -m bench.routing_records`. Memory is what tracemalloc sees;
beside it the bytes that the store counts.
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
    """Store finished records and return the seconds it took."""
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
    """Print memory and time per record."""
    speed = RecordStore(max_bytes=10**9, max_age_seconds=3600.0)
    seconds = fill(speed, body_bytes)
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
    """Print the cost of views of a zone with `size` members."""
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
    empty = View(availability_zone="rennes", epoch=0, members=())
    view = next_view(empty, members)
    started = time.perf_counter()
    held = shards_held("host-1", view.members)
    own = time.perf_counter() - started
    started = time.perf_counter()
    holders_by_shard = {
        number: holders_for_shard(number, view.members)
        for number in range(SHARD_COUNT)
    }
    first = (time.perf_counter() - started) / SHARD_COUNT
    less = next_view(view, members[1:])
    started = time.perf_counter()
    updated_holders(holders_by_shard, view, less)
    change = time.perf_counter() - started
    print(
        f"zone of {size:4}: holder takes up a view in {own * 1e3:5.1f} ms "
        f"({len(held)} shards held); coordinator: {first * 1e6:5.0f} us for "
        f"the first look at a shard, {change * 1e3:5.1f} ms for one that left"
    )


def main():
    """Print all figures."""
    for body_bytes in BODY_BYTES:
        measure_records(body_bytes)
    for size in ZONE_SIZES:
        measure_views(size)


if __name__ == "__main__":
    main()
