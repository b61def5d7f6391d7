"""A proxy's shares of the limits that targets name.

The load pattern is that of `_rate_limit`: a proxy that did not keep to a share
of its own would send most requests only to have them refused at the target's
proxy.
"""

import math

import attrs

from verbenanotch.routing._rate_limit import RateBucket

# Time constant of the mean rate at which callers ask for a service.
DEMAND_TIME_CONSTANT_SECONDS = 2.0
# A target that has been missing for this time has ended, or its host has.
GONE_AFTER_SECONDS = 60.0


class DemandRate:
    """Exponentially decaying rate of events, in events per second."""

    def __init__(self):
        """Start at 0."""
        self._rate = 0.0
        self._updated_at = -math.inf

    def record(self, now):
        """Count one event at `now`, in monotonic seconds."""
        self._rate = self.value(now) + 1 / DEMAND_TIME_CONSTANT_SECONDS
        self._updated_at = now

    def value(self, now):
        """Return the rate at `now`."""
        elapsed = now - self._updated_at
        return self._rate * math.exp(-elapsed / DEMAND_TIME_CONSTANT_SECONDS)


@attrs.define(kw_only=True)
class _Share:
    """This proxy's share of one target's limit.

    `seen_at` is when the target was last known to exist.
    """

    service: str
    incarnation: int
    limit: float
    bucket: RateBucket
    seen_at: float


class RateShares:
    """This proxy's shares of the limits that targets name.

    A share belongs to a target's incarnation and is kept while the target's
    own proxy restarts, which learns the limit from here. Times are in
    monotonic seconds.
    """

    def __init__(self):
        """Start without shares."""
        self._shares_by_target_id = {}
        self._target_ids_by_service = {}

    def observe(self, record, load, now):
        """Record the TargetLoad that came from the proxy of a TargetRecord."""
        target_id = record.target_id
        if not load.limit:
            self._remove(target_id)
            return
        share = self._shares_by_target_id.get(target_id)
        if share is None:
            share = _Share(
                service=record.service,
                incarnation=record.incarnation,
                limit=load.limit,
                bucket=RateBucket(rate=load.share, now=now, tokens=0.0),
                seen_at=now,
            )
            self._shares_by_target_id[target_id] = share
            self._target_ids_by_service.setdefault(record.service, set()).add(
                target_id
            )
        share.seen_at = now
        share.limit = load.limit
        share.incarnation = max(share.incarnation, record.incarnation)
        share.bucket.rate = load.share

    def known_limit(self, record):
        """Return the limit of a TargetRecord's target, 0 if none is known."""
        share = self._shares_by_target_id.get(record.target_id)
        if share is None:
            return 0.0
        if record.incarnation > share.incarnation:
            self._remove(record.target_id)
            return 0.0
        return share.limit

    def exhausted(self, service, rank, now):
        """Return the targets of a service whose shares are used up.

        They are a dict of the seconds until a request of a rank may be sent,
        by target id.
        """
        waits_by_target_id = {}
        for target_id in self._target_ids_by_service.get(service, ()):
            bucket = self._shares_by_target_id[target_id].bucket
            seconds = bucket.wait_seconds(rank, now)
            if seconds > 0:
                waits_by_target_id[target_id] = seconds
        return waits_by_target_id

    def spend(self, target_id, rank, now):
        """Count a request that is sent to a target."""
        share = self._shares_by_target_id.get(target_id)
        if share is not None:
            share.bucket.spend(rank, now)

    def refund(self, target_id, now):
        """Undo `spend` for a request that the target did not take."""
        share = self._shares_by_target_id.get(target_id)
        if share is not None:
            share.bucket.refund(now)

    def retain(self, target_ids, now):
        """Remove the shares of targets that are gone, not in `target_ids`.

        A target is also missing for a moment while its proxy restarts.
        """
        for target_id, share in list(self._shares_by_target_id.items()):
            if target_id in target_ids:
                share.seen_at = now
            elif now - share.seen_at > GONE_AFTER_SECONDS:
                self._remove(target_id)

    def _remove(self, target_id):
        share = self._shares_by_target_id.pop(target_id, None)
        if share is None:
            return
        target_ids = self._target_ids_by_service[share.service]
        target_ids.discard(target_id)
        if not target_ids:
            del self._target_ids_by_service[share.service]
