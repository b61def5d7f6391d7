"""Estimate the current load of a target from an old report.

A proxy learns the load of a target only from the target's answers, and many
proxies send to it meanwhile. The older a report is, the less it tells: what
ran there has ended and others have sent more. The estimate therefore moves
from the reported load to the mean load of the sampled targets, and its
uncertainty grows to that of a target of which nothing is known.

Source for the interpretation of old loads: Dahlin, "Interpreting Stale Load
Information", 2000.
"""

import math

import attrs

from verbenanotch.routing._pace import pace_factor

# Weight of a report in the mean load of the service.
MEAN_HALF_LIFE_SECONDS = 2.0
# Standard deviation of the load of a target of which nothing is known, as a
# share of its slots.
LOAD_DEVIATION = 0.35
# Even a new report does not contain the requests on their way to the target.
MIN_AGE_SECONDS = 0.03


@attrs.frozen(kw_only=True)
class SampleMeans:
    """Means of the targets of a sample whose loads are known.

    `busy_share` is in requests per slot; `service_seconds` is at the usual
    pace.
    """

    busy_share: float
    service_seconds: float


def sample_means(targets, now):
    """Return the SampleMeans of targets, or None if no load is known."""
    weights = shares = seconds = count = 0.0
    for target in targets:
        load = target.load
        if load is None or load.service_seconds <= 0:
            continue
        weight = 2 ** (-_age(target, now) / MEAN_HALF_LIFE_SECONDS)
        weights += weight
        shares += weight * load.busy / target.slots
        seconds += load.usual_seconds or load.service_seconds
        count += 1
    if not weights:
        return None
    return SampleMeans(
        busy_share=shares / weights, service_seconds=seconds / count
    )


def service_seconds(target, now, means):
    """Return the expected service time of a request at the target."""
    load = target.load
    if load is None or load.service_seconds <= 0:
        return means.service_seconds
    if not load.pace_percent or load.usual_seconds <= 0:
        return load.service_seconds
    # The age of the pace itself, without the requests on their way.
    age_seconds = now - target.load_received_at
    return load.usual_seconds * pace_factor(load.pace_percent, age_seconds)


def busy_share(target, now, means, seconds):
    """Return the expected requests per slot and their standard deviation.

    `seconds` is the target's service time: the time in which the requests of
    a report end and others take their place.
    """
    own_share = target.in_flight / target.slots
    if target.load is None:
        return max(means.busy_share, own_share), LOAD_DEVIATION
    known_share = math.exp(-_age(target, now) / seconds)
    share = means.busy_share + known_share * (
        target.load.busy / target.slots - means.busy_share
    )
    share += (target.in_flight - target.in_flight_at_load) / target.slots
    unknown_share = 1 - known_share**2
    return (
        max(share, own_share),
        LOAD_DEVIATION * math.sqrt(unknown_share),
    )


def _age(target, now):
    return max(0.0, now - target.load_received_at) + MIN_AGE_SECONDS
