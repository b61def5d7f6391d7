"""Measure how evenly many choosers load the targets of one service.

Run: `python -m bench.even_load`. Prints waits, times to the answer, moves,
refusals, and the share of the targets' time without any request beside a
queue, for three rules and three utilisations, as means over `SEEDS`. Time is
simulated, so that the figures don't depend on the machine. At last it prints
the microseconds of a choice and the bytes of messages.
"""

import functools
import random
import statistics

from bench.routing_choice import make_targets, median_microseconds
from tests.support.shared_targets import (
    Service,
    Shape,
    choose_at_random,
    quantile,
)
from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._messages import reply_from_outcome
from verbenanotch.proxy._outcome import Answered, NotRun
from verbenanotch.routing import Candidates, TargetLoad, choose
from verbenanotch.wire import encode

SEEDS = (1, 2, 3, 4)
SECONDS = 23.0
UTILISATIONS = (0.6, 0.8, 0.95)
CHOICES = {
    "even": functools.partial(choose, even_load=True),
    "by load": choose,
    "random": choose_at_random,
}
PACE_FIELDS = {
    "pace_percent": 130,
    "usual_seconds": 0.15,
    "reported_ms": 864_000_000,
}
PACED_LOAD = TargetLoad(busy=9, service_seconds=0.18, **PACE_FIELDS)


def measure(name, choice, **shape):
    """Print the means of one rule over all seeds."""
    results = [
        Service(Shape(seed=seed, seconds=SECONDS, **shape), choice).run()
        for seed in SEEDS
    ]

    def mean(value):
        return statistics.mean(value(result) for result in results)

    def milliseconds(field, share):
        return 1000 * mean(
            lambda result: quantile(getattr(result, field), share)
        )

    print(
        f"{name:8} {shape['utilisation']:4} "
        f"wait {milliseconds('waits', 0.5):5.1f} "
        f"{milliseconds('waits', 0.99):5.0f} ms, "
        f"time {milliseconds('times', 0.5):4.0f} "
        f"{milliseconds('times', 0.99):5.0f} ms, "
        f"age {milliseconds('ages', 0.1):3.0f} "
        f"{milliseconds('ages', 0.5):4.0f} {milliseconds('ages', 0.9):5.0f} "
        f"ms, moves {mean(lambda result: result.moved_share):5.2f}, "
        f"refused {mean(lambda result: result.refused_share):6.2%}, "
        f"idle {mean(lambda result: result.idle_share):7.3%}",
        flush=True,
    )


def measure_cost(*, even_load):
    """Return the microseconds of one choice among 30 targets."""
    targets = make_targets(30, in_flight=1)
    for number, target in enumerate(targets):
        target.observe_load(
            99.9 - number / 50,
            TargetLoad(
                busy=number % 7,
                service_seconds=0.18,
                pace_percent=100 + number,
                usual_seconds=0.18,
            ),
        )
    candidates = Candidates(targets=targets)
    generator = random.Random(1)
    return median_microseconds(
        lambda: choose(
            candidates,
            now=100.0,
            random=generator,
            availability_zone="rennes",
            objective_seconds=0.66,
            even_load=even_load,
        )
    )


def answer_bytes(**load):
    """Return the size of the message with an empty answer and a load."""
    load = TargetLoad(busy=3, service_seconds=0.18, **load)
    outcome = Answered(status=200, headers=(), body=b"", load=load)
    return len(encode(reply_from_outcome(7, outcome, inline_bytes=0)))


def refusal_bytes():
    """Return the size of the message that moves a request on."""
    refusal = NotRun(
        reason=reasons.TARGET_BUSY, retry_after_ms=80, load=PACED_LOAD
    )
    return len(encode(reply_from_outcome(7, refusal, inline_bytes=0)))


def main():
    """Print all results."""
    for title, options in (
        ("targets on other hosts", {}),
        ("a target on each chooser's host", {"has_local_targets": True}),
        ("targets that tell no pace", {"reports_pace": False}),
    ):
        print(f"{title}:")
        for utilisation in UTILISATIONS:
            for name, choice in CHOICES.items():
                measure(name, choice, utilisation=utilisation, **options)
    for even_load in (False, True):
        print(
            f"choice with even_load={even_load}: "
            f"{measure_cost(even_load=even_load):.1f} us"
        )
    print(
        f"empty answer: {answer_bytes()} B without a pace, "
        f"{answer_bytes(**PACE_FIELDS)} B with one; refusal that moves a "
        f"request: {refusal_bytes()} B"
    )


if __name__ == "__main__":
    main()
