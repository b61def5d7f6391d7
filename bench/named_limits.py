"""Cost of the limits that targets name: bytes of messages, time of decisions.

.venv/bin/python -m bench.named_limits
"""

import time

import attrs

from tests.unit.test_proxy_peers import make_call
from tests.unit.test_routing_rate_limits import RECORD, Play
from verbenanotch.proxy._messages import Forward, ForwardAnswered, ReportedLoad
from verbenanotch.routing import (
    DemandRate,
    NamedLimit,
    RateShares,
    TargetLoad,
)
from verbenanotch.wire import encode

ROUNDS = 100_000
SENDERS = 783
DEMAND_MRPS = 117_000
LIMIT_MRPS = 36_300


def microseconds(action):
    """Return the mean time of one call."""
    started = time.perf_counter()
    for _ in range(ROUNDS):
        action()
    return (time.perf_counter() - started) / ROUNDS * 1e6


def print_bytes():
    """Print what the fields add to a call and to its answer."""
    call = make_call()
    plain = encode(Forward(stream_id=1, body_bytes=0, call=call))
    limited_call = attrs.evolve(
        call, demand_mrps=DEMAND_MRPS, known_limit_mrps=LIMIT_MRPS
    )
    limited = encode(Forward(stream_id=1, body_bytes=0, call=limited_call))
    loads = [
        ReportedLoad(busy=3, service_us=30_000),
        ReportedLoad(
            busy=3, service_us=30_000, limit_mrps=LIMIT_MRPS, share_mrps=3000
        ),
    ]
    answers = [
        encode(
            ForwardAnswered(
                stream_id=1,
                body_bytes=0,
                status=200,
                headers=(),
                body=b"",
                load=load,
            )
        )
        for load in loads
    ]
    print("call, two fields of 0 (2 B) and with a limit:", len(plain), "and")
    print("   ", len(limited), "B; its answer:", *map(len, answers), "B")


def print_times():
    """Print the time of each decision."""
    demand = DemandRate()
    shares = RateShares()
    print("demand of a request", microseconds(lambda: demand.record(1.0)))
    print(
        "no limit: exhausted",
        microseconds(lambda: shares.exhausted("s", 0, 1.0)),
    )
    load = TargetLoad(busy=0, service_seconds=0.03, limit=36.3, share=3.0)
    shares.observe(RECORD, load, 0.0)
    print(
        "one limited target: exhausted",
        microseconds(lambda: shares.exhausted("s", 0, 1.0)),
    )
    limit = NamedLimit()
    limit.observe(36.3, 0.0)
    for sender in range(SENDERS):
        limit.share(sender, 10.0, 0.0)
    print(
        f"share among {SENDERS} senders",
        microseconds(lambda: limit.share(1, 10.0, 0.1)),
    )
    started = time.perf_counter()
    limit.share(1, 10.0, 5.0)
    print(
        "sum of all demands, twice a second",
        (time.perf_counter() - started) * 1e6,
    )


def print_play():
    """Print what arrives and what is refused at the target's proxy."""
    play = Play(rate=36.3, demands=(30.0,) * 12)
    play.run(seconds=30)
    print(
        "12 proxies that ask for 360 a second of a target that takes 36.3, "
        f"30 s: {len(play.sent)} run, {len(play.refused)} refused there"
    )


if __name__ == "__main__":
    print_bytes()
    print("microseconds:")
    print_times()
    print_play()
