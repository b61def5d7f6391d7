"""Measure the cost of choosing a target and of matching a route.

Run: `python -m bench.routing_choice`. Prints microseconds per call for
several numbers of targets and routes, as the median of `ROUNDS` rounds.
"""

import random
import statistics
import time

from verbenanotch.catalog import Route
from verbenanotch.routing import Candidates, RouteTable, TargetState, choose

ROUNDS = 7
CALLS = 5000
ZONES = ("rennes", "quimper", "brest")


def make_targets(count, *, in_flight):
    """Return `count` targets spread over three zones."""
    return tuple(
        TargetState(
            target_id=str(number),
            service="orders",
            availability_zone=ZONES[number % len(ZONES)],
            host=str(number),
            slots=16,
            slow_start_at=0.0,
            in_flight=in_flight,
        )
        for number in range(count)
    )


def median_microseconds(call, *, calls=CALLS):
    """Return the median cost of one call in microseconds."""
    costs = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for _ in range(calls):
            call()
        costs.append((time.perf_counter() - started) / calls * 1e6)
    return statistics.median(costs)


def measure_choice(count, *, in_flight, calls=CALLS):
    """Return the cost of one choice among `count` targets in microseconds."""
    candidates = Candidates(targets=make_targets(count, in_flight=in_flight))
    generator = random.Random(1)
    return median_microseconds(
        lambda: choose(
            candidates,
            now=100.0,
            random=generator,
            availability_zone="rennes",
        ),
        calls=calls,
    )


def measure_match(count):
    """Return the cost of one match among `count` routes in microseconds."""
    table = RouteTable(
        {
            str(number): Route(prefix=f"/service-{number}/api", service="s")
            for number in range(count)
        }
    )
    path = f"/service-{count // 2}/api/orders/17"
    return median_microseconds(lambda: table.match(path))


def main():
    """Print all costs."""
    for count in (10, 100, 1000):
        with_capacity = measure_choice(count, in_flight=1)
        under_pressure = measure_choice(count, in_flight=14)
        full = measure_choice(count, in_flight=16, calls=50)
        print(
            f"choice among {count:5}: {with_capacity:8.1f} us with capacity, "
            f"{under_pressure:8.1f} us under pressure, "
            f"{full:8.1f} us with all full"
        )
    for count in (100, 1000, 10_000):
        print(f"match among {count:6} routes: {measure_match(count):6.2f} us")


if __name__ == "__main__":
    main()
